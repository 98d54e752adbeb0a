/*
 * view_link.h
 * sends and receives views between VMs by UDP
 *
 * Only the newest view of a VM matters, so a lost datagram is nothing to
 * repeat, and one from before a cut or a pause is never delivered late, as a
 * queue on a connection would do.
 */
#ifndef COMETSPINDLE_ADAPTERS_VIEW_LINK_H
#define COMETSPINDLE_ADAPTERS_VIEW_LINK_H

#include <glib.h>
#include <libcometspindle/adapters/bytes.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

struct comet_view_link;

typedef void (*comet_view_link_handler)(void *ctx, const uint8_t *data, size_t length);

/** Binds to "a.b.c.d:port"; NULL and error when that fails. */
struct comet_view_link *
comet_view_link_create(void *parent, struct tevent_context *ev, const char *address,
	comet_view_link_handler handler, void *ctx, GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** Bytes of datagrams so far. */
const struct comet_bytes *
comet_view_link_bytes(const struct comet_view_link *link);

/** Sends to the same port of another VM (IPv4, host order). */
void
comet_view_link_send(
	struct comet_view_link *link, uint32_t address, const uint8_t *data, size_t length);

/** Room for an address as text. */
#define COMET_VIEW_ADDRESS_MAX 16

/** Writes an address (IPv4, host order) as text. @return text */
const char *
comet_view_link_text(uint32_t address, char text[COMET_VIEW_ADDRESS_MAX]);

/** This VM's own IPv4 address, host order. */
uint32_t
comet_view_link_address(const struct comet_view_link *link);

#endif
