/*
 * engine.h
 * what the stand-in engine's files share
 */
#ifndef COMETSPINDLE_TESTS_ENGINE_H
#define COMETSPINDLE_TESTS_ENGINE_H

#include "standin.h"

#include <glib.h>
#include <libcometspindle/adapters/callers/http_loop.h>

#define SAMPLES 64

struct sequence
{
	struct engine *engine;
	char id[64];
	struct MHD_Connection *connection; /* of the present reader */
	bool suspended;
	bool streaming;
	bool chat;
	bool run_to_end;
	bool done;
	bool cancelled;
	bool queued_answer;
	uint32_t priority;
	uint64_t prompt_hash;
	GArray *blocks;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t to_compute;
	uint32_t twice; /* of these, computed before anywhere */
	uint32_t max_tokens;
	uint32_t emitted;
	uint64_t orphan_us;
	uint64_t done_us;
	GString *out;
};

struct sample
{
	uint64_t at_us;
	uint32_t running;
	uint32_t queued;
};

struct engine
{
	struct engines *all;
	char *name;
	struct comet_http_loop *http;
	double step_us;
	double prefill_us;
	double slow;
	uint32_t batch;
	uint32_t queue_max;
	uint32_t cache_blocks;
	GHashTable *cache; /* block hash -> GList link in order */
	GQueue order;      /* most recent first */
	GPtrArray *running;
	GPtrArray *waiting;
	GHashTable *sequences; /* id -> sequence */
	struct tevent_timer *step;
	struct sample samples[SAMPLES];
	uint32_t next_sample;
};

struct engines
{
	struct tevent_context *ev;
	GPtrArray *list;
	GHashTable *computed; /* every block computed by any engine here */
	uint64_t report_lag_us;
	char *control_file;
	time_t control_mtime;
	off_t control_size;
	uint64_t tokens_computed;
	uint64_t tokens_wasted;
	uint64_t wasted_by[8]; /* by priority */
	uint64_t requests;
	uint64_t refused;
	uint64_t cancelled;
};

/* engine.c */

/** Plans the next step of an engine, if there is work. */
void
engine_schedule_step(struct engine *engine);

/** Lets the present reader of a sequence go on. */
void
engine_wake(struct sequence *sequence);

/** Fills the chained hashes of a prompt's blocks. */
void
engine_hash_blocks(struct sequence *sequence, const GString *prompt, const char *salt);

/* engine_http.c */

/** Handler of an engine's HTTP requests. */
enum MHD_Result
engine_on_request(void *ctx, struct MHD_Connection *connection, const char *url, const char *method,
	const char *version, const char *data, size_t *length, void **request_ctx);

/** Handler of their ends. */
void
engine_on_completed(void *ctx, struct MHD_Connection *connection, void **request_ctx,
	enum MHD_RequestTerminationCode code);

#endif
