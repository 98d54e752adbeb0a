/*
 * gossip.h
 * exchange of state between VMs: which VMs are alive, what they run and what they spend
 *
 * A VM reports its state in gossip messages (View), which are datagrams. Each one replaces the
 * previous one, so a lost datagram is not sent again. VMs find each other from
 * seeds and from the peers listed in gossip messages. VMs of the same availability zone
 * exchange gossip messages more often, because they prefer the same endpoints and because
 * traffic between zones is charged. This module uses no sockets and no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_GOSSIP_H
#define COMETSPINDLE_GATEWAY_GOSSIP_H

#include <glib.h>
#include <libcometspindle/gateway/admission/rate_limiter.h>
#include <libcometspindle/gateway/admission/crash_tracker.h>
#include <libcometspindle/gateway/endpoints/cold_share.h>
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
	uint32_t window_ms; /**< window of the teams' rate limits */
	const uint32_t *seeds;
	size_t n_seeds;
	const char *zone;
	uint32_t near_bytes_per_s; /**< byte budget for gossip messages to VMs of the same zone */
	uint32_t far_bytes_per_s;  /**< byte budget for gossip messages to VMs of other zones */
	uint32_t cpu_percent;      /**< CPU allowance of this VM, in percent of a core */
	struct comet_crash_tracker *crash_tracker;  /**< exchanged by gossip; NULL: not exchanged */
	struct comet_crash_tracker *crashing_parts; /**< the same for parts of prompts */
};

struct comet_gossip_ops
{
	void (*send)(void *ctx, uint32_t address, const uint8_t *data, size_t length);
	/** A VM became reachable or restarted (alive), or became unreachable. */
	void (*peer_state_changed)(void *ctx, uint32_t address, bool alive, const char *why);
};

struct comet_gossip;

struct comet_gossip *
comet_gossip_create(void *parent, const struct comet_gossip_config *config,
	struct comet_instances *instances, struct comet_rate_limiter *rate_limiter,
	const struct comet_gossip_ops *ops, void *ctx);

/** Merges a received gossip message. @return false if it has no sender address. */
bool
comet_gossip_receive(struct comet_gossip *gossip, const comet_View *view,
	uint64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/**
 * Selects the owner of a key by rendezvous hashing among the VMs that are alive and have run long
 * enough. VMs with the same set of alive peers select the same owner. VMs of the given zone are
 * preferred. @return its address; 0: there is none.
 */
uint32_t
comet_gossip_find_owner(
	const struct comet_gossip *gossip, uint32_t key, uint32_t zone, uint64_t now_us);

/** @return whether a VM is currently unresponsive to requests of this VM. */
typedef bool (*comet_gossip_is_unresponsive)(const void *ctx, uint32_t address);

/** Like comet_gossip_find_owner(), but skips VMs that are unresponsive to this one and selects the
 * next best VM instead. */
uint32_t
comet_gossip_find_responsive_owner(const struct comet_gossip *gossip, uint32_t key, uint32_t zone,
	comet_gossip_is_unresponsive is_unresponsive, const void *ctx, uint64_t now_us);

/** Like comet_gossip_find_responsive_owner(), for a key whose owner has to know the state of
 * endpoints: skips VMs that have lost their links to them, unless all have. */
uint32_t
comet_gossip_find_shard_owner(const struct comet_gossip *gossip, uint32_t key, uint32_t zone,
	comet_gossip_is_unresponsive is_unresponsive, const void *ctx, uint64_t now_us);

/**
 * Selects the owner of a key among the seeds, which all VMs know before they have found each other.
 * Unresponsive seeds are skipped. @return its address; 0: there is none.
 */
uint32_t
comet_gossip_find_seed_owner(const struct comet_gossip *gossip, uint32_t key,
	comet_gossip_is_unresponsive is_unresponsive, const void *ctx);

/**
 * Counts the VMs that may be alive and are preferred over this one as the owner of a key, whatever
 * their age. A VM that this one does not hear is included as long as others hear it.
 * @return their number; UINT32_MAX: this VM is stopping and owns nothing
 */
uint32_t
comet_gossip_count_preferred(
	const struct comet_gossip *gossip, uint32_t key, uint32_t zone, uint64_t now_us);

/** Counts the VMs that this one hears, and all that may be alive, and compares their ages. This VM
 * counts as discovering for 4 s after its start at most, while it has received no gossip from a VM
 * that it knows of. */
void
comet_gossip_observe_vms(
	const struct comet_gossip *gossip, struct comet_cold_vms *vms, uint64_t now_us);

/** Counts a slot that this VM has granted to another VM, until a gossip message of that VM was sent
 * after the grant had arrived there. */
void
comet_gossip_slot_granted(struct comet_gossip *gossip, uint32_t address, uint32_t instance_key,
	uint32_t prompt_tokens, uint64_t now_us);

/** Removes a granted slot that another VM has released, until the next gossip message of that VM
 * reflects it.
 */
void
comet_gossip_slot_released(struct comet_gossip *gossip, uint32_t address, uint32_t instance_key);

/** Counts the VMs of this zone that are alive, including this one, and those of them that are
 * preferred over this one for a task of the whole zone. */
void
comet_gossip_count_zone_peers(
	const struct comet_gossip *gossip, uint64_t now_us, uint32_t *alive, uint32_t *better);

/** @return whether a VM is alive and in the zone of this VM. */
bool
comet_gossip_is_zone_peer_alive(const struct comet_gossip *gossip, uint32_t address);

/** Sends a datagram to the alive VMs of this zone. */
void
comet_gossip_broadcast_zone(struct comet_gossip *gossip, const uint8_t *data, size_t length);

/** Sends the gossip messages that are due; call this about 20 times a second or more. */
void
comet_gossip_tick(struct comet_gossip *gossip, uint64_t now_us);

/** Schedules an early round of gossip messages to all VMs, for a change that all of them need. */
void
comet_gossip_schedule_broadcast(struct comet_gossip *gossip);

/** Sets the directory position that this VM has read and reports in its gossip messages. */
void
comet_gossip_set_revision(struct comet_gossip *gossip, uint64_t revision);

/** Sets whether this VM has lost its links to all endpoints, and reports it to all VMs early. */
void
comet_gossip_set_endpoints_unreachable(struct comet_gossip *gossip, bool unreachable);

/** @return false if a VM reports that it has lost its links to all endpoints. */
bool
comet_gossip_reaches_endpoints(const struct comet_gossip *gossip, uint32_t address);

/**
 * Selects a VM that reaches endpoints, by draw. VMs of this zone are preferred, unless more of them
 * have lost their links than are left.
 * @param excluded address of a VM that is not selected; 0: none
 * @param stores_streams whether its release has to know the versions of streams
 * @return its address; 0: there is none
 */
uint32_t
comet_gossip_pick_endpoint_peer(
	const struct comet_gossip *gossip, uint32_t excluded, bool stores_streams, uint32_t draw);

/** VMs that keep a copy of the version of a stream. */
#define COMET_GOSSIP_STREAM_COPIES 2

/** Selects other VMs that keep the version of a stream, if possible one of this zone and one of
 * another. @param owners addresses; 0: none */
void
comet_gossip_pick_stream_owners(const struct comet_gossip *gossip, uint64_t stream,
	uint32_t owners[COMET_GOSSIP_STREAM_COPIES]);

/** Lists the other VMs that may keep the version of a stream: the best three of each zone.
 * @return how many there are, at most max */
uint32_t
comet_gossip_list_stream_owners(
	const struct comet_gossip *gossip, uint64_t stream, uint32_t *owners, uint32_t max);

/** @return whether the release of a VM keeps the versions of streams. */
bool
comet_gossip_stores_streams(const struct comet_gossip *gossip, uint32_t address);

/** Reports to all VMs immediately that this VM is stopping. */
void
comet_gossip_leave(struct comet_gossip *gossip, uint64_t now_us);

/** Counts the VMs that may spend shared limits, this one included: also those that expired without
 * notice within the last minutes, which may be alive on the other side of a partition.
 * @return COMET_DISCOVERY_ASSUMED_VMS at least if this VM has received no gossip and is not alone
 * by its settings, since it does not know how many there are */
uint32_t
comet_gossip_count_spenders(const struct comet_gossip *gossip, uint64_t now_us);

/** Counts the other VMs that have not stopped, and those of them that are reachable. If no VM was
 * ever reachable, the seeds count as known. */
void
comet_gossip_count_peers(const struct comet_gossip *gossip, uint32_t *known, uint32_t *alive);

/** @return the earliest time at which a VM that is now unreachable was last seen; 0: all are
 * reachable. */
uint64_t
comet_gossip_unreachable_since_us(const struct comet_gossip *gossip);

/** @return the number of stored entries: VMs and the teams that they have reported. */
size_t
comet_gossip_entry_count(const struct comet_gossip *gossip);

/** @return the time between two rounds of gossip messages to all VMs. */
uint64_t
comet_gossip_interval_us(const struct comet_gossip *gossip);

/** @return the newest directory position that a reachable VM has read; 0: none. */
uint64_t
comet_gossip_newest_revision(const struct comet_gossip *gossip);

/** @return a VM that has read more of the directory, selected by draw, preferring this zone; 0:
 * none. */
uint32_t
comet_gossip_pick_newer_peer(const struct comet_gossip *gossip, uint64_t revision, uint32_t draw);

#endif
