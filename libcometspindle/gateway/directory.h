/*
 * directory.h
 * port: the source of the routing document and the endpoints
 *
 * The adapter of the platform implements the vtable. The directory is never
 * written to. VMs resync from one another by snapshots and deltas, whose format
 * is private to the adapter.
 */
#ifndef COMETSPINDLE_GATEWAY_DIRECTORY_H
#define COMETSPINDLE_GATEWAY_DIRECTORY_H

#include <glib.h>
#include <libcometspindle/gateway/endpoints/instances.h>
#include <libcometspindle/gateway/routing/routes.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * A position states how far a VM has read the directory, as one number that VMs can compare. A
 * position in a later epoch is newer, whatever its revision: a directory that is restored from an
 * earlier copy reuses revisions in the next epoch.
 */
#define COMET_DIRECTORY_REVISION_BITS 44 /* 400 writes a second for 1,300 years */
#define COMET_DIRECTORY_EPOCH_MAX ((1U << 19) - 1)

static inline uint64_t
comet_directory_position(uint64_t epoch, uint64_t revision)
{
	const uint64_t most = (1ULL << COMET_DIRECTORY_REVISION_BITS) - 1;

	return (epoch << COMET_DIRECTORY_REVISION_BITS) | (revision < most ? revision : most);
}

static inline uint64_t
comet_directory_epoch(uint64_t position)
{
	return position >> COMET_DIRECTORY_REVISION_BITS;
}

static inline uint64_t
comet_directory_revision(uint64_t position)
{
	return position & ((1ULL << COMET_DIRECTORY_REVISION_BITS) - 1);
}

/** An item of the directory that is invalid. */
struct comet_directory_invalid_item
{
	const char *key;   /**< its key in the directory */
	uint64_t revision; /**< revision of its last change */
	const char *why;
	const char *endpoint; /**< id of an endpoint that must not be used any more; NULL: the
				 previous version of the item stays in force */
};

/** Outcome of a call to the directory. */
enum comet_directory_call
{
	COMET_DIRECTORY_CALL_PAGE, /**< page of a list, which is read at a start or after a loss of
				      history */
	COMET_DIRECTORY_CALL_CHANGES,    /**< a watch that ended with changes */
	COMET_DIRECTORY_CALL_NO_CHANGES, /**< a watch that ended without changes */
	COMET_DIRECTORY_CALL_FAILED,     /**< refused or unanswered */
};

/** Outcome of a read of the history. */
enum comet_directory_history
{
	COMET_DIRECTORY_HISTORY_COMPLETE, /**< all endpoints that were ever listed were reported */
	COMET_DIRECTORY_HISTORY_GONE,     /**< the directory has forgotten a part of it for good */
	COMET_DIRECTORY_HISTORY_UNREAD,   /**< refused or unanswered */
};

#define COMET_DIRECTORY_CALLS (COMET_DIRECTORY_CALL_FAILED + 1)

struct comet_directory_events
{
	/** A newer routing document was read; the callee takes the reference. lag_us: time since
	 * its existence was reported. */
	void (*routes)(void *ctx, struct comet_route_table *table, uint64_t lag_us);
	/** An endpoint was added or changed. */
	void (*instance)(void *ctx, const struct comet_instance_record *record);
	/** An endpoint is no longer listed. outage_us: when the directory was last known to be
	 * down, if the endpoint may come back after that outage. The outage may have lasted longer.
	 * 0: it is not expected back. */
	void (*instance_gone)(void *ctx, const char *id, uint64_t outage_us);
	/** An availability zone was evacuated: its endpoints receive no new requests. */
	void (*evacuated)(void *ctx, const char *zone);
	/** The evacuation of a zone has ended. tentative: the order is missing from an earlier copy
	 * from which the directory was restored, and may be written again. */
	void (*restored)(void *ctx, const char *zone, bool tentative);
	/** An invalid item was published; the other items stay in force. */
	void (*item_invalid)(void *ctx, const struct comet_directory_invalid_item *item);
	/** All changes up to `position` have been reported, and those of endpoints up to
	 * `endpoints`. */
	void (*revision)(void *ctx, uint64_t position, uint64_t endpoints);
	/** The directory has started another epoch, in which its history is read from now on. */
	void (*epoch)(void *ctx, uint64_t epoch, uint64_t before);
	/** A call has ended; reported for each call. */
	void (*called)(void *ctx, enum comet_directory_call call);
	/** The directory has responded to a call; reported for each response. */
	void (*answered)(void *ctx);
	/** The directory answers again (available) or has stopped answering. */
	void (*availability_changed)(void *ctx, bool available, const char *why);
	/** Changes may have been missed: endpoints may have been listed for a time without being
	 * reported. */
	void (*changes_missed)(void *ctx);
	/** A read of the history has found a present or past state of an endpoint. */
	void (*past_endpoint)(void *ctx, const struct comet_instance_record *record);
	/** A read of the history has ended. */
	void (*history_read)(void *ctx, enum comet_directory_history result);
};

/** How a VM reads the directory. */
enum comet_directory_mode
{
	COMET_DIRECTORY_MODE_DIRECT,   /**< reads it for itself */
	COMET_DIRECTORY_MODE_READER,   /**< reads it and reports changes to other VMs immediately */
	COMET_DIRECTORY_MODE_FOLLOWER, /**< receives changes from readers */
	COMET_DIRECTORY_MODE_FALLBACK, /**< reads it for itself until a reader reports again */
	COMET_DIRECTORY_MODE_WAITING,  /**< has just started: reads no more than the first page of
					  the list, and waits for the snapshot of a peer */
};

struct comet_directory;

struct comet_directory_ops
{
	/** Starts reading, which continues until the directory is freed. */
	void (*start)(struct comet_directory *directory);
	/** Sets the number of VMs that read the same directory; with more VMs, each polls less
	 * often. */
	void (*set_vms)(struct comet_directory *directory, uint32_t vms);
	/** Restarts a watch that has waited for this long while peers reported changes. @return
	 * whether there was one. */
	bool (*restart_stale_watch)(struct comet_directory *directory, uint64_t for_us);
	/** @return whether a response is being received. */
	bool (*is_receiving)(const struct comet_directory *directory);
	/** Changes how the directory is read. */
	void (*set_mode)(struct comet_directory *directory, enum comet_directory_mode mode);
	/** Records that the local state matches that of a VM to which the directory answers. */
	void (*set_synced)(struct comet_directory *directory);
	/** Encodes all changes after a position for a peer. @return NULL if they are unknown and a
	 * snapshot is needed. */
	GBytes *(*delta)(struct comet_directory *directory, uint64_t after);
	/** Like delta, but for endpoints only; it mentions a newer routing document. */
	GBytes *(*endpoints_delta)(struct comet_directory *directory, uint64_t after);
	/** Builds the query by which this VM requests the routing document from a peer; free with
	 * g_free(). */
	char *(*query)(struct comet_directory *directory);
	/** Answers such a query. @return NULL if the document is unknown. */
	GBytes *(*documents)(struct comet_directory *directory, const char *query);
	/** @return the position of a routing document that a peer reported and that this VM lacks,
	 * or 0. */
	uint64_t (*missing_document)(const struct comet_directory *directory);
	/** Reads the routing document from the directory itself. */
	void (*read_document)(struct comet_directory *directory);
	/** Reads all endpoints that were ever listed, and calls history_read() at the end. Does
	 * nothing while such a read is in progress. */
	void (*read_history)(struct comet_directory *directory);
	/** Encodes all data for a peer. @return NULL while data is missing. */
	GBytes *(*snapshot)(struct comet_directory *directory);
	/** Applies a peer's snapshot or delta if it is newer. */
	gboolean (*apply)(
		struct comet_directory *directory, const char *data, size_t length, GError **error);
};

/** Base of all directories: adapters extend it, and the vtable comes first. */
struct comet_directory
{
	const struct comet_directory_ops *ops;
	const struct comet_directory_events *events;
	void *ctx;
};

#endif
