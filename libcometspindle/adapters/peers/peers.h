/*
 * peers.h
 * the link between VMs: ZeroMQ ROUTER and DEALER over TCP with CURVE
 */
#ifndef COMETSPINDLE_ADAPTERS_PEERS_H
#define COMETSPINDLE_ADAPTERS_PEERS_H

#include <glib.h>
#include <libcometspindle/proto/peer.pb.h>
#include <stdint.h>
#include <tevent.h>

struct comet_peers;

/** A decoded packet arrived; blob is a signed bundle or NULL. */
typedef void (*comet_peers_handler)(
	void *ctx, uint64_t from, const comet_Packet *packet, GBytes *blob);

/** Binds and starts; secret_key is Z85 text, shared by all VMs: others get nothing. */
struct comet_peers *
comet_peers_create(void *parent, struct tevent_context *ev, uint64_t self_id,
	const char *bind_address, const char *secret_key, comet_peers_handler handler, void *ctx,
	GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** Makes the address of a VM known; connects at the first message. */
void
comet_peers_set_address(struct comet_peers *peers, uint64_t vm, const char *address);

/** Forgets VMs that are not among ids. */
void
comet_peers_retain(struct comet_peers *peers, const uint64_t *ids, size_t count);

void
comet_peers_send(struct comet_peers *peers, uint64_t vm, const comet_Packet *packet, GBytes *blob);

/** For fault tests: drop everything from and to these VMs. */
void
comet_peers_set_cut(struct comet_peers *peers, const uint64_t *ids, size_t count);

/** Bytes of messages (frames, without TCP's own) sent and received. */
void
comet_peers_bytes(const struct comet_peers *peers, uint64_t *sent, uint64_t *received);

/** Decodes a packet from a frame; FALSE when it is malformed. */
gboolean
comet_peers_decode(const uint8_t *data, size_t length, comet_Packet *packet);

#endif
