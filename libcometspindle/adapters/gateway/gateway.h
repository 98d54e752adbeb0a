/*
 * gateway.h
 * a plain HTTP proxy whose routes and endpoints come from a directory
 *
 * The gateway runs in one thread: on an entry VM with a part of one core, passing requests
 * between threads costs more than it gains (docs/design/platform.md).
 */
#ifndef COMETSPINDLE_ADAPTERS_GATEWAY_H
#define COMETSPINDLE_ADAPTERS_GATEWAY_H

#include <glib.h>
#include <libcometspindle/adapters/timers.h>
#include <libcometspindle/adapters/endpoints/upstream.h>
#include <libcometspindle/adapters/http_reader.h>
#include <libcometspindle/gateway/directory.h>
#include <libcometspindle/gateway/endpoints/advertisement.h>
#include <libcometspindle/gateway/settings.h>
#include <libcometspindle/gateway/streams/resumption.h>
#include <libcometspindle/gateway/header_names.h>
#include <tevent.h>

/** Arguments for the creation of a directory adapter. */
struct comet_directory_context
{
	struct tevent_context *ev;
	struct comet_timers *timers;
	struct comet_upstream *upstream;
	const char *address; /**< of the directory */
	struct comet_byte_counters
		*counted;     /**< counts the bytes read; NULL: they are not counted */
	uint32_t followed_ms; /**< how long a directory reader is followed after a response */
	const struct comet_directory_events *events;
	void *ctx;
};

/** Decodes what a response states about the condition of its endpoint, and logs malformed values.
 */
typedef void (*comet_advertisement_decoder)(const struct comet_http_head *head,
	const char *endpoint, struct comet_advertisement *advertisement);

/** Decodes the stream that a request resumes, and logs malformed values. */
typedef void (*comet_resumption_decoder)(const struct comet_http_head *head, const char *request,
	struct comet_resumption *resumption);

/** The platform's directory adapter, its header names and its decoders of headers. */
struct comet_platform_adapter
{
	struct comet_directory *(*create_directory)(
		void *parent, const struct comet_directory_context *context);
	const struct comet_header_names *names;
	comet_advertisement_decoder decode_advertisement;
	comet_resumption_decoder decode_resumption;
};

struct comet_gateway;

/** Creates a gateway and opens its sockets. @return NULL with error set on failure. */
struct comet_gateway *
comet_gateway_create(const struct comet_gateway_settings *settings, const char *settings_path,
	const struct comet_platform_adapter *port, GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** Runs until a shutdown (SIGTERM, SIGINT) is complete. */
void
comet_gateway_run(struct comet_gateway *gateway);

void
comet_gateway_destroy(struct comet_gateway *gateway);

#endif
