/*
 * worker_refuse.c
 * helpers for calls: messages to the control thread, refusals, suspending and resuming
 */
#include <libcometspindle/adapters/callers/worker_private.h>

#include <libcometspindle/log.h>
#include <string.h>

void
comet_call_notify_control(struct comet_call *call, struct comet_control_message *message)
{
	message->request = call->request;
	comet_mailbox_send(call->worker->config.control, message);
}

enum MHD_Result
comet_call_refuse(struct comet_call *call, enum comet_refusal refusal, enum comet_verdict verdict,
	const char *detail, uint32_t retry_after_ms)
{
	struct json_object *root = json_object_new_object();
	struct json_object *error = json_object_new_object();
	char seconds[16];

	if (call->answered)
		comet_violation("answered_twice", "request=%s", call->id);
	call->answered = true;
	json_object_object_add(error, "code", json_object_new_string(comet_refusal_name(refusal)));
	json_object_object_add(error, "message",
		json_object_new_string(detail != NULL ? detail : comet_refusal_message(refusal)));
	json_object_object_add(
		error, "verdict", json_object_new_string(comet_verdict_name(verdict)));
	json_object_object_add(error, "request_id", json_object_new_string(call->id));
	if (retry_after_ms > 0)
		json_object_object_add(
			error, "retry_after_ms", json_object_new_int64(retry_after_ms));
	json_object_object_add(root, "error", error);
	const char *text = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
	MHD_add_response_header(response, "Request-Id", call->id);
	g_snprintf(seconds, sizeof seconds, "%u", (retry_after_ms + 999) / 1000);
	if (retry_after_ms > 0)
		MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
	enum MHD_Result result =
		MHD_queue_response(call->connection, comet_refusal_status(refusal), response);
	MHD_destroy_response(response);
	json_object_put(root);
	return result;
}

void
comet_call_suspend(struct comet_call *call)
{
	if (call->suspended)
		return;
	call->suspended = true;
	MHD_suspend_connection(call->connection);
}

void
comet_call_wake(struct comet_call *call)
{
	if (!call->suspended || call->connection == NULL)
		return;
	call->suspended = false;
	comet_http_loop_resume(call->worker->http, call->connection);
}
