/*
 * measure_document.c
 * cost of a routing document: decoding it, handing it on, and finding a route in it
 *
 * measure_document ROUTES TIMES    processor time of each step, the middle of TIMES
 */
#include "cpu_time.h"

#include <glib.h>
#include <libcometspindle/compress.h>
#include <platform/document_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEED 1

/* A document of routes on one host, whose names hardly compress. */
static GString *
make_document(uint32_t version, uint32_t routes)
{
	GString *text = g_string_new(NULL);
	GRand *draw = g_rand_new_with_seed(SEED);

	g_string_append_printf(text, "{\"version\":%u,\"routes\":[", version);
	for (uint32_t i = 0; i < routes; i++)
	{
		uint32_t word = g_rand_int(draw);
		g_string_append_printf(text,
			"%s{\"name\":\"r-%08x\",\"hostname\":\"h.example\",\"path_prefix\":\"/%08x/"
			"\","
			"\"type\":\"safe\",\"service\":\"svc\",\"max_attempts\":2,\"timeout_ms\":"
			"5000,"
			"\"target_latency_ms\":400,\"priority\":1}",
			i > 0 ? "," : "", word, word);
	}
	g_string_append(text, "],\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"k1\"],"
			      "\"unit\":\"token_stream\",\"rate_per_s\":1000,\"burst\":1000}]}");
	g_rand_free(draw);
	return text;
}

static int
compare(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/* What is measured. */
struct work
{
	struct comet_byte_span before;
	struct comet_byte_span after;
	struct comet_byte_span packed;
	char digest[COMET_DIGEST_CHARS];
	struct comet_route_table *table;
};

static void
decode(struct work *work)
{
	comet_route_table_unref(
		comet_platform_parse_routes(work->after.data, work->after.length, NULL));
}

static void
pack(struct work *work)
{
	g_bytes_unref(comet_compress(&work->after, &work->before));
}

static void
pack_whole(struct work *work)
{
	g_bytes_unref(comet_compress(&work->after, NULL));
}

static void
unpack(struct work *work)
{
	g_bytes_unref(comet_decompress(&work->packed, &work->before, 1 << 24, work->digest, NULL));
}

static void
find(struct work *work)
{
	if (comet_route_table_find(work->table, "h.example", "/ffffffff/x") != NULL)
		abort();
}

/* Middle of the processor times of some runs, in microseconds. */
static double
middle_us(void (*step)(struct work *work), struct work *work, uint32_t times)
{
	double *taken = g_new(double, times);

	for (uint32_t i = 0; i < times; i++)
	{
		uint64_t begin_ns = cpu_ns();
		step(work);
		taken[i] = (double)(cpu_ns() - begin_ns) / 1000;
	}
	qsort(taken, times, sizeof *taken, compare);
	double middle = taken[times / 2];
	g_free(taken);
	return middle;
}

int
main(int argc, char **argv)
{
	if (argc != 3)
	{
		fprintf(stderr, "usage: measure_document ROUTES TIMES\n");
		return 2;
	}
	uint32_t routes = (uint32_t)strtoul(argv[1], NULL, 10);
	uint32_t times = MAX((uint32_t)strtoul(argv[2], NULL, 10), 1);
	GString *before = make_document(1, routes - 1);
	GString *after = make_document(2, routes);
	struct work work = {
		.before = {before->str, before->len},
		.after = {after->str, after->len},
		.table = comet_platform_parse_routes(after->str, after->len, NULL),
	};
	gsize length = 0;

	GBytes *change = comet_compress(&work.after, &work.before);
	work.packed.data = g_bytes_get_data(change, &length);
	work.packed.length = length;
	comet_digest(&work.after, work.digest);
	GBytes *whole = comet_compress(&work.after, NULL);
	printf("{\"bench\":\"document\",\"routes\":%u,\"bytes\":%zu,\"packed_bytes\":%zu,"
	       "\"change_bytes\":%zu,\"decode_us\":%.0f,\"pack_us\":%.0f,\"pack_change_us\":%.0f,"
	       "\"unpack_change_us\":%.0f,\"find_us\":%.2f}\n",
		routes, after->len, g_bytes_get_size(whole), g_bytes_get_size(change),
		middle_us(decode, &work, times), middle_us(pack_whole, &work, times),
		middle_us(pack, &work, times), middle_us(unpack, &work, times),
		middle_us(find, &work, times));
	g_bytes_unref(whole);
	g_bytes_unref(change);
	comet_route_table_unref(work.table);
	g_string_free(before, TRUE);
	g_string_free(after, TRUE);
	return 0;
}
