/*
 * gateway_resync.c
 * resyncs the directory from peers: snapshots, deltas of endpoints, the routing document
 */
#include <libcometspindle/adapters/gateway/gateway_private.h>

#include <libcometspindle/log.h>
#include <string.h>

/* Grace before a resync from a peer: this VM's watch usually delivers the same change. It is longer
 * while the directory responds, so that hundreds of VMs that start together do not query each
 * other.
 */
#define STALE_GRACE_US 400000
#define STALE_GRACE_ANSWERED_US 1500000

/* The first list is given time while its pages arrive at this interval: the directory rejects most
 * calls of hundreds of VMs that start together, and snapshots would fill their links. */
#define PROGRESS_US 1000000

/* Grace for a response that is arriving from the directory: a snapshot would share its link. */
#define ARRIVING_US 5000000

/* Until a peer's response begins: a connect and a round trip on a busy narrow link. */
#define RESYNC_TIMEOUT_US 1000000

/* Time for a reader to report that it holds a document before the directory is read, and backoff
 * after a failed request. */
#define READER_RETRY_US 300000

/* Backoff after a busy peer refused a delta, jittered by as much. A reader that stays ahead for
 * longer than a few of these is considered too slow. */
#define BUSY_RETRY_US 75000

/* Backoff of a VM that waits for its first snapshot, jittered by as much: of the hundreds of VMs
 * that start together, a peer serves a few at a time. */
#define FIRST_SNAPSHOT_RETRY_US 200000

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503

/* Applies a snapshot or delta, packed or not. */
static bool
apply_body(struct comet_gateway *gateway, const char *body, size_t length, GError **error)
{
	GBytes *text = comet_resync_unpack(body, length, error);
	gsize text_length = 0;

	if (text == NULL)
		return false;
	const char *data = g_bytes_get_data(text, &text_length);
	bool applied = gateway->directory->ops->apply(gateway->directory, data, text_length, error);
	g_bytes_unref(text);
	return applied;
}

/* Applies the response of a peer. @return false if the request failed or it is malformed. */
static bool
apply_response(struct comet_gateway *gateway, const struct comet_fetch_response *response)
{
	GError *error = NULL;

	if (response->failure != NULL || response->status != STATUS_OK)
	{
		comet_log(COMET_LOG_NOTICE, "event=resync_failed reason=%s status=%u",
			response->failure != NULL ? response->failure : "status", response->status);
		return false;
	}
	if (apply_body(gateway, response->body, response->length, &error))
		return true;
	comet_log(COMET_LOG_WARNING, "event=resync_rejected error=\"%s\"", error->message);
	g_clear_error(&error);
	return false;
}

/* Peers whose release is recorded: as many as gossip may know. */
#define OLDER_PEERS_MAX 2048

static bool
is_older_peer(const struct comet_gateway *gateway, uint32_t vm)
{
	return g_hash_table_contains(gateway->older_peers, GUINT_TO_POINTER(vm));
}

/* Records that a peer of an earlier release does not know packed responses. */
static void
add_older_peer(struct comet_gateway *gateway, uint32_t vm)
{
	if (g_hash_table_size(gateway->older_peers) < OLDER_PEERS_MAX)
		g_hash_table_add(gateway->older_peers, GUINT_TO_POINTER(vm));
}

void
comet_gateway_forget_release(struct comet_gateway *gateway, uint32_t vm)
{
	g_hash_table_remove(gateway->older_peers, GUINT_TO_POINTER(vm));
}

static bool
is_status(const struct comet_fetch_response *response, uint32_t status)
{
	return response->failure == NULL && response->status == status;
}

static void
on_resync(void *ctx, const struct comet_fetch_response *response)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();

	gateway->resyncing = NULL; /* the fetch frees itself after this handler */
	if (is_status(response, STATUS_NOT_FOUND) && !is_older_peer(gateway, gateway->resync_vm))
	{
		add_older_peer(gateway, gateway->resync_vm); /* the next request suits it */
		gateway->first_snapshot_due_us = now_us;
		return;
	}
	if (is_status(response, STATUS_UNAVAILABLE))
		gateway->resync_due_us =
			now_us +
			(uint64_t)(BUSY_RETRY_US * (1 + comet_random_double(&gateway->random)));
	if (!apply_response(gateway, response) && !is_status(response, STATUS_UNAVAILABLE))
		comet_reader_election_report_failure(gateway->reader_election, now_us);
	comet_gateway_fetch_document(gateway, comet_timers_now_us());
}

static void
on_document(void *ctx, const struct comet_fetch_response *response)
{
	struct comet_gateway *gateway = ctx;
	const struct comet_directory_ops *ops = gateway->directory->ops;

	gateway->fetching_document = NULL; /* the fetch frees itself after this handler */
	if (apply_response(gateway, response) && ops->missing_document(gateway->directory) == 0)
		return;
	gateway->document_failed_us = comet_timers_now_us();
	ops->read_document(gateway->directory);
}

static struct comet_fetch *
request_from_peer(
	struct comet_gateway *gateway, uint32_t vm, const char *target, comet_fetch_handler handler)
{
	char ip[COMET_IPV4_TEXT_BYTES];
	const char *port = strrchr(gateway->settings->control, ':'); /* the same on all VMs */
	char *address = g_strconcat(comet_datagram_socket_format_address(vm, ip), port, NULL);
	struct comet_fetch_request request = {
		.address = address,
		.target = target,
		.timeout_us = RESYNC_TIMEOUT_US,
		.counted = comet_gateway_peer_bytes(gateway, vm),
	};
	struct comet_fetch *fetch = comet_fetch_start(
		gateway, gateway->upstream, gateway->timers, &request, handler, gateway);

	g_free(address);
	return fetch;
}

static void
request_snapshot(struct comet_gateway *gateway, uint32_t vm)
{
	char ip[COMET_IPV4_TEXT_BYTES];

	comet_log(COMET_LOG_NOTICE,
		"event=snapshot_requested vm=%s era=%" G_GUINT64_FORMAT
		" revision=%" G_GUINT64_FORMAT,
		comet_datagram_socket_format_address(vm, ip),
		comet_directory_epoch(gateway->position),
		comet_directory_revision(gateway->position));
	gateway->resync_vm = vm;
	gateway->resyncing = request_from_peer(gateway, vm,
		is_older_peer(gateway, vm) ? COMET_GATEWAY_SNAPSHOT_PATH
					   : COMET_GATEWAY_PACKED_PATH,
		on_resync);
}

void
comet_gateway_request_first_snapshot(struct comet_gateway *gateway, uint64_t now_us)
{
	uint32_t vm = comet_reader_election_pick(gateway->reader_election, 1, now_us);

	if (gateway->resyncing != NULL || now_us < gateway->first_snapshot_due_us)
		return;
	if (vm == 0)
		vm = comet_gossip_pick_newer_peer(
			gateway->gossip, gateway->position, comet_random_u32(&gateway->random));
	if (vm == 0)
		return;
	gateway->first_snapshot_due_us =
		now_us +
		(uint64_t)(FIRST_SNAPSHOT_RETRY_US * (1 + comet_random_double(&gateway->random)));
	request_snapshot(gateway, vm);
}

void
comet_gateway_request_endpoints(struct comet_gateway *gateway, uint32_t vm)
{
	if (gateway->resyncing != NULL || comet_timers_now_us() < gateway->resync_due_us)
		return;
	char *target = g_strdup_printf("%s%" G_GUINT64_FORMAT,
		is_older_peer(gateway, vm) ? COMET_GATEWAY_ENDPOINTS_PATH
					   : COMET_GATEWAY_PACKED_ENDPOINTS_PATH,
		gateway->endpoints_position);
	gateway->resync_vm = vm;
	gateway->resyncing = request_from_peer(gateway, vm, target, on_resync);
	g_free(target);
}

static void
request_document(struct comet_gateway *gateway, uint32_t vm)
{
	char *query = gateway->directory->ops->query(gateway->directory);
	char *target = g_strconcat(COMET_GATEWAY_DOCUMENT_PATH, query, NULL);

	gateway->fetching_document = request_from_peer(gateway, vm, target, on_document);
	g_free(target);
	g_free(query);
}

void
comet_gateway_fetch_document(struct comet_gateway *gateway, uint64_t now_us)
{
	const struct comet_directory_ops *ops = gateway->directory->ops;

	uint64_t position = ops->missing_document(gateway->directory);

	if (position == 0)
		gateway->document_missing_us = 0;
	else if (gateway->document_missing_us == 0)
		gateway->document_missing_us = now_us;
	if (position == 0 || gateway->fetching_document != NULL ||
		ops->is_receiving(gateway->directory) ||
		(gateway->document_failed_us != 0 &&
			now_us - gateway->document_failed_us < READER_RETRY_US))
		return;
	uint32_t vm = comet_reader_election_pick(gateway->reader_election, position, now_us);
	if (vm != 0)
		request_document(gateway, vm);
	else if (now_us - gateway->document_missing_us >= READER_RETRY_US)
		ops->read_document(gateway->directory);
}

/* Restarts a watch that started in an outage: it is never answered, although its connection stays
 * open. A watch is restarted once per reported position, since a report may be false. */
static bool
restart_stale_watch(struct comet_gateway *gateway, uint64_t now_us)
{
	uint64_t newest = comet_gossip_newest_revision(gateway->gossip);

	if (newest <= gateway->restarted_for || now_us - gateway->stale_us < STALE_GRACE_US ||
		!gateway->directory->ops->restart_stale_watch(gateway->directory, STALE_GRACE_US))
		return false;
	gateway->restarted_for = newest;
	return true;
}

void
comet_gateway_resync(struct comet_gateway *gateway, uint64_t now_us)
{
	if (gateway->reading == COMET_DIRECTORY_MODE_WAITING)
	{
		comet_gateway_request_first_snapshot(gateway, now_us);
		return;
	}
	uint32_t vm = comet_gossip_pick_newer_peer(
		gateway->gossip, gateway->position, comet_random_u32(&gateway->random));
	uint64_t grace_us = gateway->directory_lost ? STALE_GRACE_US : STALE_GRACE_ANSWERED_US;

	if (vm == 0)
	{
		gateway->stale_us = 0;
		return;
	}
	if (!gateway->listed && gateway->answered_us != 0 &&
		now_us - gateway->answered_us < PROGRESS_US)
		return;
	if (gateway->stale_us == 0)
		gateway->stale_us = now_us;
	if (gateway->directory->ops->is_receiving(gateway->directory) &&
		now_us - gateway->stale_us < ARRIVING_US)
		return;
	if (restart_stale_watch(gateway, now_us))
	{
		gateway->stale_us = now_us; /* grace for the new watch */
		return;
	}
	if (gateway->resyncing != NULL || gateway->fetching_document != NULL ||
		now_us - gateway->stale_us < grace_us)
		return;
	gateway->stale_us = now_us;
	/* Endpoints are up to date: only the document is missing. */
	if (comet_gossip_newest_revision(gateway->gossip) <= gateway->endpoints_position)
		request_document(gateway, vm);
	else
		request_snapshot(gateway, vm);
}
