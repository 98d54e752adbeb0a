/*
 * crash_tracker.h
 * requests that crash endpoint processes, as seen by this VM and by its peers
 *
 * A request that crashes every endpoint which runs it arrives again under other ids at any VM. Each
 * VM counts the processes that crashed under a request, from its own attempts and from gossip. The
 * count is the size of a set of incarnations, so the order, the number and the source of the
 * reports do not matter. After the third crash the request is quarantined: it is sent to no
 * endpoint.
 *
 * A request that only ran at the same time as such a request, or whose endpoint crashed for another
 * reason, is not quarantined: a successful response excuses all earlier crashes of the request, and
 * a crash that is explained by a request with more crashes does not count. This module uses no
 * sockets and no clock; the caller passes the time.
 */
#ifndef COMETSPINDLE_GATEWAY_CRASH_TRACKER_H
#define COMETSPINDLE_GATEWAY_CRASH_TRACKER_H

#include <libcometspindle/gateway/admission/fingerprint.h>
#include <libcometspindle/proto/view.pb.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A change in what is known of a request. */
enum comet_crash_tracker_event
{
	COMET_CRASH_TRACKER_COUNTED,     /**< another process crashed under the request */
	COMET_CRASH_TRACKER_QUARANTINED, /**< the request must not be sent any more */
	COMET_CRASH_TRACKER_RELEASED,    /**< the request may be sent again */
	COMET_CRASH_TRACKER_EXCUSED,     /**< it was served, so its earlier crashes are excused */
};

struct comet_crash_tracker_ops
{
	/** Reports a change, with the number of processes whose crashes count against the request.
	 * detected_here is false if a peer reported the change. */
	void (*on_change)(void *ctx, const struct comet_fingerprint *request,
		enum comet_crash_tracker_event event, uint32_t incarnations, bool detected_here);
};

/** Sizes of the tracker's tables. */
struct comet_crash_tracker_counts
{
	uint32_t records;     /**< requests under which at least one process crashed */
	uint32_t quarantined; /**< quarantined requests */
	uint32_t crash_suspects;
};

struct comet_crash_tracker;

struct comet_crash_tracker *
comet_crash_tracker_create(void *parent, const struct comet_crash_tracker_ops *ops, void *ctx);

/** @return whether the request must not be sent to any endpoint. */
bool
comet_crash_tracker_is_quarantined(
	struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *request);

/**
 * @return whether a request that has crashed an endpoint has further attempts whose processes may
 * have crashed too, which would quarantine it. The caller must not send the request until that is
 * known.
 */
bool
comet_crash_tracker_is_undecided(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *request, uint64_t now_us);

/** An attempt of a request at an endpoint that ended without a response. */
struct comet_crash_attempt
{
	struct comet_fingerprint request;
	uint32_t incarnation_key; /**< of the endpoint's process */
	uint64_t last_seen_us;    /**< when that incarnation was last seen alive */
	bool cancelled; /**< the caller disconnected while the process was running the request */
};

/** Records an attempt. It counts as a crash if its incarnation has crashed or crashes later, and
 * was not seen alive after the attempt ended. */
void
comet_crash_tracker_add_suspect(struct comet_crash_tracker *crash_tracker,
	const struct comet_crash_attempt *attempt, uint64_t now_us);

/** An incarnation of an endpoint's process crashed; last_seen_us is when it was last seen alive. */
void
comet_crash_tracker_process_crashed(struct comet_crash_tracker *crash_tracker,
	uint32_t incarnation_key, uint64_t last_seen_us, uint64_t now_us);

/** An incarnation exited as planned, so its attempts do not count as crashes. */
void
comet_crash_tracker_process_exited(
	struct comet_crash_tracker *crash_tracker, uint32_t incarnation_key);

/** An endpoint returned a successful response to the request. */
void
comet_crash_tracker_mark_served(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *request, uint64_t now_us);

/** Drops expired records and suspects; call at least once a second. */
void
comet_crash_tracker_tick(struct comet_crash_tracker *crash_tracker, uint64_t now_us);

/** Encodes at most max_records records for a gossip message: recently changed ones first, then the
 * others in turn. @return the number of encoded records */
size_t
comet_crash_tracker_encode(struct comet_crash_tracker *crash_tracker, comet_Crashed *records,
	size_t max_records, uint64_t now_us);

/** Merges a record that a peer reported. */
void
comet_crash_tracker_merge(
	struct comet_crash_tracker *crash_tracker, const comet_Crashed *reported, uint64_t now_us);

struct comet_crash_tracker_counts
comet_crash_tracker_count(const struct comet_crash_tracker *crash_tracker);

#endif
