/*
 * stream_versions.h
 * the software version that began each stream, for the time in which its caller may resume it
 *
 * This module uses no sockets and no clock: the caller passes the time.
 */
#ifndef COMETSPINDLE_GATEWAY_STREAM_VERSIONS_H
#define COMETSPINDLE_GATEWAY_STREAM_VERSIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** VMs that keep a copy of a record for the VM that serves the stream. */
#define COMET_STREAM_VERSION_COPIES 2

/** Records that a VM keeps at most. */
#define COMET_STREAM_VERSIONS_MAX 65536

/** Where a stream began. */
struct comet_stream_version
{
	uint64_t stream;     /**< comet_stream_key() */
	uint32_t version_id; /**< comet_hash_name() of the software version of its endpoint */
	uint32_t service_id; /**< comet_hash_name() of its service */
	uint64_t until_us;   /**< the record expires then */
};

/** A record, and the VMs that this VM has sent a copy to. */
struct comet_stream_version_entry
{
	struct comet_stream_version begun;
	bool own;                                     /**< this VM served the stream last */
	uint32_t copies[COMET_STREAM_VERSION_COPIES]; /**< addresses; 0: none */
};

struct comet_stream_versions;

struct comet_stream_versions *
comet_stream_versions_create(void *parent);

/** @return the key of the stream that the request with this id began; never 0. */
uint64_t
comet_stream_key(const char *request_id);

/** Adds a record, or extends the time of an existing one. A stream does not change its version:
 * that of an existing record stays.
 * @return the record; NULL if there are too many */
struct comet_stream_version_entry *
comet_stream_versions_add(
	struct comet_stream_versions *versions, const struct comet_stream_version *begun);

/** @return the record of a stream; NULL if there is none. */
const struct comet_stream_version *
comet_stream_versions_find(
	const struct comet_stream_versions *versions, uint64_t stream, uint64_t now_us);

/** Calls visit for each record. */
void
comet_stream_versions_each(struct comet_stream_versions *versions,
	void (*visit)(void *ctx, struct comet_stream_version_entry *entry), void *ctx);

/** Removes expired records. */
void
comet_stream_versions_expire(struct comet_stream_versions *versions, uint64_t now_us);

size_t
comet_stream_versions_count(const struct comet_stream_versions *versions);

#endif
