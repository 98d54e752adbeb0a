/*
 * crash_tracker.h
 * requests under which endpoints' processes crashed, as this VM and the others saw it
 *
 * A request that crashes each endpoint which begins to run it comes again, under other ids, at any
 * VM. Each VM counts the processes that crashed under a request, by what it saw and by what the
 * others tell in their views; what is counted is a set of processes' lives, so that it does not
 * matter in which order, how often and by whom one is told. After the third the request is barred:
 * it is sent to no endpoint any more.
 *
 * A request that merely ran beside such a one, or whose endpoint died of something else, is not
 * barred: what was served shows that it crashes nothing, and a crash that a worse request explains
 * does not count. No sockets and no clock in here: times are passed in.
 */
#ifndef COMETSPINDLE_GATEWAY_CRASH_TRACKER_H
#define COMETSPINDLE_GATEWAY_CRASH_TRACKER_H

#include <libcometspindle/gateway/admission/fingerprint.h>
#include <libcometspindle/proto/view.pb.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What has become known of a request. */
enum comet_crash_tracker_event
{
	COMET_CRASH_TRACKER_COUNTED,     /**< another endpoint's process crashed under it */
	COMET_CRASH_TRACKER_QUARANTINED, /**< it is not to be sent any more */
	COMET_CRASH_TRACKER_RELEASED,    /**< it may be sent again */
	COMET_CRASH_TRACKER_CLEARED, /**< it was served: the crashes so far were not its doing */
};

struct comet_crash_tracker_ops
{
	/** lives: processes that crashed under it and count; own: this VM found it out, no other
	 * has told it. */
	void (*news)(void *ctx, const struct comet_fingerprint *request,
		enum comet_crash_tracker_event news, uint32_t lives, bool own);
};

/** How many of each there are. */
struct comet_crash_tracker_counts
{
	uint32_t records; /**< requests under which any endpoint crashed */
	uint32_t barred;  /**< requests */
	uint32_t crash_suspects;
};

struct comet_crash_tracker;

struct comet_crash_tracker *
comet_crash_tracker_create(void *parent, const struct comet_crash_tracker_ops *ops, void *ctx);

/** @return whether the request is not to be sent to any endpoint. */
bool
comet_crash_tracker_is_quarantined(
	struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *request);

/**
 * @return whether a request that has crashed an endpoint may just have crashed others, so that it
 * would be barred: it is not to be sent before that is known.
 */
bool
comet_crash_tracker_is_undecided(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *request, uint64_t now_us);

/** A run of a request at an endpoint that ended without an answer. */
struct comet_crash_tracker_run
{
	struct comet_fingerprint request;
	uint32_t incarnation_key; /**< of the endpoint's process */
	uint64_t last_seen_us;    /**< when that life was last heard */
	bool cancelled;           /**< its caller left, while the process worked */
};

/** The run is counted if that life turns out to have ended with it, or has, and nothing was heard
 * of it since. */
void
comet_crash_tracker_add_suspect(struct comet_crash_tracker *crash_tracker,
	const struct comet_crash_tracker_run *run, uint64_t now_us);

/** That life of an endpoint's process ended unplanned; last_seen_us: when it was last heard. */
void
comet_crash_tracker_process_crashed(struct comet_crash_tracker *crash_tracker,
	uint32_t incarnation_key, uint64_t last_seen_us, uint64_t now_us);

/** That life ended as planned: nobody crashed it. */
void
comet_crash_tracker_process_exited(
	struct comet_crash_tracker *crash_tracker, uint32_t incarnation_key);

/** An endpoint answered the request with success. */
void
comet_crash_tracker_served(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *request, uint64_t now_us);

/** Forgets what is old; call about once a second or more often. */
void
comet_crash_tracker_tick(struct comet_crash_tracker *crash_tracker, uint64_t now_us);

/** Writes up to most records for a view, the newest first and the others in turn.
 * @return their number */
size_t
comet_crash_tracker_encode(struct comet_crash_tracker *crash_tracker, comet_Crashed *records,
	size_t most, uint64_t now_us);

/** Another VM's view tells of a request. */
void
comet_crash_tracker_merge(
	struct comet_crash_tracker *crash_tracker, const comet_Crashed *told, uint64_t now_us);

struct comet_crash_tracker_counts
comet_crash_tracker_count(const struct comet_crash_tracker *crash_tracker);

#endif
