/*
 * gossip.h
 * the other VMs, as their views tell: who is there, what they send where
 *
 * VMs of the same availability zone hear from each other often, since they send
 * to the same endpoints first; the others less often, as bytes between zones
 * cost. Views are datagrams: the newest replaces what came before, a lost one is
 * made good by the next. VMs are found from seeds and from each other's views.
 * No sockets and no clock in here.
 */
#ifndef COMETSPINDLE_GATEWAY_GOSSIP_H
#define COMETSPINDLE_GATEWAY_GOSSIP_H

#include <glib.h>
#include <libcometspindle/gateway/admission/rate_limiter.h>
#include <libcometspindle/gateway/admission/crash_tracker.h>
#include <libcometspindle/gateway/endpoints/instances.h>
#include <libcometspindle/gateway/messages/datagram.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct comet_gossip_config
{
	uint32_t address; /**< IPv4 of this VM, host order */
	uint64_t incarnation;
	uint64_t now_us;
	uint32_t window_ms; /**< span of the teams' limits */
	const uint32_t *seeds;
	size_t n_seeds;
	const char *zone;
	uint32_t near_bytes_per_s;                 /**< most that is sent to VMs of the own zone */
	uint32_t far_bytes_per_s;                  /**< most that is sent to all others */
	uint32_t cpu_percent;                      /**< of a core that this VM may use */
	struct comet_crash_tracker *crash_tracker; /**< told and taken in views; NULL: neither */
};

struct comet_gossip_ops
{
	void (*send)(void *ctx, uint32_t address, const uint8_t *data, size_t length);
	/** A VM was first heard of, or came back (there), or went silent. */
	void (*changed)(void *ctx, uint32_t address, bool there, const char *why);
};

struct comet_gossip;

struct comet_gossip *
comet_gossip_create(void *parent, const struct comet_gossip_config *config,
	struct comet_instances *instances, struct comet_rate_limiter *rate_limiter,
	const struct comet_gossip_ops *ops, void *ctx);

/** A view arrived. @return false when it names no sender. */
bool
comet_gossip_receive(struct comet_gossip *gossip, const comet_View *view,
	uint64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/**
 * @return the VM that keeps count for a key: of those that are heard and have run for some time the
 * same one on all VMs that hear the same, from that zone if there is any; 0: there is none.
 */
uint32_t
comet_gossip_find_owner(
	const struct comet_gossip *gossip, uint32_t key, uint32_t zone, uint64_t now_us);

/** @return whether a VM leaves questions unanswered just now. */
typedef bool (*comet_gossip_is_unresponsive)(const void *ctx, uint32_t address);

/** The same but for VMs that are mute to this one: the next best is asked in their place. */
uint32_t
comet_gossip_find_responsive_owner(const struct comet_gossip *gossip, uint32_t key, uint32_t zone,
	comet_gossip_is_unresponsive is_mute, const void *ctx, uint64_t now_us);

/**
 * @return the seed that keeps count for a key while VMs still find each other: all know the seeds
 * before they know each other; mute ones are passed over. 0: there is none.
 */
uint32_t
comet_gossip_find_seed_owner(const struct comet_gossip *gossip, uint32_t key,
	comet_gossip_is_unresponsive is_mute, const void *ctx);

/** A VM was granted a slot at an endpoint, for a prompt; its next view includes that. */
void
comet_gossip_slot_granted(struct comet_gossip *gossip, uint32_t address, uint32_t instance_key,
	uint32_t prompt_tokens, uint64_t now_us);

/** A VM has left a slot that it was granted; its next view includes that. */
void
comet_gossip_slot_released(struct comet_gossip *gossip, uint32_t address, uint32_t instance_key);

/** The VMs of the own zone that are heard, this one included, and how many of them are better
 * suited than this one to do something for all of them. */
void
comet_gossip_count_zone_peers(
	const struct comet_gossip *gossip, uint64_t now_us, uint32_t *heard, uint32_t *better);

/** @return whether a VM is heard, in the own zone. */
bool
comet_gossip_is_zone_peer_alive(const struct comet_gossip *gossip, uint32_t address);

/** Sends a datagram to the VMs of the own zone that are heard. */
void
comet_gossip_broadcast_zone(struct comet_gossip *gossip, const uint8_t *data, size_t length);

/** Sends what is due; call some tens of times a second. */
void
comet_gossip_tick(struct comet_gossip *gossip, uint64_t now_us);

/** There is news for all: the next round of views goes to all, soon. */
void
comet_gossip_schedule_broadcast(struct comet_gossip *gossip);

/** The directory's revision that this VM has read. */
void
comet_gossip_set_revision(struct comet_gossip *gossip, uint64_t revision);

/** Tells everybody at once that this VM stops. */
void
comet_gossip_leave(struct comet_gossip *gossip, uint64_t now_us);

/** VMs that are not known to have ended, and how many of them are heard; without this one. Where
 * none was ever heard, the seeds count as known. */
void
comet_gossip_count(const struct comet_gossip *gossip, uint32_t *known, uint32_t *heard);

/** @return when the first of the VMs that are silent now was last heard; 0: none is. */
uint64_t
comet_gossip_unreachable_since_us(const struct comet_gossip *gossip);

/** Number of VMs, and of teams that they told of, that are remembered. */
size_t
comet_gossip_entry_count(const struct comet_gossip *gossip);

/** Time between two rounds of views to all VMs. */
uint64_t
comet_gossip_interval_us(const struct comet_gossip *gossip);

/** @return the newest revision of the directory that a VM which is heard has read; 0: none. */
uint64_t
comet_gossip_newest_revision(const struct comet_gossip *gossip);

/** @return one of the VMs that have read more of the directory, near ones first, by draw; or 0. */
uint32_t
comet_gossip_pick_newer_peer(const struct comet_gossip *gossip, uint64_t revision, uint32_t draw);

#endif
