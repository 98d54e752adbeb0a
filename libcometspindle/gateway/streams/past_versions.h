/*
 * past_versions.h
 * the software versions that the endpoints of each service have ever had, from the directory's
 * history
 */
#ifndef COMETSPINDLE_GATEWAY_PAST_VERSIONS_H
#define COMETSPINDLE_GATEWAY_PAST_VERSIONS_H

#include <stdint.h>

struct comet_past_versions;

struct comet_past_versions *
comet_past_versions_create(void *parent);

/** Adds the version of an endpoint. Both ids are those of comet_hash_name(). */
void
comet_past_versions_add(
	struct comet_past_versions *versions, uint32_t service_id, uint32_t version_id);

/** @return the only version of a service; 0: it has had several, or none is known */
uint32_t
comet_past_versions_only(const struct comet_past_versions *versions, uint32_t service_id);

#endif
