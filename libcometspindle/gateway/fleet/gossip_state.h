/*
 * gossip_state.h
 * internal state of the gossip module: the known VMs and their availability zones
 */
#ifndef COMETSPINDLE_GATEWAY_GOSSIP_STATE_H
#define COMETSPINDLE_GATEWAY_GOSSIP_STATE_H

#include <libcometspindle/gateway/fleet/gossip.h>

/* Forwarders of a zone. Each round selects others, because one may be frozen or partitioned. */
#define COMET_GOSSIP_FORWARDERS 2

/** Another VM and the state that its last gossip message reported. */
struct comet_gossip_peer
{
	uint32_t address;
	uint64_t incarnation;
	uint64_t view_number;    /* number of the last gossip message */
	uint64_t last_seen_us;   /* 0: no gossip message received yet */
	uint64_t first_known_us; /* when this VM first learned of it */
	uint64_t listed_us;      /* when another VM last listed it; 0: never */
	uint64_t started_us;     /* start of its process, from the age that it reports */
	uint64_t last_sent_us;   /* when a gossip message was last sent to it */
	uint64_t revision;
	uint32_t zone; /* 0: unknown */
	uint32_t cpu_percent;
	bool endpoints_unreachable; /* it has lost its links to all endpoints */
	bool stores_streams;        /* its release keeps the versions of streams for other VMs */
	bool leaving; /* it is stopping, but may still spend until it is unreachable */
	bool unreachable;
	bool needs_view; /* send it a gossip message without waiting for a round, since it may not
			    know this VM */
	bool isolated;   /* it has no peers: answer with a list of VMs of its zone */
	bool has_reported_spending; /* an earlier gossip message of this incarnation was merged */
	bool seed;
	GArray *loads;  /* of comet_Busy */
	GArray *grants; /* of struct comet_gossip_grant, that its messages may not include yet */
	GHashTable *reported_spending; /* team -> uint64_t, the amount last reported */
};

/** A slot that this VM has granted to another VM. */
struct comet_gossip_grant
{
	uint32_t instance_key;
	uint64_t granted_us;
};

/** Alive VMs of another zone. */
struct comet_gossip_zone
{
	uint32_t count;
	uint32_t forwarders[COMET_GOSSIP_FORWARDERS]; /* addresses; 0: none */
	uint64_t scores[COMET_GOSSIP_FORWARDERS];
};

struct comet_gossip
{
	uint32_t address;
	uint64_t incarnation;
	uint64_t view_number; /* number of the last gossip message */
	uint64_t started_us;
	uint64_t revision;
	uint32_t window_ms;
	uint32_t zone;
	uint32_t near_bytes_per_s;
	uint32_t far_bytes_per_s;
	uint32_t cpu_percent;
	struct comet_instances *instances;
	struct comet_rate_limiter *rate_limiter;
	struct comet_crash_tracker *crash_tracker;  /* or NULL */
	struct comet_crash_tracker *crashing_parts; /* or NULL */
	const struct comet_gossip_ops *ops;
	void *ctx;
	GHashTable *peers; /* address -> struct comet_gossip_peer */
	GHashTable *zones; /* other zones: id -> struct comet_gossip_zone, as of the last tick */
	uint32_t zone_peer_count;
	uint32_t remote_peer_count;
	size_t view_bytes; /* size of the last gossip message */
	uint64_t zone_sent_us;
	uint64_t all_sent_us;
	/* Numbers of VMs that stopped sending gossip without announcing that they leave, and have
	 * not sent any since: in period lost_period and in the one before (gossip_cold.c). */
	uint32_t lost_vms[2];
	uint64_t lost_period; /* index of the period in which a VM was last lost */
	bool has_found_peers; /* this VM has received gossip */
	bool is_seed;         /* this VM is one of its own seeds */
	uint32_t last_team; /* the last of the other teams that a gossip message reported in turn */
	uint32_t next_limit; /* where the next gossip message continues the list of limits */
	uint32_t
		next_leaving; /* where the next gossip message continues the endpoints that leave */
	uint32_t next_peer;   /* where the next gossip message continues the list of VMs */
	bool leaving;
	bool endpoints_unreachable; /* this VM has lost its links to all endpoints */
	bool broadcast_pending;     /* the next round goes to all VMs, ahead of schedule */
	uint64_t summed_changes; /* change counter of the endpoints when remote load was summed */
	comet_Datagram outgoing; /* the datagram being built */
};

/** @return whether a VM is in the zone of this VM. */
static inline bool
comet_gossip_is_same_zone(const struct comet_gossip *gossip, const struct comet_gossip_peer *peer)
{
	return peer->zone == gossip->zone;
}

/** @return whether a VM is reachable and its zone is known. */
static inline bool
comet_gossip_is_alive(const struct comet_gossip_peer *peer)
{
	return peer->last_seen_us != 0 && !peer->unreachable && peer->zone != 0;
}

/** Replaces the load that a VM reports (gossip_loads.c). Recent grants that the report may have
 * missed stay counted. */
void
comet_gossip_set_loads(struct comet_gossip *gossip, struct comet_gossip_peer *peer,
	const comet_Busy *busy, pb_size_t count, uint64_t now_us);

/** Sums the load that other VMs report again if endpoints were added or removed. */
void
comet_gossip_refresh_loads(struct comet_gossip *gossip);

/** Records that the first gossip of a VM has arrived (gossip_cold.c). */
void
comet_gossip_peer_found(struct comet_gossip *gossip);

/** Records that a VM expires (gossip_cold.c). */
void
comet_gossip_peer_lost(
	struct comet_gossip *gossip, const struct comet_gossip_peer *peer, uint64_t now_us);

/** Counts the VMs of each zone and selects the forwarders of the other zones (gossip_rounds.c). */
void
comet_gossip_count_zones(struct comet_gossip *gossip);

/** @return the time between two rounds to the VMs of this zone, or to all VMs, which follows from
 * the number of VMs and the byte budgets. */
uint64_t
comet_gossip_round_interval_us(const struct comet_gossip *gossip, bool same_zone);

/** Sends this VM's gossip message to the VMs of its zone, or to all VMs. */
void
comet_gossip_send_round(struct comet_gossip *gossip, bool all_zones, uint64_t now_us);

/** Sends this VM's gossip message to newly found VMs without waiting for a round. */
void
comet_gossip_send_to_new_peers(struct comet_gossip *gossip, uint64_t now_us);

/** Forwards a gossip message from another zone to the VMs of this zone. */
void
comet_gossip_forward_to_zone(struct comet_gossip *gossip, const comet_View *view);

#endif
