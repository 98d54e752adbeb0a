/*
 * platform.h
 * reads the platform's published state: the bundle and the list of VMs
 *
 * Behind a vtable, so that the platform's real wire form can replace ours.
 * Nothing is ever written there.
 */
#ifndef COMETSPINDLE_ADAPTERS_PLATFORM_H
#define COMETSPINDLE_ADAPTERS_PLATFORM_H

#include <glib.h>
#include <libcometspindle/adapters/endpoints/curl_loop.h>
#include <libcometspindle/membership.h>
#include <stdbool.h>

/** What is read goes here. */
struct comet_platform_events
{
	/** A signed bundle was read, perhaps an old one. */
	void (*bundle)(void *ctx, GBytes *signed_document);
	/** The list of VMs was read. */
	void (*vms)(void *ctx, const struct comet_vm *vms, size_t count);
	/** @return the version already in force; 0: none. */
	uint64_t (*version)(void *ctx);
	/** @return whether this VM should watch the bundle just now. */
	bool (*is_reader)(void *ctx);
	/** @return how many VMs are listed, to pace reads of the list. */
	size_t (*fleet_size)(void *ctx);
};

struct comet_platform;

struct comet_platform_ops
{
	/** Starts reading; goes on until the platform is freed. */
	void (*start)(struct comet_platform *platform);
};

/** Vtable first; adapters extend it. */
struct comet_platform
{
	const struct comet_platform_ops *ops;
	const struct comet_platform_events *events;
	void *ctx;
};

/** The HTTP adapter (platform_http.c). Free with talloc_free. */
struct comet_platform *
comet_platform_http_create(void *parent, struct tevent_context *ev, struct comet_curl_loop *loop,
	const char *url, const struct comet_platform_events *events, void *ctx);

/** Parses the list of VMs; calls take with it. Used by the adapter and by tests. */
gboolean
comet_platform_parse_vms(const char *text, size_t length,
	void (*take)(void *ctx, const struct comet_vm *vms, size_t count), void *ctx,
	GError **error) G_GNUC_WARN_UNUSED_RESULT;

#endif
