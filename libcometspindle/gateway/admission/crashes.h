/*
 * crashes.h
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
#ifndef COMETSPINDLE_GATEWAY_CRASHES_H
#define COMETSPINDLE_GATEWAY_CRASHES_H

#include <libcometspindle/gateway/admission/fingerprint.h>
#include <libcometspindle/proto/view.pb.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What has become known of a request. */
enum comet_crashes_news
{
	COMET_CRASHES_COUNTED,  /**< another endpoint's process crashed under it */
	COMET_CRASHES_BARRED,   /**< it is not to be sent any more */
	COMET_CRASHES_RELEASED, /**< it may be sent again */
	COMET_CRASHES_EXCUSED,  /**< it was served: the crashes so far were not its doing */
};

struct comet_crashes_ops
{
	/** lives: processes that crashed under it and count; own: this VM found it out, no other
	 * has told it. */
	void (*news)(void *ctx, const struct comet_fingerprint *request,
		enum comet_crashes_news news, uint32_t lives, bool own);
};

/** How many of each there are. */
struct comet_crashes_counts
{
	uint32_t records; /**< requests under which any endpoint crashed */
	uint32_t barred;  /**< requests */
	uint32_t suspects;
};

struct comet_crashes;

struct comet_crashes *
comet_crashes_create(void *parent, const struct comet_crashes_ops *ops, void *ctx);

/** @return whether the request is not to be sent to any endpoint. */
bool
comet_crashes_bars(struct comet_crashes *crashes, const struct comet_fingerprint *request);

/**
 * @return whether a request that has crashed an endpoint may just have crashed others, so that it
 * would be barred: it is not to be sent before that is known.
 */
bool
comet_crashes_doubts(
	struct comet_crashes *crashes, const struct comet_fingerprint *request, uint64_t now_us);

/** A run of a request at an endpoint that ended without an answer. */
struct comet_crashes_run
{
	struct comet_fingerprint request;
	uint32_t life;     /**< of the endpoint's process */
	uint64_t heard_us; /**< when that life was last heard */
	bool cancelled;    /**< its caller left, while the process worked */
};

/** The run is counted if that life turns out to have ended with it, or has, and nothing was heard
 * of it since. */
void
comet_crashes_suspect(
	struct comet_crashes *crashes, const struct comet_crashes_run *run, uint64_t now_us);

/** That life of an endpoint's process ended unplanned; heard_us: when it was last heard. */
void
comet_crashes_life_ended(
	struct comet_crashes *crashes, uint32_t life, uint64_t heard_us, uint64_t now_us);

/** That life ended as planned: nobody crashed it. */
void
comet_crashes_life_left(struct comet_crashes *crashes, uint32_t life);

/** An endpoint answered the request with success. */
void
comet_crashes_served(
	struct comet_crashes *crashes, const struct comet_fingerprint *request, uint64_t now_us);

/** Forgets what is old; call about once a second or more often. */
void
comet_crashes_tick(struct comet_crashes *crashes, uint64_t now_us);

/** Writes up to most records for a view, the newest first and the others in turn.
 * @return their number */
size_t
comet_crashes_put(
	struct comet_crashes *crashes, comet_Crashed *records, size_t most, uint64_t now_us);

/** Another VM's view tells of a request. */
void
comet_crashes_take(struct comet_crashes *crashes, const comet_Crashed *told, uint64_t now_us);

struct comet_crashes_counts
comet_crashes_count(const struct comet_crashes *crashes);

#endif
