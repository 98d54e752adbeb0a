/*
 * stream_lookups.h
 * asks other VMs for the version of a stream that a caller resumes
 *
 * Several VMs are asked at once, because any of them may be down or may have started after the
 * stream began. This module uses no sockets and no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_STREAM_LOOKUPS_H
#define COMETSPINDLE_GATEWAY_STREAM_LOOKUPS_H

#include <libcometspindle/gateway/endpoints/version_history.h>
#include <libcometspindle/gateway/messages/datagram.h>
#include <libcometspindle/gateway/streams/stream_versions.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** VMs that one lookup asks at most: three in each of ten zones, and one or two in others. */
#define COMET_STREAM_LOOKUP_VMS_MAX 32

/** What the VMs that were asked know. */
struct comet_stream_lookup_result
{
	uint32_t version_id; /**< that began the stream; 0: no VM knows it */
	uint32_t service_id; /**< of the stream, if the version is known */
	uint32_t asked;      /**< number of VMs */
	uint32_t answered;
	uint32_t only_version_id; /**< the only version of the service, as far as a VM knows; 0 */
	uint64_t only_us;         /**< longest time for which a VM has known no other one */
	bool several;             /**< a VM knows several versions, or another only version */
};

struct comet_stream_lookups_ops
{
	void (*send)(void *ctx, uint32_t address, const uint8_t *data, size_t length);
	/** Asking VM: the lookup has ended. */
	void (*ended)(void *ctx, void *user_data, const struct comet_stream_lookup_result *result);
	/** Asked VM: fills in what it knows. */
	void (*answer)(void *ctx, const comet_StreamAsk *ask, comet_StreamAnswer *answer);
};

struct comet_stream_lookups;

/** @param address the address of this VM (IPv4, host order) */
struct comet_stream_lookups *
comet_stream_lookups_create(
	void *parent, uint32_t address, const struct comet_stream_lookups_ops *ops, void *ctx);

/** Starts a lookup. It ends with a call of ended, or with comet_stream_lookups_cancel().
 * @param service_id of the service to which the stream is to go on
 * @param vms addresses of the VMs to ask, at least one */
void
comet_stream_lookups_start(struct comet_stream_lookups *lookups, void *user_data, uint64_t stream,
	uint32_t service_id, const uint32_t *vms, uint32_t n_vms, uint64_t now_us);

void
comet_stream_lookups_cancel(struct comet_stream_lookups *lookups, const void *user_data);

/** Handles a request or an answer. @return whether the datagram belongs to this module */
bool
comet_stream_lookups_receive(struct comet_stream_lookups *lookups, const comet_Datagram *datagram);

/** Repeats requests, and ends lookups whose time is over. @return whether any is pending */
bool
comet_stream_lookups_tick(struct comet_stream_lookups *lookups, uint64_t now_us);

#endif
