/*
 * instances.h
 * the endpoints that this VM knows of, as the directory tells of them
 *
 * No sockets and no clock in here: times are passed in.
 */
#ifndef COMETSPINDLE_GATEWAY_INSTANCES_H
#define COMETSPINDLE_GATEWAY_INSTANCES_H

#include <glib.h>
#include <libcometspindle/gateway/endpoints/instance.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What the directory tells of an instance. */
struct comet_instance_record
{
	const char *id;
	const char *service;
	const char *address; /**< "a.b.c.d:port" */
	const char *zone;
	uint32_t slots;            /**< requests it works on at once */
	uint32_t warm_up_ms;       /**< how much longer it is slow from its start */
	bool draining;             /**< it takes no new work */
	uint64_t process_start_ms; /**< when its process started, by its own clock; 0: not told */
};

struct comet_instances;

struct comet_instances *
comet_instances_create(void *parent, const char *own_zone);

/** Takes over what the directory tells; another life of an instance replaces it. @return the
 * instance. */
struct comet_instance *
comet_instances_put(struct comet_instances *instances, const struct comet_instance_record *record,
	uint64_t now_us);

/** The directory names it no more. */
void
comet_instances_remove(struct comet_instances *instances, const char *id);

/** How long what is unlisted after an outage is used on. */
struct comet_expiry_config
{
	uint64_t usual_us;   /**< from when it was found unlisted */
	uint64_t settled_us; /**< after an outage the directory's word is whole again */
};

/**
 * It was found unlisted after an outage, which was last known to go on at outage_us: it is used on
 * for a while, or less when the outage may have been over for long, and then dropped.
 * @return false: it is not to be used any more.
 */
bool
comet_instances_schedule_expiry(struct comet_instances *instances, const char *id,
	uint64_t outage_us, const struct comet_expiry_config *bounds,
	uint64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/** What instances of a service bear while they are cold. */
void
comet_instances_set_slow_start(struct comet_instances *instances, const char *service,
	const struct comet_slow_start_config *bounds);

/** Instances of a zone get no new work, also those that are put later. */
void
comet_instances_evacuate(struct comet_instances *instances, const char *zone);

/** Instances of a zone get work again. */
void
comet_instances_restore(struct comet_instances *instances, const char *zone, uint64_t now_us);

/** @return whether a service has instances, but only in evacuated zones. */
bool
comet_instances_all_evacuated(struct comet_instances *instances, const char *service);

/** Drops lapsed instances whose time is over; calls dropped for each id before. */
void
comet_instances_tick(struct comet_instances *instances, uint64_t now_us,
	void (*dropped)(void *ctx, const char *id), void *ctx);

struct comet_instance *
comet_instances_find(struct comet_instances *instances, const char *id);

struct comet_instance *
comet_instances_find_key(struct comet_instances *instances, uint32_t key);

/** Instances of a service; NULL when there are none. Of struct comet_instance pointers. */
const GPtrArray *
comet_instances_for_service(struct comet_instances *instances, const char *service);

/** Number of services of which something is remembered. */
size_t
comet_instances_services(const struct comet_instances *instances);

/** Counts how often instances came or went. */
uint64_t
comet_instances_changes(const struct comet_instances *instances);

/** Calls visit for each instance. */
void
comet_instances_each(struct comet_instances *instances,
	void (*visit)(void *ctx, struct comet_instance *instance), void *ctx);

/** Expected time until the first event at an instance of usual pace where nothing waits. */
uint64_t
comet_instances_typical_first_us(struct comet_instances *instances, const char *service,
	const struct comet_request_size *job);

/** How long a usual request of a service holds a slot of an instance of usual pace. */
uint64_t
comet_instances_typical_slot_us(struct comet_instances *instances, const char *service);

#endif
