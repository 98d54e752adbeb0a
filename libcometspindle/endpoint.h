/*
 * endpoint.h
 * what a scheduler knows of one endpoint: work on it, learned speeds, limit, health
 */
#ifndef COMETSPINDLE_ENDPOINT_H
#define COMETSPINDLE_ENDPOINT_H

#include <libcometspindle/bundle.h>
#include <libcometspindle/scheduler/prefix.h>
#include <libcometspindle/verdict.h>
#include <stdbool.h>
#include <stdint.h>

enum comet_health
{
	COMET_HEALTH_OK,
	COMET_HEALTH_SUSPECT, /**< failing or silent: only probes until it answers */
	COMET_HEALTH_OUT,     /**< failed again and again: probes, ever further apart */
};

struct comet_endpoint_state
{
	const struct comet_endpoint *config; /**< owned by the bundle in force */
	uint32_t id;
	uint32_t running;       /**< granted and not over */
	uint32_t foreign;       /**< work on it that no grant of ours explains */
	uint64_t prefill_ahead; /**< prompt tokens granted whose first token is not known */
	double limit;           /**< requests at once, found by probing */
	double step_us;         /**< learned time between tokens */
	double prefill_us;      /**< learned time per prompt token */
	uint32_t samples;
	enum comet_health health;
	uint32_t failures;        /**< in a row */
	uint64_t probe_at_us;     /**< when it may next be probed while not healthy */
	uint32_t running_peak[2]; /**< most running in this and the last report window */
	uint64_t window_started_us;
	struct comet_prefix_index *prefixes;
};

/** What a decision needs to know of a request. */
struct comet_work
{
	uint32_t tier;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	const struct comet_prefix *prefix;
};

/** Cost terms of one candidate, as the decision line shows them. */
struct comet_cost
{
	uint32_t cached_tokens;
	uint64_t wait_us;    /**< prefill queued ahead */
	uint64_t prefill_us; /**< own prompt tokens not cached there */
	uint64_t decode_us;  /**< output at the learned speed */
	uint64_t finish_us;  /**< wait + prefill + decode */
	uint64_t total_us;   /**< finish plus the weight put on prefill done again */
};

/** A sample of speed from a finished or running stream; 0 where unknown. */
struct comet_sample
{
	uint32_t first_token_us;
	uint32_t step_us;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t output_tokens;
};

void
comet_endpoint_init(
	struct comet_endpoint_state *state, void *parent, const struct comet_endpoint *config);

/** Cost of running work there now, with this many prompt tokens cached there. */
void
comet_endpoint_cost(const struct comet_endpoint_state *state, const struct comet_work *work,
	uint32_t cached, uint32_t reuse_weight, struct comet_cost *cost);

/**
 * @return whether a request of a tier with this share may start there now.
 * trust_health false: so many look bad that the view must be wrong.
 */
bool
comet_endpoint_has_room(const struct comet_endpoint_state *state, uint32_t share_percent,
	bool trust_health, uint64_t now_us);

/** A grant was given. */
void
comet_endpoint_start(struct comet_endpoint_state *state, const struct comet_work *work,
	uint32_t cached, uint64_t now_us);

/** A grant is over. @return true when its health changed. */
bool
comet_endpoint_finish(struct comet_endpoint_state *state, enum comet_outcome outcome,
	const struct comet_sample *sample, uint32_t gap_target_ms, uint64_t now_us);

/** A running stream is slower than known (step_us), or silent (0). */
bool
comet_endpoint_slow(struct comet_endpoint_state *state, uint32_t step_us, uint64_t now_us);

/** A load report arrived: total requests on the endpoint, some time ago. */
void
comet_endpoint_report(struct comet_endpoint_state *state, uint32_t total, uint64_t now_us);

const char *
comet_health_name(enum comet_health health);

#endif
