/*
 * gossip_state.h
 * what the files of views share: the VMs that are known, and the zones they are in
 */
#ifndef COMETSPINDLE_GATEWAY_GOSSIP_STATE_H
#define COMETSPINDLE_GATEWAY_GOSSIP_STATE_H

#include <libcometspindle/gateway/fleet/gossip.h>

/* Relays of a zone at a time, others each time: one may be frozen or cut off. */
#define COMET_GOSSIP_RELAYS 2

/** Another VM, as its views tell. */
struct comet_gossip_peer
{
	uint32_t address;
	uint64_t incarnation;
	uint64_t number;
	uint64_t last_seen_us; /* 0: never */
	uint64_t known_us;     /* first heard of */
	uint64_t began_us;     /* its process, by its own word */
	uint64_t asked_us;     /* last sent to */
	uint64_t revision;
	uint32_t zone; /* 0: not known */
	uint32_t cpu_percent;
	bool leaving; /* it stops; until it is silent it may still spend */
	bool silent;
	bool owed;     /* it is new to us, so that we are to it: it gets our view at once */
	bool seeking;  /* it hears nobody: it gets our view at once, with VMs of its zone */
	bool followed; /* its spending has been told before */
	bool seed;
	GArray *busy;      /* of comet_Busy */
	GHashTable *spent; /* team -> uint64_t, as last told */
};

/** The VMs of another zone that are heard. */
struct comet_gossip_zone
{
	uint32_t count;
	uint32_t relays[COMET_GOSSIP_RELAYS]; /* addresses; 0: none */
	uint64_t scores[COMET_GOSSIP_RELAYS];
};

struct comet_gossip
{
	uint32_t address;
	uint64_t incarnation;
	uint64_t number;
	uint64_t began_us;
	uint64_t revision;
	uint32_t window_ms;
	uint32_t zone;
	uint32_t near_bytes_per_s;
	uint32_t far_bytes_per_s;
	uint32_t cpu_percent;
	struct comet_instances *instances;
	struct comet_rate_limiter *rate_limiter;
	struct comet_crash_tracker *crash_tracker; /* or NULL */
	const struct comet_gossip_ops *ops;
	void *ctx;
	GHashTable *peers; /* address -> struct comet_gossip_peer */
	GHashTable *zones; /* other zones: id -> struct comet_gossip_zone, as of the last tick */
	uint32_t near_count;
	uint32_t far_count;
	size_t last_bytes; /* size of the last view */
	uint64_t near_sent_us;
	uint64_t far_sent_us;
	bool is_seed;        /* this VM is one of its own seeds */
	uint32_t spent_turn; /* where the list of teams goes on */
	uint32_t peers_turn; /* where the list of VMs goes on */
	bool leaving;
	bool urgent;            /* there is news for all */
	bool stale;             /* others' dispatches are to be summed anew */
	comet_Datagram scratch; /* to be sent */
};

/** Is this VM in our own zone? */
static inline bool
comet_gossip_is_same_zone(const struct comet_gossip *gossip, const struct comet_gossip_peer *peer)
{
	return peer->zone == gossip->zone;
}

/** Is this VM heard, of a zone that is known? */
static inline bool
comet_gossip_is_alive(const struct comet_gossip_peer *peer)
{
	return peer->last_seen_us != 0 && !peer->silent && peer->zone != 0;
}

/** Looks who is there, near and far (views_rounds.c). */
void
comet_gossip_count_zones(struct comet_gossip *gossip);

/** Time between two rounds of views to near or to far VMs, as their number and the budgets allow.
 */
uint64_t
comet_gossip_round_interval_us(const struct comet_gossip *gossip, bool near);

/** Sends this VM's view to the near VMs, and with far to all. */
void
comet_gossip_send_round(struct comet_gossip *gossip, bool far, uint64_t now_us);

/** Sends this VM's view to those that it is new to, without waiting for a round. */
void
comet_gossip_send_to_new_peers(struct comet_gossip *gossip, uint64_t now_us);

/** Sends a view of another zone to the VMs of this one. */
void
comet_gossip_forward_to_zone(struct comet_gossip *gossip, const comet_View *view);

#endif
