/*
 * membership.h
 * which VMs are live: the platform says who may be, probes say who is
 *
 * SWIM-style: each period a VM probes a constant number of others, and
 * changes ride on probes and replies. A suspected VM refutes by a higher
 * incarnation. No sockets and no clock in here.
 */
#ifndef COMETSPINDLE_MEMBERSHIP_H
#define COMETSPINDLE_MEMBERSHIP_H

#include <libcometspindle/proto/peer.pb.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum comet_member_state
{
	COMET_MEMBER_UNKNOWN, /**< listed, never heard */
	COMET_MEMBER_ALIVE,
	COMET_MEMBER_SUSPECT, /**< a probe went unanswered */
	COMET_MEMBER_DEAD,
};

/** One VM as the platform lists it. */
struct comet_vm
{
	uint64_t id; /**< comet_hash_vm(name) */
	const char *name;
	const char *zone;
	const char *peer;   /**< ZeroMQ address */
	const char *caller; /**< address for callers, http://... */
	bool leaving;
};

struct comet_member
{
	uint64_t id;
	char *name;
	char *zone;
	char *peer;
	char *caller;
	bool leaving; /**< listed as leaving, or said so itself */
	bool listed;
	enum comet_member_state state;
	uint64_t incarnation;
	uint64_t last_seen_us; /**< last direct word from it; 0: never */
	uint64_t ping_sent_us; /**< unanswered probe; 0: none */
	uint64_t suspect_us;   /**< since when it is suspect */
	uint64_t bundle_version;
	/* floor promises of the listed VM, counted from when our ping was sent */
	uint32_t keep_below;
	uint32_t shed_from;
	uint32_t want_floor;
	uint64_t promise_us; /**< when the ping that this answers was sent; 0: none */
};

struct comet_membership;

struct comet_membership_ops
{
	/** Send a probe to this VM; comet_membership_fill() completes the message. */
	void (*probe)(void *ctx, struct comet_member *member);
	/** The set of VMs that may hold roles changed. */
	void (*changed)(void *ctx);
	/** A VM is now taken for dead. */
	void (*died)(void *ctx, uint64_t id);
};

struct comet_membership *
comet_membership_create(void *parent, uint64_t self_id, uint64_t incarnation,
	const struct comet_membership_ops *ops, void *ctx);

/** Takes the platform's list; VMs no longer in it are forgotten. */
void
comet_membership_set_list(
	struct comet_membership *membership, const struct comet_vm *vms, size_t count);

/**
 * While eager, every VM is probed in each period: a VM that starts needs word
 * from all of them, whatever the fleet's size, and only for a moment.
 */
void
comet_membership_set_eager(struct comet_membership *membership, bool eager);

/** Sends due probes and moves silent VMs on to suspect and dead. */
void
comet_membership_tick(struct comet_membership *membership, uint64_t now_us);

/** A ping or reply from a VM arrived. */
void
comet_membership_heard(struct comet_membership *membership, uint64_t from, const comet_Ping *ping,
	uint64_t now_us);

/** Puts incarnation and rumors into an outgoing ping or reply. */
void
comet_membership_fill(struct comet_membership *membership, comet_Ping *ping);

/** This process was paused: others may have moved its roles; it comes back anew. */
void
comet_membership_renew(struct comet_membership *membership);

/** This VM stops: it gives up its roles. */
void
comet_membership_set_leaving(struct comet_membership *membership);

struct comet_member *
comet_membership_find(struct comet_membership *membership, uint64_t id);

/** All listed VMs but this one. */
struct comet_member *const *
comet_membership_all(const struct comet_membership *membership, size_t *count);

/** Ids of VMs that may hold roles now (live, not leaving), this one included, sorted. */
const uint64_t *
comet_membership_live(struct comet_membership *membership, size_t *count);

/**
 * Should callers be sent to this VM? Live ones that stay; and when fewer than
 * half of all can be heard, the others as well: then the view is what is wrong.
 */
bool
comet_membership_usable(
	const struct comet_membership *membership, const struct comet_member *member);

/** VMs in the platform's list, this one included. */
size_t
comet_membership_listed(const struct comet_membership *membership);

const char *
comet_member_state_name(enum comet_member_state state);

#endif
