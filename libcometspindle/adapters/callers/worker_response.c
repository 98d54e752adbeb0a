/*
 * worker_response.c
 * the life of one caller's call: dispatched once, its answer passed on, freed
 */
#include <libcometspindle/adapters/callers/worker_private.h>

#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

/* Bytes buffered for a slow caller before reading from the endpoint is paused. */
#define OUT_HIGH_BYTES (64 * 1024)
/* A dispatch is ended this long after its deadline. */
#define GRACE_MS 60000ULL

static void
buffered_change(struct comet_call *call, gint64 change)
{
	__atomic_add_fetch(&call->worker->buffered, change, __ATOMIC_RELAXED);
}

static size_t
out_length(const struct comet_call *call)
{
	return call->out->len - call->out_start;
}

static void
on_head(void *ctx, unsigned int status, const char *content_type)
{
	struct comet_call *call = ctx;

	call->status = status;
	g_strlcpy(call->content_type, content_type, sizeof call->content_type);
	call->state = COMET_CALL_RESPONDING;
	comet_call_wake(call);
}

/* A slow caller always leaves some bytes unread; those that it has read are freed anyway. */
static void
drop_read(struct comet_call *call)
{
	if (call->out_start == 0)
		return;
	g_byte_array_remove_range(call->out, 0, (guint)call->out_start);
	call->out_start = 0;
}

static bool
on_data(void *ctx, const char *data, size_t length)
{
	struct comet_call *call = ctx;

	if (call->connection == NULL)
		return true; /* the caller disconnected; the call must still run to its end */
	if (out_length(call) > OUT_HIGH_BYTES)
		return false;
	drop_read(call);
	g_byte_array_append(call->out, (const guint8 *)data, (guint)length);
	buffered_change(call, (gint64)length);
	comet_call_wake(call);
	return true;
}

static void
on_slow(void *ctx, uint32_t step_us)
{
	struct comet_call *call = ctx;

	if (call->resumed)
		return;
	struct comet_control_message *message = g_new0(struct comet_control_message, 1);
	message->kind = COMET_CONTROL_SLOW;
	message->step_us = step_us;
	comet_call_notify_control(call, message);
}

static void
tell_finished(
	struct comet_call *call, enum comet_outcome outcome, const struct comet_sample *sample)
{
	struct comet_control_message *message = NULL;

	if (call->resumed)
		return;
	message = g_new0(struct comet_control_message, 1);
	message->kind = COMET_CONTROL_FINISHED;
	message->outcome = outcome;
	if (sample != NULL)
		message->sample = *sample;
	comet_call_notify_control(call, message);
}

static void
unlist(struct comet_call *call)
{
	if (call->listed)
		g_hash_table_remove(call->worker->calls, &call->request);
	call->listed = false;
}

void
comet_call_withdraw(struct comet_call *call)
{
	struct comet_control_message *message = NULL;
	bool known = call->listed && !call->resumed;

	unlist(call);
	if (!known)
		return;
	message = g_new0(struct comet_control_message, 1);
	message->kind = call->state == COMET_CALL_WAITING && call->endpoint_id == 0
				? COMET_CONTROL_ABANDONED
				: COMET_CONTROL_FINISHED;
	message->outcome = COMET_OUTCOME_WITHDRAWN;
	comet_call_notify_control(call, message);
}

static void
on_end(void *ctx, enum comet_outcome outcome, bool whole, const struct comet_sample *sample)
{
	struct comet_call *call = ctx;
	bool retried = (outcome == COMET_OUTCOME_REFUSED || outcome == COMET_OUTCOME_UNREACHED) &&
		       !call->resumed;

	TALLOC_FREE(call->upstream);
	tell_finished(call, outcome, sample);
	if (retried)
	{
		/* not run: the control thread dispatches it again or refuses it */
		call->endpoint_id = 0;
		if (call->connection == NULL)
			comet_call_withdraw(call); /* the caller has disconnected */
		comet_call_free_if_over(call);
		return;
	}
	unlist(call);
	call->upstream_over = true;
	call->whole = whole;
	if (call->state == COMET_CALL_WAITING)
		call->state = COMET_CALL_RESPONDING; /* it failed before the head arrived */
	comet_call_wake(call);
	comet_call_free_if_over(call);
}

static const struct comet_endpoint_events endpoint_events = {on_head, on_data, on_slow, on_end};

void
comet_call_dispatch(struct comet_call *call, const struct comet_endpoint *endpoint)
{
	char *url = g_strconcat(endpoint->url, call->path, NULL);
	char *resume_url = g_strconcat(endpoint->url, STREAMS_PATH, call->id, NULL);
	struct comet_endpoint_request request = {
		.url = url,
		.resume_url = call->is_service || call->resumed ? NULL : resume_url,
		.request_id = call->id,
		.content_type = "application/json",
		.body = call->forward,
		.length = call->forward_length,
		.timeout_ms = call->deadline_ms + GRACE_MS,
		.overlap = call->overlap,
		.streaming = call->streaming,
	};

	if (call->upstream != NULL)
		comet_violation("dispatched_twice", "request=%s", call->id);
	call->endpoint_id = endpoint->id;
	call->upstream = comet_endpoint_call_create(call->worker->ev, call->worker->ev,
		call->worker->curl, &request, &endpoint_events, call);
	g_free(url);
	g_free(resume_url);
}

/* --- the response to the caller --- */

static void
out_consume(struct comet_call *call, size_t length)
{
	call->out_start += length;
	buffered_change(call, -(gint64)length);
	if (call->out_start == call->out->len)
	{
		g_byte_array_set_size(call->out, 0);
		call->out_start = 0;
	}
}

static ssize_t
on_read(void *ctx, uint64_t position, char *buffer, size_t max)
{
	struct comet_call *call = ctx;
	size_t length = out_length(call);

	(void)position;
	if (length == 0)
	{
		if (call->upstream_over)
			/* an incomplete response must not look complete */
			return call->whole ? MHD_CONTENT_READER_END_OF_STREAM
					   : MHD_CONTENT_READER_END_WITH_ERROR;
		if (call->closed) /* libmicrohttpd would notice only at the next event */
			return MHD_CONTENT_READER_END_WITH_ERROR;
		comet_call_suspend(call);
		return 0;
	}
	if (length > max)
		length = max;
	memcpy(buffer, call->out->data + call->out_start, length);
	out_consume(call, length);
	if (call->upstream != NULL && out_length(call) < OUT_HIGH_BYTES / 2)
		comet_endpoint_call_resume(call->upstream);
	return (ssize_t)length;
}

static void
add_resume_token(struct comet_call *call, struct MHD_Response *response)
{
	struct comet_token token = {.team_id = call->team_id, .endpoint_id = call->endpoint_id};
	char text[COMET_TOKEN_TEXT_MAX];

	if (!call->streaming || call->is_service || call->status != MHD_HTTP_OK)
		return;
	g_strlcpy(token.request_id, call->id, sizeof token.request_id);
	comet_token_seal(&token, call->worker->config.token_key, text);
	MHD_add_response_header(response, "Comet-Resume", text);
}

enum MHD_Result
comet_call_respond(struct comet_call *call)
{
	if (call->status == 0) /* no head arrived, and bytes were sent */
		return comet_call_refuse(
			call, COMET_REFUSAL_ENDPOINT_FAILED, COMET_VERDICT_MAY_HAVE_RUN, NULL, 0);
	if (call->answered)
		comet_violation("answered_twice", "request=%s", call->id);
	call->answered = true;
	call->state = COMET_CALL_STREAMING;
	/* a short response that is already complete is sent with its length */
	struct MHD_Response *response =
		call->upstream_over && call->whole
			? MHD_create_response_from_buffer(out_length(call),
				  call->out->data != NULL ? call->out->data + call->out_start
							  : NULL,
				  MHD_RESPMEM_MUST_COPY)
			: MHD_create_response_from_callback(
				  MHD_SIZE_UNKNOWN, OUT_HIGH_BYTES / 4, on_read, call, NULL);
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, call->content_type);
	MHD_add_response_header(response, "Request-Id", call->id);
	add_resume_token(call, response);
	enum MHD_Result result = MHD_queue_response(call->connection, call->status, response);
	MHD_destroy_response(response);
	return result;
}

void
comet_call_free_if_over(struct comet_call *call)
{
	struct comet_worker *worker = call->worker;

	if (call->connection != NULL || call->upstream != NULL || call->listed)
		return;
	if (call->counted)
	{
		gpointer id = GUINT_TO_POINTER(call->team_id);
		uint32_t open = GPOINTER_TO_UINT(g_hash_table_lookup(worker->per_team, id));
		g_hash_table_insert(worker->per_team, id, GUINT_TO_POINTER(open - 1));
	}
	buffered_change(call, -(gint64)out_length(call));
	g_byte_array_free(call->out, TRUE);
	if (call->body != NULL)
		g_string_free(call->body, TRUE);
	g_free(call->path);
	g_free(call->forward);
	comet_state_snapshot_release(call->view);
	__atomic_sub_fetch(&worker->open, 1, __ATOMIC_RELAXED);
	g_free(call);
}
