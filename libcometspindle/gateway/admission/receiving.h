/*
 * receiving.h
 * the requests that are being read, and how much of the link they are counted for
 *
 * A caller that makes too little progress does not use the link and is not counted. Progress is
 * judged over intervals in which this process ran: after a suspension nobody has made any.
 */
#ifndef COMETSPINDLE_GATEWAY_RECEIVING_H
#define COMETSPINDLE_GATEWAY_RECEIVING_H

#include <glib.h>
#include <libcometspindle/gateway/admission/link_share.h>

/** A request that is being read; its owner keeps it until it is removed. */
struct comet_receiving_request
{
	GList *link;             /**< in the list of counted requests; NULL: not counted */
	uint64_t checked_us;     /**< when its progress was last checked; 0: never */
	uint64_t checked_bytes;  /**< received by then */
	uint64_t received_bytes; /**< received by now */
	uint64_t counted_bytes;
};

struct comet_receiving;

/** @param link must outlive this */
struct comet_receiving *
comet_receiving_create(void *parent, const struct comet_link_share *link);

/** Counts a request of which these bytes have arrived and are missing, unless its caller is slow.
 */
void
comet_receiving_progress(struct comet_receiving *receiving, struct comet_receiving_request *request,
	uint64_t received_bytes, uint64_t missing_bytes, uint64_t now_us);

/** Stops counting a request, which is complete or not read any further. */
void
comet_receiving_remove(struct comet_receiving *receiving, struct comet_receiving_request *request);

/** Stops counting the requests of slow callers. */
void
comet_receiving_check(struct comet_receiving *receiving, uint64_t now_us);

/** Returns the bytes that are counted in all. */
uint64_t
comet_receiving_counted_bytes(const struct comet_receiving *receiving);

/** Returns the number of requests that are counted. */
uint32_t
comet_receiving_length(const struct comet_receiving *receiving);

#endif
