/*
 * socket.h
 * a non-blocking TCP connection on a tevent loop, with a queue of bytes to write
 */
#ifndef COMETSPINDLE_ADAPTERS_SOCKET_H
#define COMETSPINDLE_ADAPTERS_SOCKET_H

#include <glib.h>
#include <libcometspindle/adapters/byte_counters.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

struct comet_socket;

struct comet_socket_events
{
	/** The connection asked for is there. */
	void (*connected)(void *ctx);
	/** Bytes arrived. */
	void (*data)(void *ctx, const char *data, size_t length);
	/** Nothing more comes; orderly: the other side ended its stream, else it broke. */
	void (*closed)(void *ctx, bool orderly);
	/** The queue of bytes to write has become empty; may be NULL. */
	void (*drained)(void *ctx);
};

/** Parses "a.b.c.d:port". */
bool
comet_socket_parse_address(const char *text, struct sockaddr_in *address);

/** Takes over an accepted descriptor. Free with talloc_free: closes at once. */
struct comet_socket *
comet_socket_accepted(void *parent, struct tevent_context *ev, int fd,
	const struct comet_socket_events *events, void *ctx);

/** Starts connecting; NULL, errno set, when that cannot even start. */
struct comet_socket *
comet_socket_connect(void *parent, struct tevent_context *ev, const struct sockaddr_in *address,
	const struct comet_socket_events *events, void *ctx);

/** Writes now what fits and queues the rest. */
void
comet_socket_write(struct comet_socket *socket, const char *data, size_t length);

/** Bytes queued and not yet taken by the kernel. */
size_t
comet_socket_queued(const struct comet_socket *socket);

/** Counts its bytes from now on, until it is freed. */
void
comet_socket_count(struct comet_socket *socket, struct comet_byte_counters *bytes);

/** Stops or goes on reading. */
void
comet_socket_pause(struct comet_socket *socket, bool paused);

/** Ends our direction once the queue is written; reading goes on. */
void
comet_socket_shutdown(struct comet_socket *socket);

/** @return the errno with which a connection could not be had; 0: none is known. */
int
comet_socket_error(const struct comet_socket *socket);

/** @return whether an idle connection still stands and nothing unread waits on it. */
bool
comet_socket_is_quiet(const struct comet_socket *socket);

/** @return whether the kernel holds what the loop has not told yet: bytes, an end, a connection. */
bool
comet_socket_has_pending_events(const struct comet_socket *socket);

/** Looks, while nothing comes, whether the other side is still there: a connection that has gone
 * silent for good breaks within about two seconds, however long its answer may take. */
void
comet_socket_probe(struct comet_socket *socket);

/** Until an orderly shutdown, any close resets the connection, also that of a killed process: what
 * is queued is lost, and no end looks orderly. */
void
comet_socket_set_reset(struct comet_socket *socket);

/** Opens a listening socket; -1 and errno when it cannot be had. */
int
comet_socket_listen(const struct sockaddr_in *address);

#endif
