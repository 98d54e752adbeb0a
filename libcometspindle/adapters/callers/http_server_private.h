/*
 * http_server_private.h
 * the server and its connections, shared by its source files
 */
#ifndef COMETSPINDLE_ADAPTERS_HTTP_SERVER_PRIVATE_H
#define COMETSPINDLE_ADAPTERS_HTTP_SERVER_PRIVATE_H

#include <libcometspindle/adapters/callers/http_server.h>
#include <libcometspindle/adapters/socket.h>

enum comet_http_connection_state
{
	CONNECTION_READING,   /* reading a request, or idle */
	CONNECTION_OPEN,      /* a request is open: its response is not complete */
	CONNECTION_ENDING,    /* the last response is being written */
	CONNECTION_LINGERING, /* the last response is written: waiting until the caller closes */
};

struct comet_http_server
{
	struct tevent_context *ev;
	struct comet_timers *timers;
	struct tevent_fd *listener;
	struct comet_timer *accept_again;
	const struct comet_http_server_events *events;
	void *ctx;
	struct comet_http_limits limits;
	struct comet_http_server_counts counts;
	struct comet_byte_counters *bytes; /* counters for connections; NULL: none */
	GHashTable *connections;
	GQueue idle; /* of struct comet_http_connection without a request, the longest idle one
			first */
	struct comet_link_share *link;     /* NULL: requests are read as they arrive */
	struct comet_receiving *receiving; /* NULL without a link */
	GQueue waiting; /* of struct comet_http_connection whose request is not read yet */
	struct comet_timer *intake_timer;   /* NULL: none waits */
	struct comet_caller_budget *budget; /* NULL: their memory is not bounded */
	uint32_t max_connections;           /* 0: no limit */
	uint32_t max_while_short;           /* the limit after descriptors ran out */
	uint64_t short_us;                  /* when they last ran out; 0: never */
	int fd;
	bool closing;
};

struct comet_http_connection
{
	struct comet_http_server_request request; /* first member: a request is its connection */
	struct comet_http_server *http_server;
	struct comet_socket *socket;
	struct comet_http_reader *reader;
	struct comet_timer *timer;
	GList *unfinished_link;  /* in the budget, while its request arrives; or NULL */
	uint64_t occupied_bytes; /* counted in the budget, without its body */
	GList *idle_link;        /* link in http_server->idle, or NULL */
	GList *waiting_link;     /* link in http_server->waiting, or NULL */
	struct comet_receiving_request receiving;
	uint64_t announced_bytes; /* length of its body, if has_length */
	uint64_t reserved_bytes;  /* of its body */
	uint64_t waiting_since_us;
	GByteArray *ahead; /* read and not yet parsed */
	GByteArray *body;
	size_t unsent_bytes;   /* unsent bytes of the last response at the last check */
	uint64_t responded_us; /* when its last response was completed; 0: never */
	uint64_t ended_us;     /* when it stopped accepting requests; 0: it accepts them */
	enum comet_http_connection_state state;
	bool admitted;   /* its next request may be read */
	bool got_byte;   /* a request has begun to arrive */
	bool got_head;   /* its head is complete */
	bool has_length; /* its head announces the length of its body */
	bool complete;   /* it is complete */
	bool keep_alive; /* the caller allows another request */
	bool too_large;  /* its body is over the limit */
	bool no_room;    /* there is no memory for it */
	bool chunked;    /* the response is chunked */
	bool no_body;    /* the response has no body: HEAD, 204, 304 */
	bool started;    /* the head of the response is sent */
	bool parsing;    /* inside read_on() */
};

static inline struct comet_http_connection *
connection_of(const struct comet_http_server_request *request)
{
	return (struct comet_http_connection *)request;
}

/** Parses until a request is open or all bytes are consumed. */
void
comet_http_connection_read_on(struct comet_http_connection *connection);

/** Accepts no further request on the connection, and closes it once its response is written. */
void
comet_http_connection_end(struct comet_http_connection *connection);

/** @return whether a request has arrived that is not parsed yet. */
bool
comet_http_connection_has_waiting_request(const struct comet_http_connection *connection);

/** Sets the time in which the next bytes must arrive. */
void
comet_http_connection_set_timer(struct comet_http_connection *connection, uint64_t delay_ms);

/** Called before a connection, which is ctx, is read. @return false if its request waits unread. */
bool
comet_http_intake_may_read(void *ctx);

/** Called when a part of a request has arrived. */
void
comet_http_intake_progress(struct comet_http_connection *connection);

/** Called when a request is complete or is not read any further. */
void
comet_http_intake_done(struct comet_http_connection *connection);

/** @return whether further requests wait until the open one is answered or responses are read */
bool
comet_http_connection_is_held(const struct comet_http_connection *connection);

/** Called when a request has begun to arrive. */
void
comet_http_memory_begun(struct comet_http_connection *connection);

/** Called when the connection occupies more or less than before. */
void
comet_http_memory_recount(struct comet_http_connection *connection);

/** Called when more of a request has been parsed. Sets no_room if it cannot be kept. */
void
comet_http_memory_parsed(struct comet_http_connection *connection);

/** @return whether what has arrived may be read, or has to wait until its connection is free */
bool
comet_http_memory_may_read(const struct comet_http_connection *connection);

/** Closes the connection whose request has been arriving for the longest time, on any server with
 * the same budget. @return false if there is none */
bool
comet_http_memory_close_oldest(struct comet_http_server *http_server);

/** Frees the allocation of what was read and is parsed. */
void
comet_http_memory_trim_ahead(struct comet_http_connection *connection);

/** Frees and stops counting all that the connection occupies; it is being freed. */
void
comet_http_memory_closed(struct comet_http_connection *connection);

/** Reserves memory for the body that a head announces. */
void
comet_http_memory_announced(
	struct comet_http_connection *connection, const struct comet_http_head *head);

/** Reserves memory for a body of this length, which may be larger than announced. */
void
comet_http_memory_growing(struct comet_http_connection *connection, uint64_t body_bytes);

/** Refuses a request for which there is no memory; the connection is closed after that. */
void
comet_http_memory_refuse(struct comet_http_connection *connection);

/** Frees the memory of the request. */
void
comet_http_memory_release(struct comet_http_connection *connection);

/** Marks the connection as idle from now on. */
void
comet_http_connection_set_idle(struct comet_http_connection *connection);

#endif
