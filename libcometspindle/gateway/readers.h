/*
 * readers.h
 * whether this VM reads the directory itself, or follows VMs of its zone that read it for others
 *
 * Each VM that watches the directory is woken by each change, so that calls grow as VMs times
 * changes. In a large availability zone two VMs read for all, drawn like keepers, without any
 * coordination: who takes itself for a reader reads and tells, and who hears no reader that the
 * directory has answered of late reads for itself. So two views of who reads cost some calls, and
 * nothing else. No sockets and no clock in here.
 */
#ifndef COMETSPINDLE_GATEWAY_READERS_H
#define COMETSPINDLE_GATEWAY_READERS_H

#include <libcometspindle/gateway/directory.h>
#include <stdbool.h>
#include <stdint.h>

/** What a reader tells. */
struct comet_readers_news
{
	uint32_t vm;
	uint64_t position; /**< how far it has read, of endpoints */
	uint64_t whole;    /**< how far it has read everything */
	uint64_t age_us;   /**< since the directory last answered it */
};

/** What this VM knows of itself and its zone. */
struct comet_readers_sight
{
	bool listed;       /**< it has read the directory once */
	bool leaving;      /**< it stops */
	uint32_t zone_vms; /**< that are heard in its zone, itself included */
	uint32_t better;   /**< of them, those that are better suited to read for others */
	uint64_t position; /**< how far it has read or followed */
};

struct comet_readers;

/** followed_us: a reader is followed so long after the directory has answered it. seed: for draws
 * that must differ between VMs. */
struct comet_readers *
comet_readers_create(void *parent, uint64_t followed_us, uint64_t seed);

/** A reader of this zone told how far it has read. */
void
comet_readers_told(
	struct comet_readers *readers, const struct comet_readers_news *news, uint64_t now_us);

/** A reader did not hand out what it had read. */
void
comet_readers_failed(struct comet_readers *readers, uint64_t now_us);

/** What this VM is to do now; to be asked some times a second. */
enum comet_directory_reading
comet_readers_decide(
	struct comet_readers *readers, const struct comet_readers_sight *sight, uint64_t now_us);

/** @return a reader that has read more than a position, and was heard of late; 0: there is none. */
uint32_t
comet_readers_ahead(const struct comet_readers *readers, uint64_t position, uint64_t now_us);

/** The same for everything that is read, endpoints and documents. */
uint32_t
comet_readers_ahead_whole(const struct comet_readers *readers, uint64_t position, uint64_t now_us);

/** @return one of the readers that were heard of late and have read up to a position, drawn; 0:
 * there is none. */
uint32_t
comet_readers_pick(struct comet_readers *readers, uint64_t position, uint64_t now_us);

/** @return whether what a reader knew so long ago may be followed. */
bool
comet_readers_is_fresh(const struct comet_readers *readers, uint64_t age_us);

#endif
