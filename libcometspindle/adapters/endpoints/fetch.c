/*
 * fetch.c
 * reads one document from another process with a GET, bounded in size and time
 */
#include <libcometspindle/adapters/endpoints/fetch.h>

#include <glib.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

/* Largest document. A page of the directory has at most about a megabyte of values, in base64; a
 * snapshot of 3,000 endpoints is a little smaller. */
#define BYTES_MAX (4 * 1024 * 1024)

/* Minimum progress of a response in each second after it has begun. Its total time depends on the
 * link. */
#define PROGRESS_US 1000000
#define PROGRESS_BYTES (16 * 1024)

/* Extra time before the timeout if input has arrived but has not been read. Reading all connections
 * of a busy VM takes a few milliseconds (CATCH_UP_US in gateway.c). */
#define PENDING_INPUT_US 20000

struct comet_fetch
{
	struct comet_exchange *exchange;
	struct comet_upstream *upstream;
	struct comet_timers *timers;
	struct comet_timer *timer;
	GByteArray *body;
	guint progress_bytes; /* bytes of the body when the timer was last set */
	comet_fetch_handler handler;
	void *ctx;
	char *source; /* address and target, for the log */
	uint64_t started_us;
	uint64_t most_bytes;
	uint64_t expected; /* announced length; 0: none */
	unsigned int status;
	bool begun; /* the head has arrived */
	bool too_large;
	bool extended; /* the time was extended since the timer was set for progress */
	bool finished;
	char *wanted; /* name of a header, or NULL */
	char *header; /* its value, or NULL */
};

/* Reports a transfer that ends after its response had begun. */
static void
log_abandoned(const struct comet_fetch *fetch, const char *reason)
{
	if (fetch->body->len == 0)
		return;
	comet_upstream_abandoned(fetch->upstream);
	comet_log(COMET_LOG_NOTICE,
		"event=transfer_abandoned source=%s reason=%s bytes=%u expected=%" G_GUINT64_FORMAT
		" took_ms=%" G_GUINT64_FORMAT,
		fetch->source, reason, fetch->body->len, fetch->expected,
		(comet_timers_now_us() - fetch->started_us) / 1000);
}

static int
fetch_destroy(struct comet_fetch *fetch)
{
	if (!fetch->finished)
		log_abandoned(fetch, "cancelled");
	g_byte_array_free(fetch->body, TRUE);
	return 0;
}

/* Calls the handler with the response or the failure. */
static void
finish(struct comet_fetch *fetch, const char *failure)
{
	struct comet_fetch_response answer = {
		.failure = failure,
		.too_large = fetch->too_large,
		.status = fetch->status,
		.header = fetch->header,
		.body = (const char *)fetch->body->data,
		.length = fetch->body->len,
	};

	if (failure != NULL)
		log_abandoned(fetch, failure);
	fetch->finished = true;
	fetch->handler(fetch->ctx, &answer);
	talloc_free(fetch);
}

static void
on_timeout(void *ctx)
{
	struct comet_fetch *fetch = ctx;

	fetch->timer = NULL;
	/* A process that did not run for a time has not read what has arrived. This is granted
	 * once, since an incomplete response may arrive byte by byte. */
	if (!fetch->extended && comet_exchange_has_pending_events(fetch->exchange))
	{
		fetch->extended = true;
		fetch->timer =
			comet_timers_add(fetch->timers, fetch, PENDING_INPUT_US, on_timeout, fetch);
		return;
	}
	TALLOC_FREE(fetch->exchange);
	finish(fetch, "timeout");
}

static void
expect_progress(struct comet_fetch *fetch)
{
	fetch->progress_bytes = fetch->body->len;
	fetch->extended = false;
	comet_timer_cancel(&fetch->timer);
	fetch->timer = comet_timers_add(fetch->timers, fetch, PROGRESS_US, on_timeout, fetch);
}

/* Stops reading: the body may have no end. */
static void
refuse_size(struct comet_fetch *fetch)
{
	fetch->too_large = true;
	TALLOC_FREE(fetch->exchange);
	finish(fetch, "too_large");
}

static void
on_head(void *ctx, const struct comet_http_head *head)
{
	struct comet_fetch *fetch = ctx;
	const char *length = comet_http_head_get(head, "Content-Length");

	fetch->begun = true;
	fetch->status = head->status;
	fetch->expected = length != NULL ? g_ascii_strtoull(length, NULL, 10) : 0;
	if (fetch->wanted != NULL)
		fetch->header = talloc_strdup(fetch, comet_http_head_get(head, fetch->wanted));
	if (fetch->expected > fetch->most_bytes)
		refuse_size(fetch);
	else
		expect_progress(fetch);
}

static void
on_data(void *ctx, const char *data, size_t length)
{
	struct comet_fetch *fetch = ctx;

	if (fetch->body->len + length > fetch->most_bytes)
	{
		refuse_size(fetch);
		return;
	}
	g_byte_array_append(fetch->body, (const guint8 *)data, (guint)length);
	if (fetch->body->len - fetch->progress_bytes >= PROGRESS_BYTES)
		expect_progress(fetch);
}

static void
on_end(void *ctx, enum comet_exchange_end end)
{
	struct comet_fetch *fetch = ctx;

	fetch->exchange = NULL; /* frees itself after this */
	comet_timer_cancel(&fetch->timer);
	if (end == COMET_EXCHANGE_UNREACHED)
		finish(fetch, "unreached");
	else if (end != COMET_EXCHANGE_COMPLETE)
		finish(fetch, "broken");
	else
		finish(fetch, NULL);
}

static const struct comet_exchange_events exchange_events = {
	.head = on_head, .data = on_data, .end = on_end};

struct comet_fetch *
comet_fetch_start(void *parent, struct comet_upstream *upstream, struct comet_timers *timers,
	const struct comet_fetch_request *request, comet_fetch_handler handler, void *ctx)
{
	struct comet_fetch *fetch = talloc_zero(parent, struct comet_fetch);
	char *bytes = g_strdup_printf(
		"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", request->target, request->address);
	struct comet_exchange_request attempt = {
		.instance = request->address,
		.address = request->address,
		.bytes = bytes,
		.length = strlen(bytes),
		.probe = true,
		.counted = request->counted,
	};

	fetch->handler = handler;
	fetch->ctx = ctx;
	fetch->upstream = upstream;
	fetch->timers = timers;
	fetch->wanted = talloc_strdup(fetch, request->header);
	fetch->source = talloc_asprintf(fetch, "%s%s", request->address, request->target);
	fetch->most_bytes = request->most_bytes != 0 ? request->most_bytes : BYTES_MAX;
	fetch->started_us = comet_timers_now_us();
	fetch->body = g_byte_array_new();
	talloc_set_destructor(fetch, fetch_destroy);
	fetch->exchange = comet_upstream_send(upstream, fetch, &attempt, &exchange_events, fetch);
	fetch->timer = comet_timers_add(timers, fetch, request->timeout_us, on_timeout, fetch);
	g_free(bytes);
	return fetch;
}

bool
comet_fetch_has_begun(const struct comet_fetch *fetch)
{
	return fetch->begun;
}
