/*
 * platform.h
 * read-only client of the platform, which publishes the configuration bundle and the list of VMs
 *
 * Adapters implement the vtable, so that the wire protocol can be replaced. No adapter writes to
 * the platform.
 */
#ifndef COMETSPINDLE_ADAPTERS_PLATFORM_H
#define COMETSPINDLE_ADAPTERS_PLATFORM_H

#include <glib.h>
#include <libcometspindle/adapters/endpoints/curl_loop.h>
#include <libcometspindle/membership.h>
#include <stdbool.h>

/** Callbacks that receive what was read and control the reads. */
struct comet_platform_events
{
	/** Receives a signed bundle, which may be older than the current one. */
	void (*bundle)(void *ctx, GBytes *signed_document);
	/** Receives the list of VMs. */
	void (*vms)(void *ctx, const struct comet_vm *vms, size_t count);
	/** @return the version of the current bundle, or 0 if there is none */
	uint64_t (*version)(void *ctx);
	/** @return whether this VM is currently an elected reader of the bundle */
	bool (*is_reader)(void *ctx);
	/** @return the number of listed VMs, which sets the interval between reads of the list */
	size_t (*fleet_size)(void *ctx);
};

struct comet_platform;

struct comet_platform_ops
{
	/** Starts to read; continues until the platform is freed. */
	void (*start)(struct comet_platform *platform);
};

/** Base of all adapters, which embed it as their first member. */
struct comet_platform
{
	const struct comet_platform_ops *ops;
	const struct comet_platform_events *events;
	void *ctx;
};

/** Creates the HTTP adapter (platform_http.c). Free with talloc_free(). */
struct comet_platform *
comet_platform_http_create(void *parent, struct tevent_context *ev, struct comet_curl_loop *loop,
	const char *url, const struct comet_platform_events *events, void *ctx);

/** Parses the list of VMs and passes it to handler; the list is valid only during that call. Used
 * by the adapter and by tests. */
gboolean
comet_platform_parse_vms(const char *text, size_t length,
	void (*handler)(void *ctx, const struct comet_vm *vms, size_t count), void *ctx,
	GError **error) G_GNUC_WARN_UNUSED_RESULT;

#endif
