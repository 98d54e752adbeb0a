/*
 * load.c
 * sends a mix of requests and says what became of each; for tests and benchmarks
 *
 * load CONFIG: classes of requests arrive by seeded draws. Every answer is
 * held against the text that the stand-in engines make from its prompt.
 */
#include "load.h"

#include <glib.h>
#include <libcometspindle/adapters/clock.h>
#include <libcometspindle/adapters/endpoints/curl_loop.h>
#include <libcometspindle/hash.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define ENTRIES_MAX 512

/* --- entries --- */

static size_t
collect(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

static void
take_entries(struct load *load)
{
	struct json_object *root = json_tokener_parse(load->entries_body->str);
	struct json_object *list = NULL;

	if (root == NULL || !json_object_object_get_ex(root, "entries", &list) ||
		json_object_array_length(list) == 0)
	{
		json_object_put(root);
		return;
	}
	g_strfreev(load->entries);
	load->n_entries = (guint)MIN(json_object_array_length(list), ENTRIES_MAX);
	load->entries = g_new0(char *, load->n_entries + 1);
	for (guint i = 0; i < load->n_entries; i++)
		load->entries[i] =
			g_strdup(standin_string(json_object_array_get_idx(list, i), "address", ""));
	load->entries_until_us =
		standin_now_us() + (uint64_t)standin_int(root, "valid_for_s", 1) * 1000000;
	json_object_put(root);
}

static void
on_entries(void *ctx, CURL *easy, CURLcode result)
{
	struct load *load = ctx;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	load->entries_busy = false;
	if (result == CURLE_OK && status == 200)
		take_entries(load);
	else
		load->entries_until_us = standin_now_us() + 100000;
}

void
load_refresh_entries(struct load *load)
{
	if (load->entries_busy || standin_now_us() < load->entries_until_us)
		return;
	load->entries_busy = true;
	g_string_set_size(load->entries_body, 0);
	const char *base = load->entries[g_rand_int_range(load->rand, 0, (gint32)load->n_entries)];
	char *url = g_strconcat(base, "/v1/entries", NULL);
	curl_easy_setopt(load->entries_easy, CURLOPT_URL, url);
	g_free(url);
	comet_curl_loop_add(load->curl, load->entries_easy, on_entries, load);
}

/* --- the schedule --- */

static double
rate_now(const struct class *class, double at_s)
{
	bool burst = at_s >= class->burst_from_s && at_s < class->burst_to_s;

	return class->rate * (burst ? class->burst_factor : 1);
}

static void
on_tick(struct tevent_context *ev, struct tevent_timer *timer, struct timeval at, void *data)
{
	struct load *load = data;
	uint64_t now = standin_now_us();

	(void)timer;
	(void)at;
	load_refresh_entries(load);
	for (guint i = 0; i < load->classes->len && now < load->end_us; i++)
	{
		struct class *class = g_ptr_array_index(load->classes, i);
		while (class->next_us <= (double)now && class->next_us < (double)load->end_us)
		{
			double at_s = (class->next_us - (double)load->start_us) / 1e6;
			load_send_one(load, class);
			class->next_us +=
				-log(1 - g_rand_double(class->rand)) * 1e6 / rate_now(class, at_s);
		}
	}
	if (now >= load->end_us && load->open == 0)
	{
		load->over = true;
		return;
	}
	tevent_add_timer(ev, ev, comet_clock_after(1000), on_tick, load);
}

/* --- configuration and results --- */

static void
read_class(struct load *load, struct json_object *config)
{
	struct class *class = g_new0(struct class, 1);
	struct json_object *keys = NULL;

	class->name = g_strdup(standin_string(config, "name", "?"));
	class->tier_name = g_strdup(standin_string(config, "tier", ""));
	class->tier = (int)standin_int(config, "tier_index", 0);
	class->model = g_strdup(standin_string(config, "model", "m"));
	class->service = g_strdup(standin_string(config, "service", NULL));
	class->rate = (double)standin_int(config, "rate_milli", 1000) / 1000.0;
	class->prompt_min = (uint32_t)standin_int(config, "prompt_min", 20);
	class->prompt_max = (uint32_t)standin_int(config, "prompt_max", 20);
	class->shared_tokens = (uint32_t)standin_int(config, "shared_tokens", 0);
	class->shared_count = (uint32_t)standin_int(config, "shared_count", 0);
	class->output_min = (uint32_t)standin_int(config, "output_min", 8);
	class->output_max = (uint32_t)standin_int(config, "output_max", 8);
	class->deadline_ms = (uint32_t)standin_int(config, "deadline_ms", 5000);
	class->once = standin_int(config, "once", 0) != 0;
	class->chat = standin_int(config, "chat", 0) != 0;
	class->stream = standin_int(config, "stream", 1) != 0 && class->service == NULL;
	class->burst_from_s = (double)standin_int(config, "burst_from_ms", 0) / 1000.0;
	class->burst_to_s = (double)standin_int(config, "burst_to_ms", 0) / 1000.0;
	class->burst_factor = (double)standin_int(config, "burst_factor", 1);
	class->keys = g_ptr_array_new_with_free_func(g_free);
	json_object_object_get_ex(config, "keys", &keys);
	for (size_t i = 0; i < json_object_array_length(keys); i++)
		g_ptr_array_add(class->keys,
			g_strdup(json_object_get_string(json_object_array_get_idx(keys, i))));
	class->rand = g_rand_new_with_seed(
		(guint32)(load->seed * 1000 + comet_hash_name(class->name) % 1000));
	class->next_us = (double)load->start_us;
	g_ptr_array_add(load->classes, class);
}

static gint
compare_uint(gconstpointer a, gconstpointer b)
{
	guint left = *(const guint *)a;
	guint right = *(const guint *)b;

	return (left > right) - (left < right);
}

static double
quantile_ms(GArray *values, double part)
{
	if (values->len == 0)
		return 0;
	g_array_sort(values, compare_uint);
	return g_array_index(values, guint, (guint)(part * (values->len - 1))) / 1000.0;
}

static void
print_results(struct load *load)
{
	struct json_object *root = json_object_new_object();
	struct json_object *tiers = json_object_new_array();
	struct json_object *classes = json_object_new_object();

	for (int tier = 0; tier < TIERS; tier++)
	{
		struct json_object *object = json_object_new_object();
		uint64_t sent = 0;
		for (int fate = 0; fate < FATES; fate++)
		{
			sent += load->fates[tier][fate];
			json_object_object_add(object, load_fate_names[fate],
				json_object_new_int64((int64_t)load->fates[tier][fate]));
		}
		json_object_object_add(object, "sent", json_object_new_int64((int64_t)sent));
		json_object_object_add(object, "ttft_ms_p50",
			json_object_new_double(quantile_ms(load->first_us[tier], 0.5)));
		json_object_object_add(object, "ttft_ms_p95",
			json_object_new_double(quantile_ms(load->first_us[tier], 0.95)));
		json_object_object_add(object, "gap_ms_p95",
			json_object_new_double(quantile_ms(load->gap_us[tier], 0.95)));
		if (sent > 0)
			json_object_array_add(tiers, object);
		else
			json_object_put(object);
	}
	for (guint i = 0; i < load->classes->len; i++)
	{
		struct class *class = g_ptr_array_index(load->classes, i);
		struct json_object *object = json_object_new_object();
		json_object_object_add(
			object, "sent", json_object_new_int64((int64_t) class->sent));
		json_object_object_add(object, "ok",
			json_object_new_int64(GPOINTER_TO_UINT(
				g_hash_table_lookup(load->classes_ok, class->name))));
		json_object_object_add(classes, class->name, object);
	}
	json_object_object_add(root, "tiers", tiers);
	json_object_object_add(root, "classes", classes);
	printf("%s\n", json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
}

static void
configure(struct load *load, struct json_object *config)
{
	struct json_object *list = NULL;
	const char *log_path = standin_string(config, "log", NULL);

	load->seed = (uint64_t)standin_int(config, "seed", 1);
	load->rand = g_rand_new_with_seed((guint32)load->seed);
	load->start_us = standin_now_us();
	load->end_us = load->start_us + (uint64_t)standin_int(config, "duration_ms", 5000) * 1000;
	load->log = log_path != NULL ? fopen(log_path, "w") : NULL;
	json_object_object_get_ex(config, "entries", &list);
	load->n_entries = (guint)json_object_array_length(list);
	load->entries = g_new0(char *, load->n_entries + 1);
	for (guint i = 0; i < load->n_entries; i++)
		load->entries[i] =
			g_strdup(json_object_get_string(json_object_array_get_idx(list, i)));
	json_object_object_get_ex(config, "classes", &list);
	for (size_t i = 0; i < json_object_array_length(list); i++)
		read_class(load, json_object_array_get_idx(list, i));
}

static void
class_destroy(gpointer data)
{
	struct class *class = data;

	g_free(class->name);
	g_free(class->tier_name);
	g_free(class->model);
	g_free(class->service);
	g_ptr_array_free(class->keys, TRUE);
	g_rand_free(class->rand);
	g_free(class);
}

static void
load_destroy(struct load *load)
{
	curl_easy_cleanup(load->entries_easy);
	talloc_free(load->ev);
	g_string_free(load->entries_body, TRUE);
	g_strfreev(load->entries);
	g_ptr_array_free(load->classes, TRUE);
	g_hash_table_destroy(load->classes_ok);
	for (int i = 0; i < TIERS; i++)
	{
		g_array_free(load->first_us[i], TRUE);
		g_array_free(load->gap_us[i], TRUE);
	}
	g_rand_free(load->rand);
	g_free(load);
	curl_global_cleanup();
}

int
main(int argc, char **argv)
{
	struct json_object *config = argc == 2 ? json_object_from_file(argv[1]) : NULL;
	struct load *load = NULL;

	if (config == NULL)
	{
		fprintf(stderr, "usage: load CONFIG\n");
		return 2;
	}
	load = g_new0(struct load, 1);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	load->ev = tevent_context_init(NULL);
	load->curl = comet_curl_loop_create(load->ev, load->ev);
	load->classes = g_ptr_array_new_with_free_func(class_destroy);
	load->classes_ok = g_hash_table_new(g_str_hash, g_str_equal);
	for (int i = 0; i < TIERS; i++)
	{
		load->first_us[i] = g_array_new(FALSE, FALSE, sizeof(guint));
		load->gap_us[i] = g_array_new(FALSE, FALSE, sizeof(guint));
	}
	load->entries_easy = curl_easy_init();
	load->entries_body = g_string_new(NULL);
	curl_easy_setopt(load->entries_easy, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(load->entries_easy, CURLOPT_WRITEDATA, load->entries_body);
	curl_easy_setopt(load->entries_easy, CURLOPT_TIMEOUT_MS, 1000L);
	curl_easy_setopt(load->entries_easy, CURLOPT_PROXY, "");
	configure(load, config);
	tevent_add_timer(load->ev, load->ev, comet_clock_after(0), on_tick, load);
	while (!load->over && tevent_loop_once(load->ev) == 0)
		continue;
	if (load->log != NULL)
		fclose(load->log);
	print_results(load);
	fflush(stdout);
	load_destroy(load);
	json_object_put(config);
	return EXIT_SUCCESS;
}
