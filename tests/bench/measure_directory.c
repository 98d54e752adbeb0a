/*
 * measure_directory.c
 * cost of reading a list of the directory, as one JSON object
 *
 * measure_directory ENTRIES LISTS    time of LISTS lists of ENTRIES servers' entries each
 */
#include "cpu_time.h"

#include <glib.h>
#include <libcometspindle/gateway/endpoints/instances.h>
#include <platform/replica.h>
#include <platform/server_entry.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* A list as the store answers it. */
static GString *
make_list(uint32_t entries)
{
	GString *text = g_string_new("{\"entries\":[");

	for (uint32_t i = 0; i < entries; i++)
	{
		char *entry = g_strdup_printf(
			"{\"service\":\"svc\",\"address\":\"10.1.%u.%u:8080\",\"zone\":\"zone-%u\","
			"\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"warmup_left_ms\":0,"
			"\"stage\":\"combined\",\"models\":[{\"name\":\"m\",\"version\":1,"
			"\"adapters\":[]}],\"sequence\":%u}",
			i / 250, i % 250, i % 11, i);
		char *value = g_base64_encode((const guchar *)entry, strlen(entry));
		g_string_append_printf(text,
			"%s{\"private_key\":\"servers/i-%08x\",\"value\":\"%s\",\"revision\":%u,"
			"\"created\":1,\"lease\":7}",
			i > 0 ? "," : "", i, value, i + 1);
		g_free(value);
		g_free(entry);
	}
	g_string_append_printf(text, "],\"has_more\":false,\"current_rev\":%u}", entries + 1);
	return text;
}

static void
take_record(void *ctx, const struct comet_instance_record *record)
{
	comet_instances_update(ctx, record, 1);
}

static void
on_put(void *ctx, const struct comet_store_item *item)
{
	if (!comet_platform_parse_server(item->key + strlen("servers/"), item->value, item->length,
		    take_record, ctx, NULL))
		abort();
}

static void
on_removed(void *ctx, const char *key, bool tentative)
{
	(void)ctx;
	(void)key;
	(void)tentative;
}

static const struct comet_replica_events events = {.put = on_put, .removed = on_removed};

static void
take_list(void *ctx, const struct comet_store_response *answer)
{
	comet_replica_merge(ctx, answer->items, answer->n_items, false);
}

/* What callgrind counts: its name must stay. */
static __attribute__((noinline)) void
measure_directory_lists(const GString *text, uint32_t entries, uint32_t lists)
{
	for (uint32_t i = 0; i < lists; i++)
	{
		struct comet_instances *instances = comet_instances_create(NULL, "zone-1");
		struct comet_replica *replica = comet_replica_create(instances, &events, instances);
		if (!comet_store_parse(text->str, text->len, take_list, replica, NULL) ||
			comet_instances_for_service(instances, "svc")->len != entries)
			abort();
		talloc_free(instances);
	}
}

int
main(int argc, char **argv)
{
	if (argc != 3)
	{
		fprintf(stderr, "usage: measure_directory ENTRIES LISTS\n");
		return 2;
	}
	uint32_t entries = (uint32_t)strtoul(argv[1], NULL, 10);
	uint32_t lists = (uint32_t)strtoul(argv[2], NULL, 10);
	GString *text = make_list(entries);
	uint64_t begin_ns = cpu_ns();
	measure_directory_lists(text, entries, lists);
	uint64_t taken_ns = cpu_ns() - begin_ns;
	printf("{\"bench\":\"directory\",\"entries\":%u,\"bytes\":%zu,\"list_us\":%.1f}\n", entries,
		text->len, (double)taken_ns / 1000 / lists);
	g_string_free(text, TRUE);
	return 0;
}
