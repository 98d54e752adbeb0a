/*
 * datagram_socket.h
 * sends and receives datagrams between VMs by UDP
 *
 * A lost datagram is not sent again: later gossip replaces it, and RPCs have
 * timeouts. Unlike the queue of a connection, UDP delivers nothing from before
 * a partition or a pause.
 */
#ifndef COMETSPINDLE_ADAPTERS_DATAGRAM_SOCKET_H
#define COMETSPINDLE_ADAPTERS_DATAGRAM_SOCKET_H

#include <glib.h>
#include <libcometspindle/adapters/byte_counters.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

struct comet_datagram_socket;

typedef void (*comet_datagram_socket_handler)(void *ctx, const uint8_t *data, size_t length);

/** Binds to "a.b.c.d:port". @return NULL with error set on failure. */
struct comet_datagram_socket *
comet_datagram_socket_create(void *parent, struct tevent_context *ev, const char *address,
	comet_datagram_socket_handler handler, void *ctx, GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** Datagrams of one kind so far. */
struct comet_datagram_counts
{
	uint64_t received;
	uint64_t sent;
	struct comet_byte_counters bytes;
	struct comet_byte_counters crossing; /**< the part to and from other availability zones */
};

/** Sets the function that tells whether a VM is in the availability zone of this one. Until then,
 * no bytes count as crossing. */
void
comet_datagram_socket_set_zone_check(struct comet_datagram_socket *datagram_socket,
	bool (*is_near)(const void *ctx, uint32_t address), const void *ctx);

/** @return the counts of a kind (comet_datagram_kind()). */
const struct comet_datagram_counts *
comet_datagram_socket_counts(const struct comet_datagram_socket *datagram_socket, uint32_t kind);

/** Bytes of datagrams so far. */
const struct comet_byte_counters *
comet_datagram_socket_bytes(const struct comet_datagram_socket *datagram_socket);

/** Sends to the same port of another VM (IPv4, host order). */
void
comet_datagram_socket_send(struct comet_datagram_socket *datagram_socket, uint32_t address,
	const uint8_t *data, size_t length);

/** Size of a buffer for an address as text. */
#define COMET_IPV4_TEXT_BYTES 16

/** Writes an address (IPv4, host order) as text. @return text */
const char *
comet_datagram_socket_format_address(uint32_t address, char text[COMET_IPV4_TEXT_BYTES]);

/** This VM's own IPv4 address, host order. */
uint32_t
comet_datagram_socket_address(const struct comet_datagram_socket *datagram_socket);

#endif
