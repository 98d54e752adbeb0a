/*
 * views.h
 * the other VMs, as their views tell: who is there, what they send where
 *
 * VMs of the same availability zone hear from each other often, since they send
 * to the same endpoints first; the others less often, as bytes between zones
 * cost. Views are datagrams: the newest replaces what came before, a lost one is
 * made good by the next. VMs are found from seeds and from each other's views.
 * No sockets and no clock in here.
 */
#ifndef COMETSPINDLE_GATEWAY_VIEWS_H
#define COMETSPINDLE_GATEWAY_VIEWS_H

#include <glib.h>
#include <libcometspindle/gateway/admission/allowance.h>
#include <libcometspindle/gateway/admission/crashes.h>
#include <libcometspindle/gateway/endpoints/instances.h>
#include <libcometspindle/gateway/messages/datagram.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct comet_views_config
{
	uint32_t address; /**< IPv4 of this VM, host order */
	uint64_t incarnation;
	uint64_t now_us;
	uint32_t window_ms; /**< span of the teams' limits */
	const uint32_t *seeds;
	size_t n_seeds;
	const char *zone;
	uint32_t near_bytes_per_s;     /**< most that is sent to VMs of the own zone */
	uint32_t far_bytes_per_s;      /**< most that is sent to all others */
	uint32_t cpu_percent;          /**< of a core that this VM may use */
	struct comet_crashes *crashes; /**< told and taken in views; NULL: neither */
};

struct comet_views_ops
{
	void (*send)(void *ctx, uint32_t address, const uint8_t *data, size_t length);
	/** A VM was first heard of, or came back (there), or went silent. */
	void (*changed)(void *ctx, uint32_t address, bool there, const char *why);
};

struct comet_views;

struct comet_views *
comet_views_create(void *parent, const struct comet_views_config *config,
	struct comet_instances *instances, struct comet_allowance *allowance,
	const struct comet_views_ops *ops, void *ctx);

/** A view arrived. @return false when it names no sender. */
bool
comet_views_receive(struct comet_views *views, const comet_View *view,
	uint64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/**
 * @return the VM that keeps count for a key: of those that are heard and have run for some time the
 * same one on all VMs that hear the same, from that zone if there is any; 0: there is none.
 */
uint32_t
comet_views_keeper(const struct comet_views *views, uint32_t key, uint32_t zone, uint64_t now_us);

/** @return whether a VM leaves questions unanswered just now. */
typedef bool (*comet_views_is_mute)(const void *ctx, uint32_t address);

/** The same but for VMs that are mute to this one: the next best is asked in their place. */
uint32_t
comet_views_keeper_but(const struct comet_views *views, uint32_t key, uint32_t zone,
	comet_views_is_mute is_mute, const void *ctx, uint64_t now_us);

/**
 * @return the seed that keeps count for a key while VMs still find each other: all know the seeds
 * before they know each other; mute ones are passed over. 0: there is none.
 */
uint32_t
comet_views_seed_keeper(const struct comet_views *views, uint32_t key, comet_views_is_mute is_mute,
	const void *ctx);

/** A VM was granted a slot at an endpoint, for a prompt; its next view includes that. */
void
comet_views_granted(struct comet_views *views, uint32_t address, uint32_t instance_key,
	uint32_t prompt_tokens, uint64_t now_us);

/** A VM has left a slot that it was granted; its next view includes that. */
void
comet_views_freed(struct comet_views *views, uint32_t address, uint32_t instance_key);

/** The VMs of the own zone that are heard, this one included, and how many of them are better
 * suited than this one to do something for all of them. */
void
comet_views_count_near(
	const struct comet_views *views, uint64_t now_us, uint32_t *heard, uint32_t *better);

/** @return whether a VM is heard, in the own zone. */
bool
comet_views_hears_near(const struct comet_views *views, uint32_t address);

/** Sends a datagram to the VMs of the own zone that are heard. */
void
comet_views_send_near(struct comet_views *views, const uint8_t *data, size_t length);

/** Sends what is due; call some tens of times a second. */
void
comet_views_tick(struct comet_views *views, uint64_t now_us);

/** There is news for all: the next round of views goes to all, soon. */
void
comet_views_tell_soon(struct comet_views *views);

/** The directory's revision that this VM has read. */
void
comet_views_set_revision(struct comet_views *views, uint64_t revision);

/** Tells everybody at once that this VM stops. */
void
comet_views_leave(struct comet_views *views, uint64_t now_us);

/** VMs that are not known to have ended, and how many of them are heard; without this one. Where
 * none was ever heard, the seeds count as known. */
void
comet_views_count(const struct comet_views *views, uint32_t *known, uint32_t *heard);

/** @return when the first of the VMs that are silent now was last heard; 0: none is. */
uint64_t
comet_views_silent_since_us(const struct comet_views *views);

/** Number of VMs, and of teams that they told of, that are remembered. */
size_t
comet_views_remembered(const struct comet_views *views);

/** Time between two rounds of views to all VMs. */
uint64_t
comet_views_interval_us(const struct comet_views *views);

/** @return the newest revision of the directory that a VM which is heard has read; 0: none. */
uint64_t
comet_views_newest(const struct comet_views *views);

/** @return one of the VMs that have read more of the directory, near ones first, by draw; or 0. */
uint32_t
comet_views_newer(const struct comet_views *views, uint64_t revision, uint32_t draw);

#endif
