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
	/** The connection is established. */
	void (*connected)(void *ctx);
	/** Bytes arrived. */
	void (*data)(void *ctx, const char *data, size_t length);
	/** The connection has ended. orderly: the peer closed its direction; otherwise it broke. */
	void (*closed)(void *ctx, bool orderly);
	/** The queue of bytes to write has become empty; may be NULL. */
	void (*drained)(void *ctx);
	/** Data arrived after comet_socket_stop_reading(), at most once; may be NULL. */
	void (*unread)(void *ctx);
	/** Data or the end of the stream can be read. @return false if the callee has paused or
	 * freed the socket, which is left unread; NULL: it is always read */
	bool (*may_read)(void *ctx);
};

/** Parses "a.b.c.d:port". */
bool
comet_socket_parse_address(const char *text, struct sockaddr_in *address);

/** Takes ownership of an accepted descriptor. talloc_free() closes it at once. */
struct comet_socket *
comet_socket_accepted(void *parent, struct tevent_context *ev, int fd,
	const struct comet_socket_events *events, void *ctx);

/** Starts to connect. @return NULL and sets errno if the attempt cannot start. */
struct comet_socket *
comet_socket_connect(void *parent, struct tevent_context *ev, const struct sockaddr_in *address,
	const struct comet_socket_events *events, void *ctx);

/** Writes as much as the kernel accepts and queues the rest. */
void
comet_socket_write(struct comet_socket *socket, const char *data, size_t length);

/** @return the number of queued bytes that the kernel has not accepted yet. */
size_t
comet_socket_queued(const struct comet_socket *socket);

/** @return whether bytes have arrived that can be read. */
bool
comet_socket_has_data(const struct comet_socket *socket);

/** Sets the counters to which its bytes are added from now on. */
void
comet_socket_count(struct comet_socket *socket, struct comet_byte_counters *bytes);

/** Stops or resumes reading. */
void
comet_socket_pause(struct comet_socket *socket, bool paused);

/** Leaves all further data unread, but still reports the end of the connection if no data precedes
 * it. A connection that is freed with unread data ends in a reset. */
void
comet_socket_stop_reading(struct comet_socket *socket);

/** Closes this direction once the queue is written; reading continues. */
void
comet_socket_shutdown(struct comet_socket *socket);

/** @return the errno of a failed connection attempt, or 0. */
int
comet_socket_error(const struct comet_socket *socket);

/** @return whether an idle connection is open and has no unread data. */
bool
comet_socket_is_quiet(const struct comet_socket *socket);

/** @return whether the kernel has an event that the loop has not delivered yet: data, the end of
 * the stream, or an established connection. */
bool
comet_socket_has_pending_events(const struct comet_socket *socket);

/** Enables keep-alive probes. A connection whose peer has become unreachable then breaks within
 * about two seconds, even while a response is awaited. */
void
comet_socket_probe(struct comet_socket *socket);

/** Makes any close before an orderly shutdown reset the connection, even if the process is killed:
 * queued bytes are lost, and the end never looks orderly. */
void
comet_socket_set_reset(struct comet_socket *socket);

/** Opens a listening socket. @return -1 and sets errno on failure. */
int
comet_socket_listen(const struct sockaddr_in *address);

#endif
