/*
 * gateway.h
 * a VM that relays plain HTTP: reads its routes and endpoints from a directory
 *
 * One thread: on an entry VM with a part of one core, handing requests from
 * thread to thread costs more than it gives (docs/design/platform.md).
 */
#ifndef COMETSPINDLE_ADAPTERS_GATEWAY_H
#define COMETSPINDLE_ADAPTERS_GATEWAY_H

#include <glib.h>
#include <libcometspindle/adapters/timers.h>
#include <libcometspindle/adapters/endpoints/upstream.h>
#include <libcometspindle/gateway/directory.h>
#include <libcometspindle/gateway/settings.h>
#include <libcometspindle/gateway/header_names.h>
#include <tevent.h>

/** What a directory's adapter is made with. */
struct comet_directory_context
{
	struct tevent_context *ev;
	struct comet_timers *timers;
	struct comet_upstream *upstream;
	const char *address;                 /**< of the directory */
	struct comet_byte_counters *counted; /**< where what is read is counted; NULL: nowhere */
	uint32_t followed_ms; /**< a VM that reads for others is followed so long after an answer */
	const struct comet_directory_events *events;
	void *ctx;
};

/** The platform's side, as one value: how to read it and what it calls things. */
struct comet_platform_adapter
{
	struct comet_directory *(*create_directory)(
		void *parent, const struct comet_directory_context *context);
	const struct comet_header_names *names;
};

struct comet_gateway;

/** Opens sockets; NULL and error when something is not to be had. */
struct comet_gateway *
comet_gateway_create(const struct comet_gateway_settings *settings, const char *settings_path,
	const struct comet_platform_adapter *port, GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** Runs until a stop (SIGTERM, SIGINT) is complete. */
void
comet_gateway_run(struct comet_gateway *gateway);

void
comet_gateway_destroy(struct comet_gateway *gateway);

#endif
