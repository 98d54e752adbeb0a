/*
 * placement.h
 * which endpoint a request goes to, when, and what is refused early
 *
 * Requests that find no room wait in order of rank; each is offered as soon as
 * an endpoint has room for its rank, or refused once it could not be answered
 * in a time in which its caller still waits.
 */
#ifndef COMETSPINDLE_GATEWAY_PLACEMENT_H
#define COMETSPINDLE_GATEWAY_PLACEMENT_H

#include <glib.h>
#include <libcometspindle/gateway/instances.h>
#include <libcometspindle/gateway/shards.h>
#include <stdbool.h>
#include <stdint.h>

/** Endpoints that one request may be kept from: it was there already. */
#define COMET_PLACEMENT_TRIED_MAX 4

/** Endpoints that one ask may except. */
#define COMET_PLACEMENT_EXCEPT_MAX 16

/** A request that is to be placed; embedded in its owner. */
struct comet_placement_item
{
	const char *service;
	struct comet_job job;
	uint32_t team_rank;  /**< goes first: 0 is the most urgent */
	uint32_t route_rank; /**< among equal team_rank */
	bool repeatable;     /**< a failure on an endpoint of doubtful health can be made good */
	uint64_t end_us;     /**< an answer that is not whole by then is lost; 0: no bound */
	uint64_t latest_us;  /**< to be dispatched by then or not at all */
	uint64_t aim_us;     /**< an answer that begins later is of little use; 0: no such time */
	uint64_t early_us;   /**< a refusal before then costs its caller little */
	uint32_t tried[COMET_PLACEMENT_TRIED_MAX]; /**< keys of instances it was sent to */
	uint32_t n_tried;
	void *owner;
	uint32_t keeper; /**< VM that granted the slot it was sent to; 0: none did */
	/* placement's own */
	bool asking; /* a keeper's answer is awaited */
	bool queued; /* it has waited */
	bool late;   /* it cannot begin by aim_us any more */
	bool held;   /* there is room, but only where it would be late */
	GSequenceIter *place;
	uint64_t since_us;
	uint64_t order;
};

/** Which slot a keeper is asked for, and for what request. */
struct comet_placement_ask
{
	uint32_t asker;         /**< keeper's side: address of the VM that asks */
	uint64_t number;        /**< keeper's side: of the ask, for its VM */
	uint32_t shard;         /**< id */
	uint32_t beyond;        /**< requests that may be at an endpoint beyond its slots */
	const uint32_t *except; /**< keys of endpoints that are not wanted */
	size_t n_except;
	struct comet_job job;
	uint32_t team_rank;
	uint32_t route_rank;
	bool late;        /**< it cannot be in time any more */
	uint64_t end_us;  /**< the answer must be whole by then; 0: no bound */
	uint64_t aim_us;  /**< it should begin by then; 0: no matter */
	uint64_t wait_us; /**< it may wait so long for a slot; 0: an answer is wanted at once */
};

/** Who keeps count of a shard. */
enum comet_placement_keeper
{
	COMET_PLACEMENT_KEEPER_NONE,  /**< nobody that answers: views have to do */
	COMET_PLACEMENT_KEEPER_SELF,  /**< this VM */
	COMET_PLACEMENT_KEEPER_OTHER, /**< another VM, which must be asked */
};

struct comet_placement_ops
{
	/** Send it there now. */
	void (*dispatch)(
		void *ctx, struct comet_placement_item *item, struct comet_instance *instance);
	/** It has not run; come back after retry_after_ms. */
	void (*refuse)(void *ctx, struct comet_placement_item *item, uint32_t retry_after_ms);
	/** Who keeps count of it; NULL: nobody ever does. */
	enum comet_placement_keeper (*keeper)(void *ctx, struct comet_shard *shard);
	/** Asks its keeper; ends in comet_placement_granted, _denied or _unanswered. */
	void (*ask)(void *ctx, struct comet_placement_item *item, struct comet_shard *shard,
		const struct comet_placement_ask *ask);
	/** The answer to an ask is not awaited any more. */
	void (*forget)(void *ctx, struct comet_placement_item *item);
	/** Keeper's side: a request that has waited here may have a slot. */
	void (*grant)(
		void *ctx, const struct comet_placement_ask *ask, struct comet_instance *instance);
};

/** Why the last choice fell on an instance, for the log. */
struct comet_placement_reason
{
	uint32_t load;
	uint32_t slots;
	uint32_t candidates;
	uint32_t with_room;
	uint64_t first_us;
	uint64_t whole_us;
	uint64_t waited_us;
	uint64_t view_age_us; /**< of what is known of its load */
	double cost;          /**< by which it was the cheapest, in microseconds */
	bool held; /**< none was chosen: those with room would make it late, a full one would not */
};

struct comet_placement;

/** seed: for draws that must differ between VMs. */
struct comet_placement *
comet_placement_create(void *parent, struct comet_instances *instances,
	const struct comet_placement_ops *ops, void *ctx, uint64_t seed);

/** A request is to be placed; answered by dispatch or refuse, perhaps before this returns. */
void
comet_placement_submit(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/** It is not to be placed any more; nothing happens if it does not wait. */
void
comet_placement_withdraw(struct comet_placement *placement, struct comet_placement_item *item);

/** Room may have come up, or time has passed. */
void
comet_placement_run(struct comet_placement *placement, uint64_t now_us);

/** A keeper granted a slot. @return false when it cannot be used and is to be given back. */
bool
comet_placement_granted(struct comet_placement *placement, struct comet_placement_item *item,
	uint32_t keeper, uint32_t instance_key, uint64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/** Nothing in the shard has room at that level. */
void
comet_placement_denied(struct comet_placement *placement, struct comet_placement_item *item,
	uint32_t shard, uint32_t beyond, uint64_t now_us);

/** It has waited at the keeper for as long as it was to, and no slot came free for it. */
void
comet_placement_waited(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/** The keeper did not answer. */
void
comet_placement_unanswered(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/** A request of ours has left a slot. */
void
comet_placement_freed(struct comet_placement *placement, const struct comet_instance *instance);

/**
 * Chooses, as keeper, for a request of another VM.
 * @return NULL when nothing has room; waits: it is granted a slot later, or forgotten after wait_us
 */
struct comet_instance *
comet_placement_choose_for(struct comet_placement *placement, const struct comet_placement_ask *ask,
	uint64_t now_us, bool *waits);

/** Calls visit for each service that was asked for, with the requests that wait for it. */
void
comet_placement_each_service(const struct comet_placement *placement,
	void (*visit)(void *ctx, const char *service, uint32_t waiting), void *ctx);

/** How long one more request of the item's rank would wait, as things stand. */
uint64_t
comet_placement_wait_us(struct comet_placement *placement, const struct comet_placement_item *item,
	uint64_t now_us);

/** One number for a rank, for metrics and paces: 0 is the most urgent. */
uint32_t
comet_placement_rank(const struct comet_placement_item *item);

/** @return whether there is an instance that the item was not sent to yet. */
bool
comet_placement_has_other(
	const struct comet_placement *placement, const struct comet_placement_item *item);

const struct comet_placement_reason *
comet_placement_reason(const struct comet_placement *placement);

#endif
