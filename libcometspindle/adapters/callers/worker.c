/*
 * worker.c
 * a traffic thread: its loop, its connections and its mailbox
 */
#include <libcometspindle/adapters/callers/worker_private.h>

#include <errno.h>
#include <inttypes.h>
#include <libcometspindle/adapters/clock.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

#define IDLE_TIMEOUT_S 30
/* Interval of the check for callers that disconnected while they waited. */
#define SWEEP_US 100000ULL
/* One address may have this part of a thread's connections. */
#define IP_SHARE_DIVISOR 2

static struct comet_call *
call_create(struct comet_worker *worker, struct MHD_Connection *connection)
{
	struct comet_call *call = g_new0(struct comet_call, 1);

	call->worker = worker;
	call->connection = connection;
	call->body = g_string_new(NULL);
	call->out = g_byte_array_new();
	call->request = worker->next_request;
	worker->next_request += worker->config.stride;
	g_snprintf(call->id, sizeof call->id, "%08x.%012" PRIx64, (uint32_t)worker->config.vm_id,
		call->request);
	__atomic_add_fetch(&worker->open, 1, __ATOMIC_RELAXED);
	return call;
}

static void
call_take_body(struct comet_call *call, const char *data, size_t *length)
{
	if (call->body->len + *length > call->worker->config.max_body_bytes)
		call->too_large = true;
	else
		g_string_append_len(call->body, data, (gssize)*length);
	*length = 0;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *connection, const char *url, const char *method,
	const char *version, const char *data, size_t *length, void **request_ctx)
{
	struct comet_worker *worker = ctx;
	struct comet_call *call = *request_ctx;
	bool get = strcmp(method, MHD_HTTP_METHOD_GET) == 0;

	(void)version;
	if (get && !g_str_has_prefix(url, "/v1/streams/"))
		return comet_worker_respond_page(worker, connection, url);
	if (!get && strcmp(method, MHD_HTTP_METHOD_POST) != 0)
		return comet_http_respond(
			connection, MHD_HTTP_METHOD_NOT_ALLOWED, "text/plain", "GET or POST\n", 12);
	if (call == NULL)
	{
		*request_ctx = call_create(worker, connection);
		return MHD_YES;
	}
	if (*length > 0)
	{
		call_take_body(call, data, length);
		return MHD_YES;
	}
	switch (call->state)
	{
	case COMET_CALL_READING:
		return comet_call_begin(call, url);
	case COMET_CALL_RESPONDING:
		return comet_call_respond(call);
	case COMET_CALL_REFUSED:
		return comet_call_refuse(
			call, call->refusal, call->verdict, NULL, call->retry_after_ms);
	default:
		if (call->closed)
			return MHD_NO;
		comet_call_suspend(call); /* a spurious wake-up */
		return MHD_YES;
	}
}

/* Handles a caller that disconnected. Calls that must not be repeated continue. */
static void
caller_left(struct comet_call *call)
{
	if (call->upstream != NULL)
	{
		if (call->once && call->is_service)
		{
			/* paused for a slow caller, so that only this resumes it */
			comet_endpoint_call_resume(call->upstream);
			return;
		}
		TALLOC_FREE(call->upstream);
	}
	comet_call_withdraw(call);
}

static void
on_completed(void *ctx, struct MHD_Connection *connection, void **request_ctx,
	enum MHD_RequestTerminationCode code)
{
	struct comet_call *call = *request_ctx;

	(void)ctx;
	(void)connection;
	(void)code;
	if (call == NULL)
		return;
	*request_ctx = NULL;
	call->connection = NULL;
	caller_left(call);
	comet_call_free_if_over(call);
}

static void
on_dispatch(struct comet_worker *worker, struct comet_worker_message *message)
{
	struct comet_call *call = g_hash_table_lookup(worker->calls, &message->request);
	const struct comet_endpoint *endpoint =
		comet_bundle_endpoint(message->bundle, message->endpoint_id);

	if (call != NULL && call->connection != NULL && endpoint != NULL)
		comet_call_dispatch(call, endpoint);
	else
	{
		/* the caller disconnected before any byte was sent */
		struct comet_control_message *back = g_new0(struct comet_control_message, 1);
		back->kind = COMET_CONTROL_FINISHED;
		back->request = message->request;
		back->outcome = COMET_OUTCOME_WITHDRAWN;
		comet_mailbox_send(worker->config.control, back);
	}
	comet_bundle_unref(message->bundle);
}

static void
on_refuse(struct comet_worker *worker, const struct comet_worker_message *message)
{
	struct comet_call *call = g_hash_table_lookup(worker->calls, &message->request);

	if (call == NULL)
		return;
	g_hash_table_remove(worker->calls, &call->request);
	call->listed = false;
	if (call->connection == NULL)
	{
		comet_call_free_if_over(call);
		return;
	}
	call->state = COMET_CALL_REFUSED;
	call->refusal = message->refusal;
	call->verdict = message->verdict;
	call->retry_after_ms = message->retry_after_ms;
	comet_call_wake(call);
}

static void
on_message(void *ctx, void *data)
{
	struct comet_worker *worker = ctx;
	struct comet_worker_message *message = data;

	if (message == NULL)
		return;
	switch (message->kind)
	{
	case COMET_WORKER_DISPATCH:
		on_dispatch(worker, message);
		break;
	case COMET_WORKER_REFUSE:
		on_refuse(worker, message);
		break;
	case COMET_WORKER_QUIESCE:
		worker->quiesced = true;
		comet_http_loop_quiesce(worker->http);
		break;
	case COMET_WORKER_EXIT:
		worker->exiting = true;
		break;
	}
	g_free(message);
}

static bool
connection_closed(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte = 0;
	ssize_t got = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

/* Looks for callers that disconnected: libmicrohttpd does not watch suspended connections. */
static void
on_sweep(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
	struct comet_worker *worker = data;
	GHashTableIter iter;
	gpointer value = NULL;

	(void)timer;
	(void)now;
	g_hash_table_iter_init(&iter, worker->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct comet_call *call = value;
		if (call->suspended && call->connection != NULL &&
			connection_closed(call->connection))
		{
			call->closed = true;
			comet_call_wake(call);
		}
	}
	worker->sweep = tevent_add_timer(ev, ev, comet_clock_after(SWEEP_US), on_sweep, worker);
}

static gpointer
run(gpointer data)
{
	struct comet_worker *worker = data;

	while (!worker->exiting && tevent_loop_once(worker->ev) == 0)
		continue;
	return NULL;
}

static bool
start_http(struct comet_worker *worker)
{
	struct comet_http_config http = {
		.address = worker->config.address,
		.port = worker->config.port,
		.max_connections = worker->config.max_connections,
		.max_per_ip = worker->config.max_connections / IP_SHARE_DIVISOR,
		.idle_timeout_s = IDLE_TIMEOUT_S,
		.on_request = on_request,
		.on_completed = on_completed,
		.ctx = worker,
	};

	worker->http = comet_http_loop_create(worker->ev, worker->ev, &http);
	return worker->http != NULL;
}

struct comet_worker *
comet_worker_create(const struct comet_worker_config *config)
{
	struct comet_worker *worker = g_new0(struct comet_worker, 1);

	worker->config = *config;
	worker->next_request = config->first_request;
	worker->ev = tevent_context_init(NULL);
	worker->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	worker->per_team = g_hash_table_new(g_direct_hash, g_direct_equal);
	worker->curl = comet_curl_loop_create(worker->ev, worker->ev);
	worker->mailbox = comet_mailbox_create(worker->ev, worker->ev, on_message, worker);
	if (!start_http(worker))
	{
		int failed = errno;
		comet_worker_destroy(worker);
		errno = failed;
		return NULL;
	}
	worker->sweep = tevent_add_timer(
		worker->ev, worker->ev, comet_clock_after(SWEEP_US), on_sweep, worker);
	worker->thread = g_thread_new("traffic", run, worker);
	return worker;
}

uint16_t
comet_worker_port(const struct comet_worker *worker)
{
	return comet_http_loop_port(worker->http);
}

void
comet_worker_send(struct comet_worker *worker, struct comet_worker_message *message)
{
	comet_mailbox_send(worker->mailbox, message);
}

uint32_t
comet_worker_open_calls(const struct comet_worker *worker)
{
	return __atomic_load_n(&worker->open, __ATOMIC_RELAXED);
}

uint64_t
comet_worker_buffered_bytes(const struct comet_worker *worker)
{
	return (uint64_t)__atomic_load_n(&worker->buffered, __ATOMIC_RELAXED);
}

void
comet_worker_destroy(struct comet_worker *worker)
{
	if (worker->thread != NULL)
		g_thread_join(worker->thread);
	TALLOC_FREE(worker->http); /* ends open calls while the other parts still exist */
	talloc_free(worker->ev);
	g_hash_table_destroy(worker->calls);
	g_hash_table_destroy(worker->per_team);
	g_free(worker);
}
