/*
 * engine.c
 * stand-in model engines: continuous batching, prefix cache, priorities, resume
 */
#include "engine.h"

#include <glib.h>
#include <libcometspindle/adapters/clock.h>
#include <libcometspindle/adapters/callers/http_loop.h>
#include <libcometspindle/hash.h>
#include <libcometspindle/scheduler/prefix.h>
#include <libcometspindle/request.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>

/* Prompt tokens computed in one step, at most. */
#define CHUNK_TOKENS 128
/* A step is longer by this part for each request in it. */
#define BATCH_SLOPE 0.02
/* A stream that nobody reads is cancelled after so long, unless it must run to its end. */
#define ORPHAN_US 3000000ULL
#define KEEP_DONE_US 10000000ULL
#define SAMPLE_US 100000ULL
#define CONTROL_US 100000ULL

static void
sequence_free(gpointer data)
{
	struct sequence *sequence = data;

	g_array_free(sequence->blocks, TRUE);
	g_string_free(sequence->out, TRUE);
	g_free(sequence);
}

void
engine_wake(struct sequence *sequence)
{
	if (sequence->connection == NULL || !sequence->suspended)
		return;
	sequence->suspended = false;
	comet_http_loop_resume(sequence->engine->http, sequence->connection);
}

/* --- cache --- */

void
engine_hash_blocks(struct sequence *sequence, const GString *prompt, const char *salt)
{
	uint64_t chain = comet_hash_bytes(salt, strlen(salt), 0);

	for (gsize at = 0; at + COMET_PREFIX_BLOCK_BYTES <= prompt->len;
		at += COMET_PREFIX_BLOCK_BYTES)
	{
		chain = comet_hash_bytes(prompt->str + at, COMET_PREFIX_BLOCK_BYTES, chain);
		g_array_append_val(sequence->blocks, chain);
	}
}

static void
cache_use(struct engine *engine, const uint64_t *block)
{
	GList *link = g_hash_table_lookup(engine->cache, block);

	if (link != NULL)
	{
		g_queue_unlink(&engine->order, link);
		g_queue_push_head_link(&engine->order, link);
		return;
	}
	uint64_t *copy = g_memdup2(block, sizeof *block);
	g_queue_push_head(&engine->order, copy);
	g_hash_table_insert(engine->cache, copy, engine->order.head);
	while (engine->order.length > engine->cache_blocks)
	{
		uint64_t *oldest = g_queue_pop_tail(&engine->order);
		g_hash_table_remove(engine->cache, oldest);
		g_free(oldest);
	}
}

/* Counts what is cached, what must be computed, and what of that was computed before. */
static void
start_prefill(struct sequence *sequence)
{
	struct engine *engine = sequence->engine;
	guint hit = 0;

	while (hit < sequence->blocks->len &&
		g_hash_table_contains(
			engine->cache, &g_array_index(sequence->blocks, uint64_t, hit)))
		hit++;
	sequence->cached_tokens = hit * COMET_PREFIX_BLOCK_TOKENS;
	for (guint i = sequence->blocks->len; i > 0; i--)
	{
		const uint64_t *block = &g_array_index(sequence->blocks, uint64_t, i - 1);
		if (i - 1 >= hit && g_hash_table_contains(engine->all->computed, block))
			sequence->twice += COMET_PREFIX_BLOCK_TOKENS;
		else if (i - 1 >= hit)
			g_hash_table_add(engine->all->computed, g_memdup2(block, sizeof *block));
		cache_use(engine, block);
	}
	sequence->to_compute = sequence->prompt_tokens - sequence->cached_tokens;
	engine->all->tokens_computed += sequence->to_compute;
	engine->all->tokens_wasted += sequence->twice;
	engine->all->wasted_by[sequence->priority % 8] += sequence->twice;
}

/* --- stepping --- */

static void
emit(struct sequence *sequence)
{
	char text[8];

	standin_token(sequence->prompt_hash, sequence->emitted++, text);
	if (!sequence->streaming)
		g_string_append(sequence->out, text);
	else if (sequence->chat)
		g_string_append_printf(sequence->out,
			"data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
			"\"delta\":{\"content\":\"%s\"}}]}\n\n",
			text);
	else
		g_string_append_printf(sequence->out,
			"data: {\"object\":\"text_completion\",\"choices\":[{\"index\":0,"
			"\"text\":\"%s\"}]}\n\n",
			text);
	if (sequence->emitted < sequence->max_tokens)
		return;
	sequence->done = true;
	sequence->done_us = standin_now_us();
	if (sequence->streaming)
		g_string_append(sequence->out, "data: [DONE]\n\n");
}

static void
drop_cancelled(struct engine *engine, GPtrArray *list)
{
	for (guint i = list->len; i > 0; i--)
	{
		struct sequence *sequence = g_ptr_array_index(list, i - 1);
		bool orphan = sequence->connection == NULL && !sequence->run_to_end &&
			      sequence->orphan_us != 0 &&
			      standin_now_us() - sequence->orphan_us > ORPHAN_US;
		if (!orphan)
			continue;
		engine->all->cancelled++;
		if (list == engine->running) /* its prompt was computed for nobody */
			engine->all->tokens_wasted +=
				sequence->prompt_tokens - sequence->cached_tokens - sequence->twice;
		sequence->cancelled = true;
		g_ptr_array_remove_index(list, i - 1);
		g_hash_table_remove(engine->sequences, sequence->id);
	}
}

static void
admit(struct engine *engine)
{
	while (engine->running->len < engine->batch && engine->waiting->len > 0)
	{
		guint best = 0;
		for (guint i = 1; i < engine->waiting->len; i++)
		{
			const struct sequence *one = g_ptr_array_index(engine->waiting, i);
			const struct sequence *other = g_ptr_array_index(engine->waiting, best);
			if (one->priority < other->priority)
				best = i;
		}
		struct sequence *sequence = g_ptr_array_remove_index(engine->waiting, best);
		g_ptr_array_add(engine->running, sequence);
		start_prefill(sequence);
	}
}

static void
on_step(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
	struct engine *engine = data;

	(void)ev;
	(void)timer;
	(void)now;
	engine->step = NULL;
	for (guint i = engine->running->len; i > 0; i--)
	{
		struct sequence *sequence = g_ptr_array_index(engine->running, i - 1);
		if (sequence->to_compute > 0)
			continue;
		emit(sequence);
		if (sequence->done)
			g_ptr_array_remove_index(engine->running, i - 1);
		if (sequence->streaming || sequence->done)
			engine_wake(sequence);
	}
	engine_schedule_step(engine);
}

/* Plans the next step: its time covers a chunk of prefill and one token for each. */
void
engine_schedule_step(struct engine *engine)
{
	uint32_t chunk = CHUNK_TOKENS;

	drop_cancelled(engine, engine->waiting);
	drop_cancelled(engine, engine->running);
	admit(engine);
	if (engine->step != NULL || engine->running->len == 0)
		return;
	for (guint i = 0; i < engine->running->len; i++)
	{
		struct sequence *sequence = g_ptr_array_index(engine->running, i);
		uint32_t part = MIN(chunk, sequence->to_compute);
		sequence->to_compute -= part;
		chunk -= part;
	}
	double step = engine->step_us * (1 + BATCH_SLOPE * engine->running->len) +
		      (CHUNK_TOKENS - chunk) * engine->prefill_us;
	engine->step = tevent_add_timer(engine->all->ev, engine->all->ev,
		comet_clock_after((uint64_t)(step * engine->slow)), on_step, engine);
}

/* --- upkeep --- */

static gboolean
is_stale(gpointer key, gpointer value, gpointer unused)
{
	const struct sequence *sequence = value;

	(void)key;
	(void)unused;
	return sequence->done && sequence->connection == NULL &&
	       standin_now_us() - sequence->done_us > KEEP_DONE_US;
}

/* A suspended reader that left is only noticed when it is woken. */
static void
wake_all(struct engine *engine)
{
	for (guint i = 0; i < engine->running->len; i++)
		engine_wake(g_ptr_array_index(engine->running, i));
	for (guint i = 0; i < engine->waiting->len; i++)
	{
		struct sequence *sequence = g_ptr_array_index(engine->waiting, i);
		if (sequence->streaming)
			engine_wake(sequence);
	}
}

static void
on_sample(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
	struct engine *engine = data;

	(void)timer;
	(void)now;
	engine->samples[engine->next_sample++ % SAMPLES] =
		(struct sample){standin_now_us(), engine->running->len, engine->waiting->len};
	g_hash_table_foreach_remove(engine->sequences, is_stale, NULL);
	if (engine->slow > 10)
		wake_all(engine);
	engine_schedule_step(engine);
	tevent_add_timer(ev, ev, comet_clock_after(SAMPLE_US), on_sample, engine);
}

/* The control file maps engine names to factors by which they are slow. */
static void
read_control(struct engines *all)
{
	struct stat status;

	if (stat(all->control_file, &status) != 0 ||
		(status.st_mtime == all->control_mtime && status.st_size == all->control_size))
		return;
	struct json_object *root = json_object_from_file(all->control_file);
	if (root == NULL)
		return;
	all->control_mtime = status.st_mtime;
	all->control_size = status.st_size;
	for (guint i = 0; i < all->list->len; i++)
	{
		struct engine *engine = g_ptr_array_index(all->list, i);
		engine->slow = (double)standin_int(root, engine->name, 1);
	}
	json_object_put(root);
}

static void
on_control(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
	struct engines *all = data;

	(void)timer;
	(void)now;
	read_control(all);
	tevent_add_timer(ev, ev, comet_clock_after(CONTROL_US), on_control, all);
}

static bool
engine_start(struct engines *all, struct json_object *config)
{
	struct engine *engine = g_new0(struct engine, 1);
	struct comet_http_config http = {
		.address = standin_string(config, "address", "127.0.0.1"),
		.port = (uint16_t)standin_int(config, "port", 0),
		.max_connections = 1000,
		.idle_timeout_s = 0,
		.on_request = engine_on_request,
		.on_completed = engine_on_completed,
		.ctx = engine,
	};

	engine->all = all;
	engine->name = g_strdup(standin_string(config, "name", "engine"));
	engine->step_us = (double)standin_int(config, "step_us", 10000);
	engine->prefill_us = (double)standin_int(config, "prefill_us", 50);
	engine->slow = 1;
	engine->batch = (uint32_t)standin_int(config, "batch", 8);
	engine->queue_max = (uint32_t)standin_int(config, "queue", 64);
	engine->cache_blocks =
		(uint32_t)standin_int(config, "kv_tokens", 16384) / COMET_PREFIX_BLOCK_TOKENS;
	engine->cache = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&engine->order);
	engine->running = g_ptr_array_new();
	engine->waiting = g_ptr_array_new();
	engine->sequences = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, sequence_free);
	engine->http = comet_http_loop_create(all->ev, all->ev, &http);
	if (engine->http == NULL)
	{
		g_printerr("engine %s: port %u cannot be listened on\n", engine->name, http.port);
		return false;
	}
	g_ptr_array_add(all->list, engine);
	tevent_add_timer(all->ev, all->ev, comet_clock_after(SAMPLE_US), on_sample, engine);
	return true;
}

bool
standin_engines_start(struct tevent_context *ev, struct json_object *config)
{
	struct engines *all = g_new0(struct engines, 1);
	struct json_object *list = NULL;

	all->ev = ev;
	all->list = g_ptr_array_new();
	all->computed = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	all->report_lag_us = (uint64_t)standin_int(config, "report_lag_ms", 0) * 1000;
	all->control_file = g_strdup(standin_string(config, "control_file", "/nonexistent"));
	json_object_object_get_ex(config, "engines", &list);
	for (size_t i = 0; list != NULL && i < json_object_array_length(list); i++)
	{
		if (!engine_start(all, json_object_array_get_idx(list, i)))
			return false;
	}
	tevent_add_timer(ev, ev, comet_clock_after(0), on_control, all);
	return true;
}
