/*
 * upstream.c
 * sends requests to endpoints over persistent HTTP/1.1 connections
 */
#include <libcometspindle/adapters/endpoints/upstream.h>

#include <errno.h>
#include <libcometspindle/adapters/socket.h>
#include <libcometspindle/gateway/header_names.h>
#include <libcometspindle/log.h>
#include <netinet/in.h>
#include <string.h>
#include <talloc.h>

/* Timeout of a connection attempt: a few round trips between regions. The kernel repeats a lost
 * first packet only after a second. */
#define CONNECT_TIMEOUT_US 300000

/* Idle connections are closed after this time unless the endpoint names a shorter one. */
#define IDLE_DEFAULT_US 4000000

/* Bound of the idle time that an endpoint announces. */
#define KEEP_ALIVE_MAX_S 3600

/* An idle connection is not used within this time of its announced end: a request must not cross
 * the endpoint's close. */
#define IDLE_MARGIN_US 1000000

/* Idle connections per process of an endpoint; it never runs more requests than this at once. */
#define IDLE_MAX 16

/* Limit of a response head, as large as servers commonly allow. */
#define HEAD_MAX_BYTES (64 * 1024)

/* Bytes of answers to other requests, and of interim answers, that are discarded before the answer
 * to this one. An answer to an earlier request may be a whole one; an endpoint that never ends it
 * must not take the processor time of this VM until the deadline. */
#define FOREIGN_MAX_BYTES (1024 * 1024)

struct comet_upstream
{
	struct tevent_context *ev;
	struct comet_timers *timers;
	GHashTable *pools; /* instance -> struct pool */
	struct comet_upstream_counts counts;
};

/* The connections to an endpoint's process. */
struct pool
{
	GQueue idle;    /* of struct link, newest first */
	uint32_t links; /* idle or not */
	bool closed;    /* the process has ended or drains: connections are not reused */
};

/* A connection to an endpoint. */
struct link
{
	struct comet_upstream *upstream;
	struct pool *pool;
	struct comet_socket *socket;
	struct comet_http_reader *reader;
	struct comet_exchange *exchange; /* NULL: idle */
	struct comet_timer *idle_timer;
	char *instance;
	uint64_t idle_us; /* how long it may stay idle */
	bool connected;
	bool feeding; /* the reader is running: the link must not be freed */
	bool doomed;  /* freed once the reader returns */
	bool foreign; /* the answer being read belongs to another request */
	bool ended;   /* the answer is complete */
	bool keep_alive;
};

struct comet_exchange
{
	struct link *link;
	struct comet_upstream *upstream;
	const struct comet_exchange_events *events;
	void *ctx;
	GByteArray *bytes; /* the request until it is written */
	char *id_header;
	char *id;
	struct comet_timer *timer;
	size_t foreign_bytes; /* received before the head of the answer */
	bool sent;
	bool answered; /* the head of the answer has been read */
	bool head_only;
};

static struct pool *
pool_of(struct comet_upstream *upstream, const char *instance)
{
	struct pool *pool = g_hash_table_lookup(upstream->pools, instance);

	if (pool == NULL)
	{
		pool = g_new0(struct pool, 1);
		g_hash_table_insert(upstream->pools, g_strdup(instance), pool);
	}
	return pool;
}

/* A pool that is closed is freed with its last link. */
static void
free_if_unused(struct pool *pool)
{
	if (pool->closed && pool->links == 0)
		g_free(pool);
}

static int
link_destroy(struct link *link)
{
	struct comet_upstream *upstream = link->upstream;
	struct pool *pool = link->pool;

	upstream->counts.open--;
	if (link->exchange != NULL)
		link->exchange->link = NULL;
	else if (g_queue_remove(&pool->idle, link))
		upstream->counts.idle--;
	pool->links--;
	free_if_unused(pool);
	return 0;
}

/* Ends an exchange and closes its link, unless the link was returned to the pool. */
static void
finish(struct comet_exchange *exchange, enum comet_exchange_end end)
{
	const struct comet_exchange_events *events = exchange->events;
	void *ctx = exchange->ctx;

	talloc_free(exchange);
	events->end(ctx, end);
}

static void
on_idle_over(void *ctx)
{
	struct link *link = ctx;

	link->idle_timer = NULL;
	talloc_free(link);
}

/* Returns a link to the pool after its complete response was read. */
static void
put_aside(struct link *link)
{
	struct comet_upstream *upstream = link->upstream;
	struct pool *pool = link->pool;

	link->exchange->link = NULL;
	link->exchange = NULL;
	if (!link->keep_alive || link->idle_us == 0 || pool->closed ||
		g_queue_get_length(&pool->idle) >= IDLE_MAX)
	{
		talloc_free(link);
		return;
	}
	link->ended = false;
	comet_http_reader_release(link->reader);
	comet_socket_pause(link->socket, false);
	g_queue_push_head(&pool->idle, link);
	upstream->counts.idle++;
	link->idle_timer =
		comet_timers_add(upstream->timers, link, link->idle_us, on_idle_over, link);
}

/* @return how long an idle connection may be used, from the endpoint's Keep-Alive header. */
static uint64_t
idle_time(const struct comet_http_head *head)
{
	const char *value = comet_http_head_get(head, "Keep-Alive");
	uint32_t told_s = 0;

	if (value == NULL || !comet_header_parse_keep_alive(value, &told_s))
		return IDLE_DEFAULT_US;
	uint64_t reported_us = (uint64_t)MIN(told_s, KEEP_ALIVE_MAX_S) * 1000000;
	if (reported_us <= IDLE_MARGIN_US)
		return reported_us / 2;
	return MIN(reported_us - IDLE_MARGIN_US, IDLE_DEFAULT_US);
}

static bool
on_head(void *ctx, struct comet_http_head *head)
{
	struct link *link = ctx;
	struct comet_exchange *exchange = link->exchange;

	link->foreign = false;
	if (exchange == NULL || head->status < 200)
	{
		link->foreign = true; /* an interim response, or no request waits: discard it */
		return false;
	}
	if (exchange->id_header != NULL)
	{
		const char *id = comet_http_head_get(head, exchange->id_header);
		link->foreign = id == NULL || strcmp(id, exchange->id) != 0;
	}
	if (link->foreign)
	{
		link->upstream->counts.foreign_answers++;
		comet_log(COMET_LOG_WARNING,
			"event=foreign_answer endpoint=%s request=%s status=%u", link->instance,
			exchange->id, head->status);
		return false;
	}
	link->idle_us = idle_time(head);
	exchange->answered = true;
	exchange->events->head(exchange->ctx, head);
	return link->exchange != NULL && exchange->head_only;
}

static void
on_body(void *ctx, const char *data, size_t length)
{
	struct link *link = ctx;

	if (!link->foreign && link->exchange != NULL)
		link->exchange->events->data(link->exchange->ctx, data, length);
}

static void
on_end(void *ctx, bool keep_alive)
{
	struct link *link = ctx;

	link->keep_alive = keep_alive;
	link->ended = !link->foreign;
}

static const struct comet_http_reader_events reader_events = {
	.head = on_head, .body = on_body, .end = on_end};

/* Handles a complete response. Data that follows it on the connection belongs to no request. */
static void
answer_complete(struct link *link, bool bytes_follow)
{
	struct comet_exchange *exchange = link->exchange;

	link->keep_alive = link->keep_alive && !bytes_follow;
	put_aside(link);
	finish(exchange, COMET_EXCHANGE_COMPLETE);
}

static void
on_data(void *ctx, const char *data, size_t length)
{
	struct link *link = ctx;

	if (link->exchange == NULL)
	{
		link->upstream->counts.foreign_answers++;
		talloc_free(link); /* data on an idle connection is unexpected */
		return;
	}
	if (!link->exchange->answered)
		link->exchange->foreign_bytes += length;
	while (length > 0)
	{
		size_t taken = 0;
		link->feeding = true;
		enum comet_http_reader_result result =
			comet_http_reader_feed(link->reader, data, length, &taken);
		link->feeding = false;
		if (link->doomed)
		{
			talloc_free(link);
			return;
		}
		data += taken;
		length -= taken;
		if (result == COMET_HTTP_READER_END && link->ended)
		{
			answer_complete(link, length > 0);
			return;
		}
		bool endless = !link->exchange->answered &&
			       link->exchange->foreign_bytes > FOREIGN_MAX_BYTES;
		if (result == COMET_HTTP_READER_END && link->keep_alive && !endless)
			continue; /* a foreign response was discarded */
		if (result != COMET_HTTP_READER_MORE || endless)
		{
			link->upstream->counts.malformed++;
			finish(link->exchange, COMET_EXCHANGE_BROKEN);
			return;
		}
	}
}

static void
on_closed(void *ctx, bool orderly)
{
	struct link *link = ctx;
	struct comet_exchange *exchange = link->exchange;

	if (exchange == NULL)
	{
		talloc_free(link);
		return;
	}
	if (!link->connected)
	{
		link->upstream->counts.connect_failures++;
		finish(exchange, COMET_EXCHANGE_UNREACHED);
		return;
	}
	/* A response without a length is complete if its connection ends in order. */
	if (orderly && comet_http_reader_inside(link->reader) &&
		comet_http_reader_feed_eof(link->reader) == COMET_HTTP_READER_END && link->ended)
	{
		answer_complete(link, true);
		return;
	}
	finish(exchange, COMET_EXCHANGE_BROKEN);
}

/* Writes the request; from here on it may have run. */
static void
write_request(struct comet_exchange *exchange)
{
	struct link *link = exchange->link;

	comet_timer_cancel(&exchange->timer);
	exchange->sent = true;
	comet_socket_write(link->socket, (const char *)exchange->bytes->data, exchange->bytes->len);
	g_byte_array_free(exchange->bytes, TRUE); /* the socket has a copy */
	exchange->bytes = g_byte_array_new();
}

static void
on_connected(void *ctx)
{
	struct link *link = ctx;

	link->connected = true;
	write_request(link->exchange);
}

static const struct comet_socket_events socket_events = {
	.connected = on_connected, .data = on_data, .closed = on_closed};

static void
on_unreached(void *ctx)
{
	struct comet_exchange *exchange = ctx;

	exchange->timer = NULL;
	if (comet_exchange_has_pending_events(exchange))
	{
		exchange->timer = comet_timers_add(exchange->upstream->timers, exchange,
			CONNECT_TIMEOUT_US, on_unreached, exchange);
		return;
	}
	exchange->upstream->counts.connect_failures++;
	finish(exchange, COMET_EXCHANGE_UNREACHED);
}

/* Opens a new connection. @return NULL if the attempt cannot start. */
static struct link *
open_link(struct comet_upstream *upstream, const struct comet_exchange_request *request)
{
	struct sockaddr_in address;

	if (!comet_socket_parse_address(request->address, &address))
		return NULL;
	struct link *link = talloc_zero(upstream, struct link);
	link->socket = comet_socket_connect(link, upstream->ev, &address, &socket_events, link);
	if (link->socket == NULL)
	{
		comet_log(COMET_LOG_WARNING, "event=connect_failed endpoint=%s error=\"%s\"",
			request->instance, g_strerror(errno));
		talloc_free(link);
		return NULL;
	}
	link->upstream = upstream;
	link->pool = pool_of(upstream, request->instance);
	link->pool->links++;
	link->instance = talloc_strdup(link, request->instance);
	link->reader = comet_http_reader_create(link, false, HEAD_MAX_BYTES, &reader_events, link);
	comet_socket_count(link->socket, request->counted);
	if (request->probe)
		comet_socket_probe(link->socket);
	upstream->counts.open++;
	upstream->counts.opened++;
	talloc_set_destructor(link, link_destroy);
	return link;
}

/* @return the most recently used idle connection that is still open, or NULL. */
static struct link *
take_idle(struct comet_upstream *upstream, const char *instance)
{
	struct pool *pool = pool_of(upstream, instance);
	struct link *link = NULL;

	while ((link = g_queue_peek_head(&pool->idle)) != NULL)
	{
		if (comet_socket_is_quiet(link->socket))
		{
			g_queue_pop_head(&pool->idle);
			upstream->counts.idle--;
			upstream->counts.reused++;
			comet_timer_cancel(&link->idle_timer);
			return link;
		}
		talloc_free(link);
	}
	return NULL;
}

static int
exchange_destroy(struct comet_exchange *exchange)
{
	g_byte_array_free(exchange->bytes, TRUE);
	struct link *link = exchange->link;

	if (link == NULL)
		return 0;
	/* The endpoint notices the close and stops working on it. */
	link->exchange = NULL;
	if (link->feeding)
		link->doomed = true;
	else
		talloc_free(link);
	return 0;
}

struct comet_exchange *
comet_upstream_send(struct comet_upstream *upstream, void *parent,
	const struct comet_exchange_request *request, const struct comet_exchange_events *events,
	void *ctx)
{
	struct comet_exchange *exchange = talloc_zero(parent, struct comet_exchange);

	exchange->upstream = upstream;
	exchange->events = events;
	exchange->ctx = ctx;
	exchange->head_only = request->head_only;
	exchange->id_header = talloc_strdup(exchange, request->id_header);
	exchange->id = talloc_strdup(exchange, request->id);
	exchange->bytes = g_byte_array_new();
	g_byte_array_append(
		exchange->bytes, (const guint8 *)request->bytes, (guint)request->length);
	talloc_set_destructor(exchange, exchange_destroy);
	struct link *link = request->new_connection ? NULL : take_idle(upstream, request->instance);
	if (link == NULL)
		link = open_link(upstream, request);
	exchange->link = link;
	if (link == NULL)
	{
		exchange->timer =
			comet_timers_add(upstream->timers, exchange, 0, on_unreached, exchange);
		return exchange;
	}
	link->exchange = exchange;
	if (link->connected)
		write_request(exchange);
	else
		exchange->timer = comet_timers_add(
			upstream->timers, exchange, CONNECT_TIMEOUT_US, on_unreached, exchange);
	return exchange;
}

bool
comet_exchange_sent(const struct comet_exchange *exchange)
{
	return exchange->sent;
}

bool
comet_exchange_has_pending_events(const struct comet_exchange *exchange)
{
	return exchange->link != NULL && comet_socket_has_pending_events(exchange->link->socket);
}

void
comet_exchange_probe(struct comet_exchange *exchange)
{
	if (exchange->link != NULL)
		comet_socket_probe(exchange->link->socket);
}

void
comet_exchange_pause(struct comet_exchange *exchange, bool paused)
{
	if (exchange->link != NULL && exchange->link->connected)
		comet_socket_pause(exchange->link->socket, paused);
}

/* Closes the idle links; links in use are closed after use. */
static void
close_pool(gpointer data)
{
	struct pool *pool = data;
	struct link *link = NULL;

	pool->links++; /* keeps the pool until the last link is closed */
	pool->closed = true;
	while ((link = g_queue_peek_head(&pool->idle)) != NULL)
		talloc_free(link);
	pool->links--;
	free_if_unused(pool);
}

void
comet_upstream_close_instance(struct comet_upstream *upstream, const char *instance)
{
	g_hash_table_remove(upstream->pools, instance);
}

void
comet_upstream_abandoned(struct comet_upstream *upstream)
{
	upstream->counts.abandoned++;
}

const struct comet_upstream_counts *
comet_upstream_counts(const struct comet_upstream *upstream)
{
	return &upstream->counts;
}

static int
upstream_destroy(struct comet_upstream *upstream)
{
	g_hash_table_destroy(upstream->pools);
	return 0;
}

struct comet_upstream *
comet_upstream_create(void *parent, struct tevent_context *ev, struct comet_timers *timers)
{
	struct comet_upstream *upstream = talloc_zero(parent, struct comet_upstream);

	upstream->ev = ev;
	upstream->timers = timers;
	upstream->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, close_pool);
	talloc_set_destructor(upstream, upstream_destroy);
	return upstream;
}
