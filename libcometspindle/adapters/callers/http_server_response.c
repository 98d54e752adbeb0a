/*
 * http_server_response.c
 * responses of the HTTP server to its callers
 */
#include <libcometspindle/adapters/callers/http_server_private.h>

#include <string.h>
#include <talloc.h>

size_t
comet_http_server_unsent_bytes(const struct comet_http_server *http_server)
{
	GHashTableIter at;
	gpointer connection = NULL;
	size_t bytes = 0;

	g_hash_table_iter_init(&at, http_server->connections);
	while (g_hash_table_iter_next(&at, &connection, NULL))
		bytes += comet_socket_queued(((struct comet_http_connection *)connection)->socket);
	return bytes;
}

void
comet_http_server_close_after_response(struct comet_http_server_request *request)
{
	connection_of(request)->keep_alive = false;
}

void
comet_http_server_start_response(struct comet_http_server_request *request, unsigned int status,
	const char *reason, const char *headers, int64_t length)
{
	struct comet_http_connection *connection = connection_of(request);
	const struct comet_http_head *head = request->head;
	GString *out = g_string_sized_new(512);
	bool head_only =
		head != NULL && strcmp(head->method != NULL ? head->method : "", "HEAD") == 0;

	/* A further request that has arrived is answered on this connection first. */
	if (connection->http_server->closing &&
		!comet_http_connection_has_waiting_request(connection))
		connection->keep_alive = false;
	connection->started = true;
	connection->no_body = head_only || status == 204 || status == 304;
	bool unknown = length < 0 && !connection->no_body;
	connection->chunked = unknown && !head->http_1_0;
	if (unknown && head->http_1_0)
	{
		connection->keep_alive = false;
		/* If the process is killed, the kernel's close must not look like the end of the
		 * response. */
		comet_socket_set_reset(connection->socket);
	}
	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", status,
		reason != NULL && *reason != '\0' ? reason : comet_http_reason(status));
	if (headers != NULL)
		g_string_append(out, headers);
	if (connection->chunked)
		comet_http_write_header(out, "Transfer-Encoding", "chunked");
	else if (length >= 0 && status != 204)
		g_string_append_printf(out, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
	if (!connection->keep_alive)
		comet_http_write_header(out, "Connection", "close");
	g_string_append(out, "\r\n");
	comet_socket_write(connection->socket, out->str, out->len);
	g_string_free(out, TRUE);
}

void
comet_http_server_send_body(
	struct comet_http_server_request *request, const char *data, size_t length)
{
	struct comet_http_connection *connection = connection_of(request);

	if (length == 0 || connection->no_body)
		return;
	if (!connection->chunked)
	{
		comet_socket_write(connection->socket, data, length);
		return;
	}
	GString *chunk = g_string_sized_new(length + 16);
	g_string_append_printf(chunk, "%zx\r\n", length);
	g_string_append_len(chunk, data, (gssize)length);
	g_string_append(chunk, "\r\n");
	comet_socket_write(connection->socket, chunk->str, chunk->len);
	g_string_free(chunk, TRUE);
}

void
comet_http_server_finish_response(struct comet_http_server_request *request)
{
	struct comet_http_connection *connection = connection_of(request);

	if (connection->chunked)
		comet_socket_write(connection->socket, "0\r\n\r\n", 5);
	connection->responded_us = comet_timers_now_us();
	/* Once nothing more is accepted, a connection is closed even if its caller may keep it: a
	 * further request would reach a process that is about to end. One that has arrived is
	 * answered before. */
	if (!connection->keep_alive ||
		(connection->http_server->listener == NULL &&
			!comet_http_connection_has_waiting_request(connection)))
	{
		comet_http_connection_end(connection);
		return;
	}
	connection->state = CONNECTION_READING;
	comet_http_connection_set_idle(connection);
	connection->got_byte = false;
	connection->got_head = false;
	connection->complete = false;
	connection->started = false;
	connection->too_large = false;
	connection->request.head = NULL;
	comet_http_memory_release(connection);
	comet_http_connection_set_timer(
		connection, connection->http_server->limits.idle_timeout_ms);
	comet_http_connection_read_on(connection);
}

void
comet_http_server_respond(struct comet_http_server_request *request, unsigned int status,
	const char *headers, const char *body, size_t length)
{
	comet_http_server_start_response(request, status, NULL, headers, (int64_t)length);
	comet_http_server_send_body(request, body, length);
	comet_http_server_finish_response(request);
}

void
comet_http_server_abort_response(struct comet_http_server_request *request)
{
	/* The missing last chunk, the length or the reset shows that the response is incomplete. */
	talloc_free(connection_of(request));
}

size_t
comet_http_server_queued_bytes(const struct comet_http_server_request *request)
{
	return comet_socket_queued(connection_of(request)->socket);
}
