/*
 * forward_head.h
 * the head of a caller's request as an endpoint gets it
 *
 * What callers say under names by which a gateway orders endpoints about is
 * dropped: those headers reach an endpoint as the gateway sets them, or not at
 * all. Every sending of every request is written here.
 */
#ifndef COMETSPINDLE_ADAPTERS_FORWARD_HEAD_H
#define COMETSPINDLE_ADAPTERS_FORWARD_HEAD_H

#include <libcometspindle/adapters/http_reader.h>
#include <libcometspindle/gateway/header_names.h>

/** What the gateway says of one sending. */
struct comet_forward_params
{
	uint64_t left_ms;       /**< how long the caller still waits */
	const char *instance;   /**< id of the endpoint that it is meant for */
	const char *team;       /**< whose key it was; NULL: an open route */
	const char *last_event; /**< a stream goes on after this event; NULL: not resumed here */
	size_t body_bytes;
};

/** Appends the whole head, to the empty line. */
void
comet_forward_write_head(GString *out, const struct comet_http_head *head,
	const struct comet_header_names *names, const struct comet_forward_params *forward);

#endif
