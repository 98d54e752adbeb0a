/*
 * crash_tracker.h
 * requests, or parts of prompts, that crash endpoint processes, as seen by this VM and by its peers
 *
 * A request that crashes every endpoint which runs it arrives again under other ids at any VM, and
 * so does a part that the prompts of different requests share. A tracker watches subjects of one of
 * these two kinds. Each VM counts the processes that crashed under a subject, from its own attempts
 * and from gossip. The count is the size of a set of incarnations, so the order, the number and the
 * source of the reports do not matter. After some crashes (the tracker's rules) the subject is
 * quarantined: it is sent to no endpoint.
 *
 * A subject that only ran at the same time as such a subject, or whose endpoint crashed for another
 * reason, is not quarantined: a successful response that began after the first crash excuses all
 * crashes of the subject, and a crash that is explained by a subject with more crashes does not
 * count. A response that began earlier excuses nothing, because an engine may start to crash under
 * a subject that it has served. But a subject that was being served when its first process crashed
 * runs on all endpoints that fail together, so only attempts that were sent after that crash count.
 * This module uses no sockets and no clock; the caller passes the time.
 */
#ifndef COMETSPINDLE_GATEWAY_CRASH_TRACKER_H
#define COMETSPINDLE_GATEWAY_CRASH_TRACKER_H

#include <libcometspindle/gateway/admission/fingerprint.h>
#include <libcometspindle/proto/view.pb.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** When a subject is quarantined, and how it is released. */
struct comet_crash_tracker_rules
{
	uint32_t crashes;      /**< after which a subject is quarantined */
	bool several_requests; /**< only if different requests were among them */
	uint64_t trial_us; /**< time in quarantine, in microseconds, after which one VM sends the
			      subject once more; 0: never. Each further trial comes after three
			      times that time. */
};

/** Rules for requests. */
extern const struct comet_crash_tracker_rules comet_crash_tracker_requests;

/** Rules for parts of prompts. */
extern const struct comet_crash_tracker_rules comet_crash_tracker_parts;

/** A change in what is known of a subject. */
enum comet_crash_tracker_event
{
	COMET_CRASH_TRACKER_COUNTED,     /**< another process crashed under the subject */
	COMET_CRASH_TRACKER_QUARANTINED, /**< the subject must not be sent any more */
	COMET_CRASH_TRACKER_RELEASED,    /**< the subject may be sent again */
	COMET_CRASH_TRACKER_EXCUSED,     /**< it was served, so its earlier crashes are excused */
};

struct comet_crash_tracker_ops
{
	/** Reports a change, with the number of processes whose crashes count against the subject.
	 * detected_here is false if a peer reported the change. */
	void (*on_change)(void *ctx, const struct comet_fingerprint *subject,
		enum comet_crash_tracker_event event, uint32_t incarnations, bool detected_here);
	/** @return whether the crash of an incarnation has a cause that this tracker does not
	 * watch. May be NULL. */
	bool (*is_explained)(void *ctx, uint32_t incarnation_key);
	/** @return when an incarnation was last seen alive; 0: it is not in use any more. May be
	 * NULL. */
	uint64_t (*last_seen_us)(void *ctx, uint32_t incarnation_key);
};

/** Sizes of the tracker's tables. */
struct comet_crash_tracker_counts
{
	uint32_t records;     /**< subjects under which at least one process crashed */
	uint32_t quarantined; /**< quarantined subjects */
	uint32_t crash_suspects;
};

struct comet_crash_tracker;

struct comet_crash_tracker *
comet_crash_tracker_create(void *parent, const struct comet_crash_tracker_rules *rules,
	const struct comet_crash_tracker_ops *ops, void *ctx);

/** @return whether the subject must not be sent to any endpoint. */
bool
comet_crash_tracker_is_quarantined(
	struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject);

/**
 * @return whether a request that has crashed an endpoint, or a part, has further attempts whose
 * processes may have crashed too, which would quarantine it. The caller must not send the subject
 * until that is known.
 */
bool
comet_crash_tracker_is_undecided(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *subject, uint64_t now_us);

/** @return whether this VM has a trial of a quarantined subject that is due: one attempt that shows
 * whether it was blamed by mistake */
bool
comet_crash_tracker_has_trial(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *subject, uint64_t now_us);

/** Takes the trial: the caller sends the subject once. */
void
comet_crash_tracker_take_trial(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *subject, uint64_t now_us);

/** Returns a trial that has shown nothing, because no endpoint ran the subject. */
void
comet_crash_tracker_return_trial(
	struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject);

/** @return whether an incarnation crashed under a quarantined subject. */
bool
comet_crash_tracker_explains(
	const struct comet_crash_tracker *crash_tracker, uint32_t incarnation_key);

/** Decides again which subjects are quarantined, after is_explained() may have changed. */
void
comet_crash_tracker_review(struct comet_crash_tracker *crash_tracker, uint64_t now_us);

/** An attempt at an endpoint that ended without a response, or with one that its end delimits. */
struct comet_crash_attempt
{
	struct comet_fingerprint subject; /**< the request, or a part of its prompt */
	uint32_t incarnation_key;         /**< of the endpoint's process */
	uint64_t last_seen_us;            /**< when that incarnation was last seen alive */
	bool cancelled; /**< the caller disconnected while the process was running the request */
	uint64_t request_digest; /**< of the request's fingerprint */
	bool answered;     /**< with a response that is complete unless the process has crashed */
	uint64_t sent_us;  /**< when the request was sent to the endpoint */
	uint64_t began_us; /**< when the response began; 0: it did not */
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

/** An endpoint returned a successful response to a request with the subject, which began at
 * began_us. */
void
comet_crash_tracker_mark_served(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *subject, uint64_t began_us, uint64_t now_us);

/** Drops expired records and suspects; call at least once a second. */
void
comet_crash_tracker_tick(struct comet_crash_tracker *crash_tracker, uint64_t now_us);

/** Encodes at most max_records records for a gossip message: of the recently changed ones one with
 * several crashes and one that this VM has counted, then the others in turn. @return the number of
 * encoded records */
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
