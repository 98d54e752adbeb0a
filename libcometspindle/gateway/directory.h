/*
 * directory.h
 * port: where the routing document and the endpoints are read from
 *
 * Behind a vtable: the platform's adapter implements it. Nothing is ever
 * written there. VMs resync from one another by snapshots and deltas, whose form
 * is the adapter's own.
 */
#ifndef COMETSPINDLE_GATEWAY_DIRECTORY_H
#define COMETSPINDLE_GATEWAY_DIRECTORY_H

#include <glib.h>
#include <libcometspindle/gateway/endpoints/instances.h>
#include <libcometspindle/gateway/routing/routes.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * How far somebody has read the directory, as one number by which VMs compare: what is of a later
 * era is newer, whatever its revision. A directory that comes back from an earlier copy gives
 * revisions out again, in the next era.
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

/** Something in the directory that could not be read. */
struct comet_directory_invalid_item
{
	const char *key;   /**< where it stands, as the directory names it */
	uint64_t revision; /**< of its last change */
	const char *why;
	const char *endpoint; /**< id that names no endpoint to use any more; NULL: what was read of
				 the item before stays in force */
};

/** What a call to the directory was, by its end. */
enum comet_directory_call
{
	COMET_DIRECTORY_CALL_PAGE,       /**< of a list: at a start, or after a loss of history */
	COMET_DIRECTORY_CALL_CHANGES,    /**< a wait that something new ended */
	COMET_DIRECTORY_CALL_NO_CHANGES, /**< a wait that ended without */
	COMET_DIRECTORY_CALL_FAILED,     /**< refused, or not answered */
};

#define COMET_DIRECTORY_CALLS (COMET_DIRECTORY_CALL_FAILED + 1)

struct comet_directory_events
{
	/** A newer routing document; the callee takes the reference. lag_us: time since its
	 * existence was reported. */
	void (*routes)(void *ctx, struct comet_route_table *table, uint64_t lag_us);
	/** An endpoint's process is there, or changed. */
	void (*instance)(void *ctx, const struct comet_instance_record *record);
	/** It is listed no more. outage_us: the directory was out and it may come back; when it was
	 * last known to be out, though not how much longer. 0: it is gone. */
	void (*instance_gone)(void *ctx, const char *id, uint64_t outage_us);
	/** The endpoints of an availability zone are to get no new work. */
	void (*evacuated)(void *ctx, const char *zone);
	/** That order has ended. doubtful: it is missing in an earlier copy from which the
	 * directory has come back, and may be written again. */
	void (*restored)(void *ctx, const char *zone, bool tentative);
	/** An item that cannot be read was published; the others hold. */
	void (*refused)(void *ctx, const struct comet_directory_invalid_item *refusal);
	/** Everything up to a position has been reported, and endpoints up to another one. */
	void (*revision)(void *ctx, uint64_t position, uint64_t endpoints);
	/** Another history of the directory is read from now on. */
	void (*epoch)(void *ctx, uint64_t epoch, uint64_t before);
	/** A call has ended; told each time. */
	void (*called)(void *ctx, enum comet_directory_call call);
	/** It has answered a call; told each time. */
	void (*answered)(void *ctx);
	/** The directory answers again (there), or does not. */
	void (*dependency)(void *ctx, bool there, const char *why);
};

/** Whether a VM reads the directory itself. */
enum comet_directory_mode
{
	COMET_DIRECTORY_MODE_DIRECT,   /**< for itself */
	COMET_DIRECTORY_MODE_READER,   /**< and tells other VMs at once */
	COMET_DIRECTORY_MODE_FOLLOWER, /**< others tell it */
	COMET_DIRECTORY_MODE_FALLBACK, /**< for itself, until others tell it again */
};

struct comet_directory;

struct comet_directory_ops
{
	/** Starts reading; goes on until the directory is freed. */
	void (*start)(struct comet_directory *directory);
	/** So many VMs read the same directory: the more, the less each needs to ask. */
	void (*set_vms)(struct comet_directory *directory, uint32_t vms);
	/** Restarts a watch that has waited for so long while peers reported news. @return whether
	 * there was one. */
	bool (*restart_stale_watch)(struct comet_directory *directory, uint64_t for_us);
	/** @return whether an answer is arriving. */
	bool (*is_arriving)(const struct comet_directory *directory);
	/** Reads from now on in another way. */
	void (*set_mode)(struct comet_directory *directory, enum comet_directory_mode reading);
	/** What it knows is that of a VM which the directory answers. */
	void (*followed)(struct comet_directory *directory);
	/** Writes all changes after a position for a peer. @return NULL if they are not known: a
	 * snapshot has to do. */
	GBytes *(*delta)(struct comet_directory *directory, uint64_t after);
	/** The same for endpoints only; a newer routing document is mentioned. */
	GBytes *(*endpoints_delta)(struct comet_directory *directory, uint64_t after);
	/** Writes the query by which a peer is asked for the routing document; free with g_free().
	 */
	char *(*query)(struct comet_directory *directory);
	/** Answers such a query. @return NULL if the document is not known. */
	GBytes *(*documents)(struct comet_directory *directory, const char *query);
	/** @return the position of a routing document that a peer reported and that is not here, or
	 * 0. */
	uint64_t (*missing_document)(const struct comet_directory *directory);
	/** Reads the routing document from the directory itself. */
	void (*read_document)(struct comet_directory *directory);
	/** Writes everything for a peer. @return NULL while something is missing. */
	GBytes *(*snapshot)(struct comet_directory *directory);
	/** Applies a peer's snapshot or delta if it is newer. */
	gboolean (*offer)(
		struct comet_directory *directory, const char *data, size_t length, GError **error);
};

/** Vtable first; adapters extend it. */
struct comet_directory
{
	const struct comet_directory_ops *ops;
	const struct comet_directory_events *events;
	void *ctx;
};

#endif
