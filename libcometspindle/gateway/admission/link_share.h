/*
 * link_share.h
 * decides how many requests a VM reads at once, so that its link is shared out
 *
 * Connections share a full link equally. A hundred bodies that are read at once are all complete
 * late, and leave a routing document a hundredth of the link. Bodies are therefore read a few at a
 * time, and on a narrow link one at a time while control data is received.
 */
#ifndef COMETSPINDLE_GATEWAY_LINK_SHARE_H
#define COMETSPINDLE_GATEWAY_LINK_SHARE_H

#include <stdbool.h>
#include <stdint.h>

struct comet_link_share;

/** @param bytes_per_s rate of the link in each direction; 0: unknown, so that nothing is limited */
struct comet_link_share *
comet_link_share_create(void *parent, uint64_t bytes_per_s);

/** Returns the bytes that count for a body of which `received` bytes have arrived and `missing` are
 * expected. A long body counts less than its length, since others would wait for all of it. */
uint64_t
comet_link_share_count(const struct comet_link_share *link, uint64_t received, uint64_t missing);

/** Returns the bytes below which a body that has been read for this time does not use the link: its
 * caller is slow. */
uint64_t
comet_link_share_slow_bytes(const struct comet_link_share *link, uint64_t for_us);

/** Reports what this VM has sent to callers and endpoints in all, and received from callers. */
void
comet_link_share_update(
	struct comet_link_share *link, uint64_t sent, uint64_t received, uint64_t now_us);

/** Sets whether control data is being received. */
void
comet_link_share_set_control(struct comet_link_share *link, bool receiving);

/** Sets whether callers can reach other VMs instead. */
void
comet_link_share_set_alternatives(struct comet_link_share *link, bool alternatives);

/** Counted for a body that announces no length, and for a request whose head is not read yet. */
#define COMET_LINK_UNKNOWN_BODY_BYTES (16 * 1024)

/** Returns whether a new connection is closed unread, because another VM will answer it sooner.
 * @param waiting connections that wait to be read
 * @param waited_us longest time for which one of them has waited */
bool
comet_link_share_refuses(const struct comet_link_share *link, uint32_t waiting, uint64_t waited_us);

/** Returns whether another request may be read: its body will be sent to an endpoint.
 * @param counted sum of comet_link_share_count() of the requests that are being read */
bool
comet_link_share_may_read(const struct comet_link_share *link, uint64_t counted);

#endif
