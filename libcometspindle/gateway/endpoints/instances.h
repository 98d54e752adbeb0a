/*
 * instances.h
 * the endpoints that this VM knows, as listed by the directory
 *
 * This module uses no sockets and no clock: the caller passes the time.
 */
#ifndef COMETSPINDLE_GATEWAY_INSTANCES_H
#define COMETSPINDLE_GATEWAY_INSTANCES_H

#include <glib.h>
#include <libcometspindle/gateway/endpoints/instance.h>
#include <libcometspindle/gateway/endpoints/version_history.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Contents of an instance's entry in the directory. */
struct comet_instance_record
{
	const char *id;
	const char *service;
	const char *address; /**< "a.b.c.d:port" */
	const char *zone;
	uint32_t slots;            /**< requests that it processes concurrently */
	uint32_t warm_up_ms;       /**< remaining time of its warm-up, during which it is slower */
	bool draining;             /**< it accepts no new requests */
	uint64_t process_start_ms; /**< process start by its own clock; 0: unknown */
	const char *software_version; /**< of the software that serves requests; NULL: unknown */
};

struct comet_instances;

struct comet_instances *
comet_instances_create(void *parent, const char *own_zone);

/** Sets the region of an availability zone, for instances that are added or updated later. */
void
comet_instances_set_region(struct comet_instances *instances, const char *zone, const char *region);

/** Adds or updates an instance from its entry; another incarnation replaces the known one. @return
 * the instance. */
struct comet_instance *
comet_instances_update(struct comet_instances *instances,
	const struct comet_instance_record *record, uint64_t now_us);

/** Removes an instance that the directory no longer lists. */
void
comet_instances_remove(struct comet_instances *instances, const char *id);

/** How long an instance that is unlisted after an outage stays in use. */
struct comet_expiry_config
{
	uint64_t expiry_us;  /**< measured from the time it was found unlisted */
	uint64_t settled_us; /**< time after an outage until the directory is complete again */
};

/**
 * Schedules the removal of an instance that was found unlisted after an outage. It stays in use for
 * usual_us, or for less if the outage may have ended long ago.
 * @param outage_us last time at which the outage was known to continue
 * @return false if the instance must not be used any more; it is not removed.
 */
bool
comet_instances_schedule_expiry(struct comet_instances *instances, const char *id,
	uint64_t outage_us, const struct comet_expiry_config *config,
	uint64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/** Sets the slow start limits for the instances of a service. */
void
comet_instances_set_slow_start(struct comet_instances *instances, const char *service,
	const struct comet_slow_start_config *config);

/** Stops new requests to the instances of a zone, including those added later. */
void
comet_instances_evacuate(struct comet_instances *instances, const char *zone);

/** Allows requests to the instances of a zone again, with slow start. */
void
comet_instances_restore(struct comet_instances *instances, const char *zone, uint64_t now_us);

/** @return whether a service has usable instances, but only in evacuated zones. */
bool
comet_instances_all_evacuated(struct comet_instances *instances, const char *service);

/** @return whether a service has instances, all of which leave. */
bool
comet_instances_all_leaving(struct comet_instances *instances, const char *service);

/** Removes expired instances; calls dropped for each id before its removal. */
void
comet_instances_tick(struct comet_instances *instances, uint64_t now_us,
	void (*dropped)(void *ctx, const char *id), void *ctx);

struct comet_instance *
comet_instances_find(struct comet_instances *instances, const char *id);

struct comet_instance *
comet_instances_find_key(struct comet_instances *instances, uint32_t key);

/** Returns the instances of a service as an array of struct comet_instance pointers; NULL: none. */
const GPtrArray *
comet_instances_for_service(struct comet_instances *instances, const char *service);

/** Returns the number of services for which state is kept. */
size_t
comet_instances_service_count(const struct comet_instances *instances);

/** Returns a counter that increases when an instance is added, removed or moved to another zone. */
uint64_t
comet_instances_change_count(const struct comet_instances *instances);

/** Readmits all ejected instances, because the links of this VM had failed and not the instances.
 */
void
comet_instances_forgive_failures(struct comet_instances *instances);

/** Records that gossip about the load of all instances was merged. */
void
comet_instances_set_gossip_time(struct comet_instances *instances, uint64_t now_us);

/** Returns how many instances were visited by calls that visit all of them. The periodic work of a
 * VM must not add to it while nothing changes. */
uint64_t
comet_instances_visit_count(const struct comet_instances *instances);

/** Calls visit for each instance. */
void
comet_instances_each(struct comet_instances *instances,
	void (*visit)(void *ctx, struct comet_instance *instance), void *ctx);

/** @return the name of the service with this hash (comet_hash_name()); NULL: it has no instances */
const char *
comet_instances_service_name(struct comet_instances *instances, uint32_t service_id);

/** Forgets since when each service has had one version, because changes may have been missed. */
void
comet_instances_restart_versions(struct comet_instances *instances, uint64_t now_us);

/** @return the only software version of a service, and since when no other one has been known. */
struct comet_only_version
comet_instances_only_version(
	struct comet_instances *instances, const char *service, uint64_t now_us);

/** Calls visit for each instance with dispatches of this VM. */
void
comet_instances_each_busy(struct comet_instances *instances,
	void (*visit)(void *ctx, struct comet_instance *instance), void *ctx);

/** Calls visit for each instance whose limit on its request rate this VM reports to others. */
void
comet_instances_each_limited(struct comet_instances *instances, uint64_t now_us,
	void (*visit)(void *ctx, const struct comet_instance *instance), void *ctx);

/** Calls visit for each instance of which this VM reports to others that it leaves. */
void
comet_instances_each_leaving(struct comet_instances *instances, uint64_t now_us,
	void (*visit)(void *ctx, const struct comet_instance *instance), void *ctx);

/** Estimates the time until the first event at an idle instance of typical latency. */
uint64_t
comet_instances_typical_first_us(struct comet_instances *instances, const char *service,
	const struct comet_request_size *size);

/** Estimates how long a typical request of a service occupies a slot of an instance with a relative
 * latency of 1. */
uint64_t
comet_instances_typical_slot_us(struct comet_instances *instances, const char *service);

#endif
