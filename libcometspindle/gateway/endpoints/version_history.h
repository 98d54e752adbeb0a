/*
 * version_history.h
 * since when all endpoints of a service have had the same software version
 */
#ifndef COMETSPINDLE_GATEWAY_VERSION_HISTORY_H
#define COMETSPINDLE_GATEWAY_VERSION_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

struct comet_version_history;

/** The only software version of a service. */
struct comet_only_version
{
	uint32_t version_id; /**< 0: there is none, because there are several or no endpoints */
	bool several;        /**< there are several versions */
	uint64_t since_us;   /**< no other one has been known since then */
};

struct comet_version_history *
comet_version_history_create(void *parent);

/** Records an endpoint of a version. */
void
comet_version_history_add(struct comet_version_history *history, uint32_t version_id);

/** Records that an endpoint of a version is no longer known. */
void
comet_version_history_remove(struct comet_version_history *history, uint32_t version_id);

/** Forgets since when there has been one version: others may have been missed. */
void
comet_version_history_restart(struct comet_version_history *history);

/** @return the only version. The time of a change is that of the first call after it, so that it
 * may be later than the change, but never earlier. */
struct comet_only_version
comet_version_history_only(struct comet_version_history *history, uint64_t now_us);

#endif
