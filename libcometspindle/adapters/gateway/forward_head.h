/*
 * forward_head.h
 * writes the request head that is forwarded to an endpoint
 *
 * Headers through which the gateway controls endpoints are removed from the
 * caller's request: an endpoint receives them only with the gateway's values.
 * The head of every attempt of every request is written by this module.
 */
#ifndef COMETSPINDLE_ADAPTERS_FORWARD_HEAD_H
#define COMETSPINDLE_ADAPTERS_FORWARD_HEAD_H

#include <libcometspindle/adapters/http_reader.h>
#include <libcometspindle/gateway/header_names.h>

/** Values that the gateway sets for one attempt. */
struct comet_forward_params
{
	uint64_t remaining_ms;  /**< time until the caller's deadline */
	bool to_peer;           /**< the attempt goes through another VM */
	uint32_t version_id;    /**< then: version of the stream that is resumed; 0: none */
	const char *instance;   /**< otherwise: id of the endpoint that the attempt is sent to */
	const char *team;       /**< team that the API key belongs to; NULL on an open route */
	const char *last_event; /**< id of the event after which to resume; NULL if not resuming */
	size_t body_bytes;
};

/** @return the version of the stream that another VM states in a request or response; 0: none, or
 * it runs an earlier release */
uint32_t
comet_forward_read_version(const struct comet_http_head *head);

/** Appends the complete head, including the empty line that ends it. */
void
comet_forward_write_head(GString *out, const struct comet_http_head *head,
	const struct comet_header_names *names, const struct comet_forward_params *params);

#endif
