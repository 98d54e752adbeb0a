/*
 * endpoint_call.h
 * one dispatch to an endpoint over HTTP, sent at most once and resumed after an interruption
 */
#ifndef COMETSPINDLE_ADAPTERS_ENDPOINT_CALL_H
#define COMETSPINDLE_ADAPTERS_ENDPOINT_CALL_H

#include <libcometspindle/adapters/endpoints/curl_loop.h>
#include <libcometspindle/endpoint.h>
#include <libcometspindle/verdict.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Bytes before a cut that a resume asks for once more: the done event may be among them, and they
 * show whether the answer is of the same run. An OpenAI-style event, with the id and time of its
 * run, has some 250 bytes with a short token, so that one of them is whole here.
 */
#define COMET_STREAM_OVERLAP_BYTES 512

/** Events of a dispatch, called in the thread of the loop. */
struct comet_endpoint_events
{
	/** Status and type of the response; called once, before any data. */
	void (*head)(void *ctx, unsigned int status, const char *content_type);
	/** Part of the response. @return false to pause until comet_endpoint_call_resume(). */
	bool (*data)(void *ctx, const char *data, size_t length);
	/** A stream is slow (step_us) or silent (0). */
	void (*slow)(void *ctx, uint32_t step_us);
	/** The dispatch has ended. whole: the response is complete. */
	void (*end)(void *ctx, enum comet_outcome outcome, bool whole,
		const struct comet_sample *sample);
};

/** The request; everything is copied. */
struct comet_endpoint_request
{
	const char *url;        /**< whole address */
	const char *resume_url; /**< address to go on at, "?offset=N" is added; NULL: cannot */
	const char *request_id;
	const char *content_type;
	const char *body; /**< NULL: GET */
	size_t length;
	uint64_t timeout_ms; /**< hard end */
	size_t overlap;      /**< bytes that come first and that a caller who resumes has already */
	bool streaming;      /**< server-sent events; must end with the done event */
};

struct comet_endpoint_call;

/** Starts a dispatch. No event is called before this returns. talloc_free() aborts it without an
 * event. */
struct comet_endpoint_call *
comet_endpoint_call_create(void *parent, struct tevent_context *ev, struct comet_curl_loop *loop,
	const struct comet_endpoint_request *request, const struct comet_endpoint_events *events,
	void *ctx);

/** Resumes after data returned false. */
void
comet_endpoint_call_resume(struct comet_endpoint_call *call);

#endif
