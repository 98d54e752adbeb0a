/*
 * peers.c
 * the link between VMs: ZeroMQ ROUTER and DEALER over TCP with CURVE
 *
 * Each VM binds one ROUTER and connects one DEALER per peer it talks to; the
 * DEALER's routing id is the VM's id, so that messages need not carry it.
 * A ZAP handler lets in only holders of the fleet's key pair.
 */
#include <libcometspindle/adapters/peers/peers.h>

#include <errno.h>
#include <libcometspindle/bundle.h>
#include <libcometspindle/error.h>
#include <libcometspindle/log.h>
#include <pb_decode.h>
#include <pb_encode.h>
#include <string.h>
#include <talloc.h>
#include <zlib.h>
#include <zmq.h>

#define KEY_TEXT 41
#define KEY_BYTES 32
/* Messages queued for a peer that does not read; older news is worthless. */
#define HIGH_WATER 256
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 1000
#define HANDSHAKE_MS 1000
#define PACKET_BYTES_MAX 8192
/* Frames read in one go before other events get their turn. */
#define READ_BATCH 256

struct peer
{
	uint64_t id;
	char *address;
	void *dealer;
};

struct comet_peers
{
	struct tevent_context *ev;
	uint64_t self_id;
	void *zmq;
	void *router;
	void *zap;
	struct tevent_fd *router_event;
	struct tevent_fd *zap_event;
	struct tevent_immediate *again;
	char secret_key[KEY_TEXT];
	char public_key[KEY_TEXT];
	uint8_t public_bytes[KEY_BYTES];
	GHashTable *by_id;
	uint64_t *cut;
	size_t n_cut;
	comet_peers_handler handler;
	void *ctx;
	uint64_t bytes_sent;
	uint64_t bytes_received;
};

gboolean
comet_peers_decode(const uint8_t *data, size_t length, comet_Packet *packet)
{
	pb_istream_t stream = pb_istream_from_buffer(data, length);

	memset(packet, 0, sizeof *packet);
	return pb_decode(&stream, comet_Packet_fields, packet);
}

static bool
is_cut(const struct comet_peers *peers, uint64_t id)
{
	for (size_t i = 0; i < peers->n_cut; i++)
	{
		if (peers->cut[i] == id)
			return true;
	}
	return false;
}

/* A bundle travels compressed, behind its length in four bytes, least significant first. */
#define BLOB_HEADER 4

static GBytes *
blob_pack(GBytes *blob)
{
	gsize size = 0;
	const Bytef *data = g_bytes_get_data(blob, &size);
	uLongf packed = compressBound(size);
	Bytef *out = g_malloc(BLOB_HEADER + packed);

	for (int i = 0; i < BLOB_HEADER; i++)
		out[i] = (Bytef)(size >> (8 * i));
	if (compress2(out + BLOB_HEADER, &packed, data, size, Z_BEST_COMPRESSION) != Z_OK)
	{
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(out, BLOB_HEADER + packed);
}

/* NULL when it is malformed or larger than a bundle may be. */
static GBytes *
blob_unpack(const uint8_t *data, size_t length)
{
	uLongf size = 0;

	if (length < BLOB_HEADER)
		return NULL;
	for (int i = 0; i < BLOB_HEADER; i++)
		size |= (uLongf)data[i] << (8 * i);
	if (size == 0 || size > COMET_BUNDLE_BYTES_MAX)
		return NULL;
	uLongf expected = size;
	Bytef *out = g_malloc(size);
	if (uncompress(out, &size, data + BLOB_HEADER, length - BLOB_HEADER) != Z_OK ||
		size != expected)
	{
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(out, size);
}

static int
receive_frame(void *socket, zmq_msg_t *frame)
{
	zmq_msg_init(frame);
	if (zmq_msg_recv(frame, socket, ZMQ_DONTWAIT) < 0)
	{
		zmq_msg_close(frame);
		return -1;
	}
	return 0;
}

/* Reads the rest of a message; blob is its last frame beyond the packet. */
static bool
receive_body(void *socket, comet_Packet *packet, GBytes **blob, uint64_t *bytes)
{
	zmq_msg_t frame;
	bool good = false;

	*blob = NULL;
	for (int index = 0;; index++)
	{
		if (receive_frame(socket, &frame) != 0)
			return false;
		size_t size = zmq_msg_size(&frame);
		bool more = zmq_msg_more(&frame) != 0;
		*bytes += size;
		if (index == 0 && size <= PACKET_BYTES_MAX)
			good = comet_peers_decode(zmq_msg_data(&frame), size, packet);
		else if (index == 1 && size <= COMET_BUNDLE_BYTES_MAX)
			*blob = blob_unpack(zmq_msg_data(&frame), size);
		zmq_msg_close(&frame);
		if (!more)
			return good;
	}
}

static bool
receive_one(struct comet_peers *peers)
{
	zmq_msg_t identity;
	uint64_t from = 0;
	comet_Packet packet;
	GBytes *blob = NULL;

	if (receive_frame(peers->router, &identity) != 0)
		return false;
	if (zmq_msg_size(&identity) == sizeof from)
		memcpy(&from, zmq_msg_data(&identity), sizeof from);
	bool more = zmq_msg_more(&identity) != 0;
	zmq_msg_close(&identity);
	if (more && receive_body(peers->router, &packet, &blob, &peers->bytes_received) &&
		from != 0 && !is_cut(peers, from))
		peers->handler(peers->ctx, from, &packet, blob);
	if (blob != NULL)
		g_bytes_unref(blob);
	return true;
}

static void
drain(struct comet_peers *peers);

static void
on_again(struct tevent_context *ev, struct tevent_immediate *immediate, void *data)
{
	(void)ev;
	(void)immediate;
	drain(data);
}

/* ZeroMQ's descriptor is edge-triggered: read until nothing is left. */
static void
drain(struct comet_peers *peers)
{
	for (int i = 0; i < READ_BATCH; i++)
	{
		if (!receive_one(peers))
			return;
	}
	tevent_schedule_immediate(peers->again, peers->ev, on_again, peers);
}

static void
on_router(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
	(void)ev;
	(void)fde;
	(void)flags;
	drain(data);
}

#define ZAP_FRAMES 7

/* One request of ZAP (rfc.zeromq.org/spec/27): seven frames, the last the client's key. */
static bool
zap_one(struct comet_peers *peers)
{
	zmq_msg_t frames[ZAP_FRAMES];
	int count = 0;
	bool more = true;

	while (more && count < ZAP_FRAMES)
	{
		if (receive_frame(peers->zap, &frames[count]) != 0)
			break;
		more = zmq_msg_more(&frames[count]) != 0;
		count++;
	}
	if (count == 0)
		return false;
	bool allowed = count == ZAP_FRAMES && zmq_msg_size(&frames[6]) == KEY_BYTES &&
		       memcmp(zmq_msg_data(&frames[6]), peers->public_bytes, KEY_BYTES) == 0;
	zmq_send(peers->zap, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(peers->zap, count > 1 ? zmq_msg_data(&frames[1]) : "",
		count > 1 ? zmq_msg_size(&frames[1]) : 0, ZMQ_SNDMORE);
	zmq_send(peers->zap, allowed ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(peers->zap, allowed ? "OK" : "No", 2, ZMQ_SNDMORE);
	zmq_send(peers->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(peers->zap, "", 0, 0);
	if (!allowed)
		comet_log(COMET_LOG_WARNING, "event=peer_refused reason=wrong_key");
	for (int i = 0; i < count; i++)
		zmq_msg_close(&frames[i]);
	return true;
}

static void
on_zap(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
	(void)ev;
	(void)fde;
	(void)flags;
	while (zap_one(data))
		continue;
}

static int
socket_fd(void *socket)
{
	int fd = -1;
	size_t length = sizeof fd;

	zmq_getsockopt(socket, ZMQ_FD, &fd, &length);
	return fd;
}

static void
set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof value);
}

static void
peer_destroy(gpointer data)
{
	struct peer *peer = data;

	if (peer->dealer != NULL)
		zmq_close(peer->dealer);
	g_free(peer->address);
	g_free(peer);
}

static int
peers_destructor(struct comet_peers *peers)
{
	TALLOC_FREE(peers->router_event);
	TALLOC_FREE(peers->zap_event);
	g_hash_table_destroy(peers->by_id);
	if (peers->router != NULL)
		zmq_close(peers->router);
	if (peers->zap != NULL)
		zmq_close(peers->zap);
	zmq_ctx_term(peers->zmq);
	return 0;
}

static bool
start_router(struct comet_peers *peers, const char *bind_address)
{
	peers->router = zmq_socket(peers->zmq, ZMQ_ROUTER);
	set_int(peers->router, ZMQ_LINGER, 0);
	set_int(peers->router, ZMQ_ROUTER_HANDOVER, 1);
	set_int(peers->router, ZMQ_CURVE_SERVER, 1);
	set_int(peers->router, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
	int64_t max = COMET_BUNDLE_BYTES_MAX;
	zmq_setsockopt(peers->router, ZMQ_MAXMSGSIZE, &max, sizeof max);
	zmq_setsockopt(peers->router, ZMQ_CURVE_SECRETKEY, peers->secret_key, KEY_TEXT);
	zmq_setsockopt(peers->router, ZMQ_ZAP_DOMAIN, "comet", 5);
	if (zmq_bind(peers->router, bind_address) != 0)
		return false;
	peers->router_event = tevent_add_fd(
		peers->ev, peers, socket_fd(peers->router), TEVENT_FD_READ, on_router, peers);
	return true;
}

static bool
start_zap(struct comet_peers *peers)
{
	peers->zap = zmq_socket(peers->zmq, ZMQ_REP);
	set_int(peers->zap, ZMQ_LINGER, 0);
	if (zmq_bind(peers->zap, "inproc://zeromq.zap.01") != 0)
		return false;
	peers->zap_event = tevent_add_fd(
		peers->ev, peers, socket_fd(peers->zap), TEVENT_FD_READ, on_zap, peers);
	return true;
}

struct comet_peers *
comet_peers_create(void *parent, struct tevent_context *ev, uint64_t self_id,
	const char *bind_address, const char *secret_key, comet_peers_handler handler, void *ctx,
	GError **error)
{
	struct comet_peers *peers = talloc_zero(parent, struct comet_peers);

	peers->ev = ev;
	peers->self_id = self_id;
	peers->handler = handler;
	peers->ctx = ctx;
	peers->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, peer_destroy);
	peers->zmq = zmq_ctx_new();
	peers->again = tevent_create_immediate(peers);
	talloc_set_destructor(peers, peers_destructor);
	if (strlen(secret_key) != KEY_TEXT - 1 ||
		zmq_curve_public(peers->public_key, secret_key) != 0)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_INVALID,
			"peer key: must be a CURVE secret key of 40 characters (Z85)");
		talloc_free(peers);
		return NULL;
	}
	memcpy(peers->secret_key, secret_key, KEY_TEXT);
	zmq_z85_decode(peers->public_bytes, peers->public_key);
	if (!start_zap(peers) || !start_router(peers, bind_address))
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_IO, "peer_endpoint: %s: %s",
			bind_address, zmq_strerror(errno));
		talloc_free(peers);
		return NULL;
	}
	return peers;
}

void
comet_peers_set_address(struct comet_peers *peers, uint64_t vm, const char *address)
{
	struct peer *peer = g_hash_table_lookup(peers->by_id, &vm);

	if (peer != NULL && strcmp(peer->address, address) == 0)
		return;
	if (peer != NULL)
		g_hash_table_remove(peers->by_id, &vm);
	peer = g_new0(struct peer, 1);
	peer->id = vm;
	peer->address = g_strdup(address);
	g_hash_table_insert(peers->by_id, &peer->id, peer);
}

void
comet_peers_retain(struct comet_peers *peers, const uint64_t *ids, size_t count)
{
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, peers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		const struct peer *peer = value;
		bool kept = false;
		for (size_t i = 0; i < count; i++)
			kept = kept || ids[i] == peer->id;
		if (!kept)
			g_hash_table_iter_remove(&iter);
	}
}

static void
peer_connect(struct comet_peers *peers, struct peer *peer)
{
	peer->dealer = zmq_socket(peers->zmq, ZMQ_DEALER);
	set_int(peer->dealer, ZMQ_LINGER, 0);
	set_int(peer->dealer, ZMQ_SNDHWM, HIGH_WATER);
	set_int(peer->dealer, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(peer->dealer, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_int(peer->dealer, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
	zmq_setsockopt(peer->dealer, ZMQ_ROUTING_ID, &peers->self_id, sizeof peers->self_id);
	zmq_setsockopt(peer->dealer, ZMQ_CURVE_SERVERKEY, peers->public_key, KEY_TEXT);
	zmq_setsockopt(peer->dealer, ZMQ_CURVE_PUBLICKEY, peers->public_key, KEY_TEXT);
	zmq_setsockopt(peer->dealer, ZMQ_CURVE_SECRETKEY, peers->secret_key, KEY_TEXT);
	if (zmq_connect(peer->dealer, peer->address) != 0)
		comet_log(COMET_LOG_WARNING, "event=peer_address address=%s error=\"%s\"",
			peer->address, zmq_strerror(errno));
}

void
comet_peers_send(struct comet_peers *peers, uint64_t vm, const comet_Packet *packet, GBytes *blob)
{
	struct peer *peer = g_hash_table_lookup(peers->by_id, &vm);
	uint8_t buffer[PACKET_BYTES_MAX];
	pb_ostream_t stream = pb_ostream_from_buffer(buffer, sizeof buffer);

	if (peer == NULL || is_cut(peers, vm))
		return;
	if (peer->dealer == NULL)
		peer_connect(peers, peer);
	if (!pb_encode(&stream, comet_Packet_fields, packet))
	{
		comet_log(COMET_LOG_ERR, "event=encode error=\"%s\"", PB_GET_ERROR(&stream));
		return;
	}
	GBytes *packed = blob != NULL ? blob_pack(blob) : NULL;
	gsize blob_size = 0;
	const void *blob_data = packed != NULL ? g_bytes_get_data(packed, &blob_size) : NULL;
	int flags = ZMQ_DONTWAIT | (packed != NULL ? ZMQ_SNDMORE : 0);
	/* a peer that does not read gets nothing: the leases will tell */
	if (zmq_send(peer->dealer, buffer, stream.bytes_written, flags) >= 0)
	{
		peers->bytes_sent += stream.bytes_written + blob_size;
		if (packed != NULL)
			zmq_send(peer->dealer, blob_data, blob_size, ZMQ_DONTWAIT);
	}
	if (packed != NULL)
		g_bytes_unref(packed);
}

void
comet_peers_set_cut(struct comet_peers *peers, const uint64_t *ids, size_t count)
{
	talloc_free(peers->cut);
	peers->cut = talloc_memdup(peers, ids, count * sizeof *ids);
	peers->n_cut = count;
}

void
comet_peers_bytes(const struct comet_peers *peers, uint64_t *sent, uint64_t *received)
{
	*sent = peers->bytes_sent;
	*received = peers->bytes_received;
}
