/*
 * gateway_streams.c
 * finds the software version at which a stream goes on, and shares it with other VMs
 *
 * The VM that forwards the first event of a stream records the version of the endpoint, and sends
 * the record to two other VMs before it forwards the event. So the version is known after the VM
 * has failed. Without a record a stream goes on only if it is proved that its service has had one
 * version all the time: by what this VM or another one has known for longer than any stream lasts,
 * or by the directory, if it still has its whole history.
 */
#include <libcometspindle/adapters/gateway/gateway_streams.h>

#include <libcometspindle/adapters/gateway/forward_head.h>
#include <libcometspindle/adapters/gateway/proxy_request.h>
#include <libcometspindle/gateway/streams/past_versions.h>
#include <libcometspindle/gateway/streams/stream_lookups.h>
#include <libcometspindle/gateway/streams/stream_versions.h>
#include <libcometspindle/hash.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

/* Bounds on the time for which the version of a stream is recorded. They cover routes without a
 * timeout, and callers that state another timeout with each attempt. */
#define LIFETIME_MIN_US 10000000
#define LIFETIME_MAX_US 600000000

/* Callers come back within several timeouts of a route at most. */
#define LIFETIME_TIMEOUTS 2

/* A stream that no VM knows may be this old. Nothing that a VM can read bounds the time after which
 * a caller resumes a stream: timeouts change, and callers choose their own. */
#define UNKNOWN_AGE_US LIFETIME_MAX_US

/* A complete read of the directory's history is valid for this time, so that callers which return
 * together after a failure of all VMs cause one read. */
#define HISTORY_VALID_US 1000000

/* Retry-After if VMs that may know the version did not answer, or the directory is not read, and if
 * all have answered. */
#define UNANSWERED_RETRY_MS 1000
#define UNKNOWN_RETRY_MS 5000

/* Interval at which expired records are removed. */
#define EXPIRY_INTERVAL_US 1000000

/* A request that waits for the directory's history. */
struct waiting_request
{
	struct comet_proxy_request *proxy;
	struct comet_stream_lookup_result result;
};

struct comet_streams
{
	struct comet_gateway *gateway;
	struct comet_stream_versions *versions;
	struct comet_stream_lookups *lookups;
	struct comet_past_versions *past; /* as of the last read of the directory's history */
	uint64_t past_us;                 /* when that read was complete; 0: it was not */
	bool reading_history;
	bool history_gone;   /* the directory has forgotten a part of it */
	GQueue waiting;      /* of struct waiting_request */
	bool copies_missing; /* a VM that kept copies has changed */
	uint64_t expired_us; /* when expired records were last removed */
	uint64_t now_us;     /* while records are sent */
	GHashTable *batches; /* address -> comet_StreamVersions; while records are sent */
};

static void
send_datagram(void *ctx, uint32_t address, const uint8_t *data, size_t length)
{
	const struct comet_streams *streams = ctx;

	comet_datagram_socket_send(streams->gateway->datagram_socket, address, data, length);
}

static void
send_batch(const struct comet_streams *streams, uint32_t address, const comet_StreamVersions *batch)
{
	comet_Datagram datagram = {.which_body = comet_Datagram_streams_tag};
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];

	datagram.body.streams = *batch;
	size_t length = comet_datagram_encode(&datagram, data);
	comet_datagram_socket_send(streams->gateway->datagram_socket, address, data, length);
}

static comet_StreamVersion
encode_record(const struct comet_stream_version *begun, uint64_t now_us)
{
	uint64_t left_us = begun->until_us - MIN(now_us, begun->until_us);

	return (comet_StreamVersion){
		.stream = begun->stream,
		.version = begun->version_id,
		.service = begun->service_id,
		.left_ms = (uint32_t)(left_us / 1000),
	};
}

/* Adds a record to the datagram for a VM, and sends the datagram once it is full. */
static void
queue_copy(
	struct comet_streams *streams, uint32_t address, const struct comet_stream_version *begun)
{
	comet_StreamVersions *batch =
		g_hash_table_lookup(streams->batches, GUINT_TO_POINTER(address));

	if (batch == NULL)
	{
		batch = g_new0(comet_StreamVersions, 1);
		g_hash_table_insert(streams->batches, GUINT_TO_POINTER(address), batch);
	}
	batch->streams[batch->streams_count++] = encode_record(begun, streams->now_us);
	if (batch->streams_count < G_N_ELEMENTS(batch->streams))
		return;
	send_batch(streams, address, batch);
	batch->streams_count = 0;
}

static void
begin_copies(struct comet_streams *streams, uint64_t now_us)
{
	streams->now_us = now_us;
	streams->batches = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

static void
send_copies(struct comet_streams *streams)
{
	GHashTableIter at;
	gpointer address = NULL;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, streams->batches);
	while (g_hash_table_iter_next(&at, &address, &value))
	{
		const comet_StreamVersions *batch = value;
		if (batch->streams_count > 0)
			send_batch(streams, GPOINTER_TO_UINT(address), batch);
	}
	g_hash_table_destroy(streams->batches);
	streams->batches = NULL;
}

static bool
has_copy(const struct comet_stream_version_entry *entry, uint32_t address)
{
	for (size_t i = 0; i < G_N_ELEMENTS(entry->copies); i++)
	{
		if (entry->copies[i] == address)
			return true;
	}
	return false;
}

/* Sends a record of this VM to the VMs that are to keep it and do not. */
static void
complete_copies(void *ctx, struct comet_stream_version_entry *entry)
{
	struct comet_streams *streams = ctx;
	uint32_t owners[COMET_GOSSIP_STREAM_COPIES];

	if (!entry->own || !has_copy(entry, 0) || streams->now_us >= entry->begun.until_us)
		return;
	comet_gossip_pick_stream_owners(streams->gateway->gossip, entry->begun.stream, owners);
	for (size_t i = 0; i < G_N_ELEMENTS(owners); i++)
	{
		if (owners[i] != 0 && !has_copy(entry, owners[i]))
			queue_copy(streams, owners[i], &entry->begun);
	}
	memcpy(entry->copies, owners, sizeof entry->copies);
}

static void
hand_over_copy(void *ctx, struct comet_stream_version_entry *entry)
{
	struct comet_streams *streams = ctx;
	uint32_t owners[COMET_GOSSIP_STREAM_COPIES];

	if (entry->own || streams->now_us >= entry->begun.until_us)
		return;
	comet_gossip_pick_stream_owners(streams->gateway->gossip, entry->begun.stream, owners);
	for (size_t i = 0; i < G_N_ELEMENTS(owners); i++)
	{
		if (owners[i] != 0)
			queue_copy(streams, owners[i], &entry->begun);
	}
}

void
comet_gateway_streams_hand_over(struct comet_streams *streams, uint64_t now_us)
{
	begin_copies(streams, now_us);
	comet_stream_versions_each(streams->versions, hand_over_copy, streams);
	send_copies(streams);
}

static void
forget_copy(void *ctx, struct comet_stream_version_entry *entry)
{
	const uint32_t *address = ctx;

	for (size_t i = 0; i < G_N_ELEMENTS(entry->copies); i++)
	{
		if (entry->copies[i] == *address)
			entry->copies[i] = 0;
	}
}

void
comet_gateway_streams_vm_changed(struct comet_streams *streams, uint32_t address)
{
	comet_stream_versions_each(streams->versions, forget_copy, &address);
	streams->copies_missing = true;
}

void
comet_gateway_streams_tick(struct comet_streams *streams, uint64_t now_us)
{
	if (now_us - streams->expired_us >= EXPIRY_INTERVAL_US)
	{
		streams->expired_us = now_us;
		comet_stream_versions_expire(streams->versions, now_us);
	}
	if (streams->copies_missing)
	{
		streams->copies_missing = false;
		begin_copies(streams, now_us);
		comet_stream_versions_each(streams->versions, complete_copies, streams);
		send_copies(streams);
	}
	comet_stream_lookups_tick(streams->lookups, now_us);
}

size_t
comet_gateway_streams_count(const struct comet_streams *streams)
{
	return comet_stream_versions_count(streams->versions);
}

/* How long after now the version of a request's stream is recorded. */
static uint64_t
lifetime_us(const struct comet_proxy_request *proxy)
{
	const char *deadline =
		comet_http_head_get(proxy->request->head, proxy->gateway->names->deadline_ms);
	uint64_t timeouts_ms = (uint64_t)LIFETIME_TIMEOUTS * proxy->route->timeout_ms;
	uint32_t deadline_ms = 0;

	if (deadline == NULL || !comet_header_parse_ms(deadline, &deadline_ms))
		deadline_ms = 0;
	if (timeouts_ms == 0 && deadline_ms == 0)
		return LIFETIME_MAX_US;
	return CLAMP(MAX(timeouts_ms, deadline_ms) * 1000, LIFETIME_MIN_US, LIFETIME_MAX_US);
}

bool
comet_gateway_streams_identify(struct comet_proxy_request *proxy)
{
	const struct comet_gateway *gateway = proxy->gateway;
	const char *last_event =
		comet_http_head_get(proxy->request->head, gateway->names->last_event);
	struct comet_resumption resumption = {0};

	if (!comet_proxy_request_is_stream(proxy) || !comet_route_is_retryable(proxy->route))
		return false;
	proxy->stream_key = comet_stream_key(proxy->id);
	if (last_event == NULL)
		return false;
	gateway->decode_resumption(proxy->request->head, proxy->id, &resumption);
	if (proxy->from_peer)
		proxy->peer_version_id = comet_forward_read_version(proxy->request->head);
	comet_log(COMET_LOG_INFO, "event=resume_requested request=%s stream=%s last_event=%.32s",
		proxy->id, resumption.stream != NULL ? resumption.stream : "-", last_event);
	if (resumption.stream != NULL)
		proxy->stream_key = comet_stream_key(resumption.stream);
	else if (!proxy->from_peer)
		proxy->stream_key = 0;
	return true;
}

void
comet_gateway_streams_began(struct comet_proxy_request *proxy)
{
	struct comet_streams *streams = proxy->gateway->streams;
	uint64_t now_us = comet_timers_now_us();
	const struct comet_stream_version begun = {
		.stream = proxy->stream_key,
		.version_id = proxy->item.version_id,
		.service_id = comet_hash_name(proxy->service),
		.until_us = now_us + lifetime_us(proxy),
	};

	if (begun.stream == 0 || begun.version_id == 0)
		return;
	struct comet_stream_version_entry *entry =
		comet_stream_versions_add(streams->versions, &begun);
	if (entry == NULL)
	{
		comet_log_repeated(
			COMET_LOG_WARNING, "event=stream_version_dropped request=%s", proxy->id);
		return;
	}
	if (proxy->attempt->peer_vm != 0)
		return; /* the other VM sends the copies */
	entry->own = true;
	memset(entry->copies, 0, sizeof entry->copies);
	begin_copies(streams, now_us);
	complete_copies(streams, entry);
	send_copies(streams);
}

static void
handle_copies(struct comet_streams *streams, const comet_StreamVersions *copies, uint64_t now_us)
{
	for (pb_size_t i = 0; i < copies->streams_count; i++)
	{
		const comet_StreamVersion *copy = &copies->streams[i];
		const struct comet_stream_version begun = {
			.stream = copy->stream,
			.version_id = copy->version,
			.service_id = copy->service,
			.until_us = now_us + MIN((uint64_t)copy->left_ms * 1000, LIFETIME_MAX_US),
		};
		if (begun.stream != 0 && begun.version_id != 0 &&
			comet_stream_versions_add(streams->versions, &begun) == NULL)
			comet_log_repeated(
				COMET_LOG_WARNING, "event=stream_version_dropped request=-");
	}
}

bool
comet_gateway_streams_receive(
	struct comet_streams *streams, const comet_Datagram *datagram, uint64_t now_us)
{
	if (datagram->which_body == comet_Datagram_streams_tag)
	{
		handle_copies(streams, &datagram->body.streams, now_us);
		return true;
	}
	return comet_stream_lookups_receive(streams->lookups, datagram);
}

static struct comet_only_version
only_version(const struct comet_gateway *gateway, const char *service, uint64_t now_us)
{
	/* What was known before an outage of the directory says nothing about later endpoints. */
	if (!gateway->listed || gateway->directory_lost)
		return (struct comet_only_version){0};
	return comet_instances_only_version(gateway->instances, service, now_us);
}

/* @return the service of a route with this hash; NULL: the route does not allow it */
static const char *
find_service(const struct comet_route *route, uint32_t service_id)
{
	for (uint32_t i = 0; i < route->n_shares; i++)
	{
		if (comet_hash_name(route->shares[i].service) == service_id)
			return route->shares[i].service;
	}
	return NULL;
}

/* Makes the version a condition on the endpoint. The service of the stream is used again if the
 * route still allows it. */
static void
set_version(struct comet_proxy_request *proxy, uint32_t version_id, uint32_t service_id,
	const char *source)
{
	const char *service = find_service(proxy->route, service_id);

	proxy->item.version_id = version_id;
	if (service != NULL && !proxy->response_started)
	{
		talloc_free(proxy->service);
		proxy->service = talloc_strdup(proxy, service);
	}
	comet_log(COMET_LOG_INFO,
		"event=stream_version_known request=%s version=%08x service=%s source=%s",
		proxy->id, version_id, proxy->service, source);
}

static void
answer_lookup(void *ctx, const comet_StreamAsk *ask, comet_StreamAnswer *answer)
{
	const struct comet_streams *streams = ctx;
	uint64_t now_us = comet_timers_now_us();
	const struct comet_stream_version *begun =
		comet_stream_versions_find(streams->versions, ask->stream, now_us);
	const char *service =
		comet_instances_service_name(streams->gateway->instances, ask->service);

	if (begun != NULL)
	{
		answer->version = begun->version_id;
		answer->service = begun->service_id;
		return;
	}
	if (service == NULL)
		return;
	const struct comet_only_version only = only_version(streams->gateway, service, now_us);
	answer->only_version = only.version_id;
	answer->several = only.several;
	if (only.version_id != 0)
		answer->only_ms = (uint32_t)MIN((now_us - only.since_us) / 1000, UINT32_MAX);
}

/* Returns the only version that this VM and those that it has asked know; 0: there is none, or
 * several are known. */
static struct comet_only_version
find_only_version(const struct comet_proxy_request *proxy,
	const struct comet_stream_lookup_result *result, uint64_t now_us)
{
	const struct comet_only_version only = only_version(proxy->gateway, proxy->service, now_us);

	if (result->several ||
		(result->only_version_id != 0 && result->only_version_id != only.version_id))
		return (struct comet_only_version){0};
	return only;
}

/* Returns whether the directory's history shows that the service has had this version only. */
static bool
proves_only_version(const struct comet_streams *streams, const char *service, uint32_t version_id)
{
	return comet_past_versions_only(streams->past, comet_hash_name(service)) == version_id;
}

static void
read_history(struct comet_streams *streams, struct comet_proxy_request *proxy,
	const struct comet_stream_lookup_result *result)
{
	struct comet_directory *directory = streams->gateway->directory;
	struct waiting_request *waiting = g_new0(struct waiting_request, 1);

	waiting->proxy = proxy;
	waiting->result = *result;
	g_queue_push_tail(&streams->waiting, waiting);
	if (streams->reading_history)
		return;
	streams->reading_history = true;
	talloc_free(streams->past);
	streams->past = comet_past_versions_create(streams);
	directory->ops->read_history(directory);
}

static void
end_resolution(struct comet_proxy_request *proxy, const struct comet_stream_lookup_result *result,
	uint32_t version_id, const char *source)
{
	struct comet_gateway *gateway = proxy->gateway;

	proxy->resolving = false;
	if (version_id != 0)
	{
		gateway->counts.stream_versions_known++;
		set_version(proxy, version_id, result->service_id, source);
		proxy->on_version_known(proxy, comet_timers_now_us());
		return;
	}
	gateway->counts.stream_versions_unknown++;
	comet_log(COMET_LOG_NOTICE,
		"event=stream_version_unknown request=%s asked=%u answered=%u several=%d "
		"history_gone=%d",
		proxy->id, result->asked, result->answered, result->several,
		gateway->streams->history_gone);
	bool may_be_known_soon =
		result->answered < result->asked || !gateway->listed || gateway->directory_lost;
	proxy->on_version_unknown(
		proxy, may_be_known_soon ? UNANSWERED_RETRY_MS : UNKNOWN_RETRY_MS);
}

/* Decides on a stream that no VM knows. */
static void
resolve_unknown(struct comet_proxy_request *proxy, const struct comet_stream_lookup_result *result)
{
	struct comet_streams *streams = proxy->gateway->streams;
	uint64_t now_us = comet_timers_now_us();
	const struct comet_only_version only = find_only_version(proxy, result, now_us);
	/* A VM that is cut off does not know of new versions. */
	bool confirmed = result->asked == 0 || result->only_version_id == only.version_id;
	bool long_known = only.version_id != 0 && confirmed &&
			  MAX(now_us - only.since_us, result->only_us) >= UNKNOWN_AGE_US;
	bool read = streams->past_us != 0 && now_us - streams->past_us < HISTORY_VALID_US;

	if (long_known)
		end_resolution(proxy, result, only.version_id, "only_version");
	else if (only.version_id != 0 && !read && !streams->history_gone)
		read_history(streams, proxy, result);
	else if (read && proves_only_version(streams, proxy->service, only.version_id))
		end_resolution(proxy, result, only.version_id, "history");
	else
		end_resolution(proxy, result, 0, NULL);
}

void
comet_gateway_streams_past_endpoint(
	struct comet_streams *streams, const struct comet_instance_record *record)
{
	const char *version = record->software_version;

	comet_past_versions_add(streams->past, comet_hash_name(record->service),
		comet_hash_name(version != NULL ? version : ""));
}

void
comet_gateway_streams_history_read(
	struct comet_streams *streams, enum comet_directory_history result)
{
	struct waiting_request *waiting = NULL;
	uint64_t now_us = comet_timers_now_us();

	streams->reading_history = false;
	streams->past_us = result == COMET_DIRECTORY_HISTORY_COMPLETE ? now_us : 0;
	streams->history_gone = result == COMET_DIRECTORY_HISTORY_GONE;
	while ((waiting = g_queue_pop_head(&streams->waiting)) != NULL)
	{
		struct comet_proxy_request *proxy = waiting->proxy;
		const struct comet_only_version only =
			find_only_version(proxy, &waiting->result, now_us);
		bool proved = streams->past_us != 0 && only.version_id != 0 &&
			      proves_only_version(streams, proxy->service, only.version_id);
		end_resolution(proxy, &waiting->result, proved ? only.version_id : 0, "history");
		g_free(waiting);
	}
}

static void
on_lookup_ended(void *ctx, void *user_data, const struct comet_stream_lookup_result *result)
{
	(void)ctx;
	if (result->version_id != 0)
		end_resolution(user_data, result, result->version_id, "other_vm");
	else
		resolve_unknown(user_data, result);
}

void
comet_gateway_streams_resolve(struct comet_proxy_request *proxy,
	void (*on_known)(struct comet_proxy_request *proxy, uint64_t now_us),
	void (*on_unknown)(struct comet_proxy_request *proxy, uint32_t retry_after_ms))
{
	struct comet_gateway *gateway = proxy->gateway;
	struct comet_streams *streams = gateway->streams;
	struct comet_stream_lookup_result result = {0};
	uint32_t vms[COMET_STREAM_LOOKUP_VMS_MAX];
	uint32_t n_vms = 0;
	uint64_t now_us = comet_timers_now_us();
	const struct comet_stream_version *begun =
		comet_stream_versions_find(streams->versions, proxy->stream_key, now_us);

	proxy->on_version_known = on_known;
	proxy->on_version_unknown = on_unknown;
	proxy->resolving = true;
	result.version_id = begun != NULL ? begun->version_id : proxy->peer_version_id;
	result.service_id = begun != NULL ? begun->service_id : 0;
	if (result.version_id == 0 && proxy->stream_key != 0)
		n_vms = comet_gossip_list_stream_owners(
			gateway->gossip, proxy->stream_key, vms, G_N_ELEMENTS(vms));
	if (n_vms > 0)
		comet_stream_lookups_start(streams->lookups, proxy, proxy->stream_key,
			comet_hash_name(proxy->service), vms, n_vms, now_us);
	else if (result.version_id != 0)
		end_resolution(proxy, &result, result.version_id,
			begun != NULL ? "this_vm" : "peer_request");
	else
		resolve_unknown(proxy, &result);
}

void
comet_gateway_streams_cancel(struct comet_streams *streams, const struct comet_proxy_request *proxy)
{
	if (!proxy->resolving)
		return;
	comet_stream_lookups_cancel(streams->lookups, proxy);
	for (GList *at = streams->waiting.head; at != NULL; at = at->next)
	{
		const struct waiting_request *waiting = at->data;
		if (waiting->proxy != proxy)
			continue;
		g_free(at->data);
		g_queue_delete_link(&streams->waiting, at);
		return;
	}
}

static const struct comet_stream_lookups_ops lookups_ops = {
	.send = send_datagram, .ended = on_lookup_ended, .answer = answer_lookup};

static int
streams_destroy(struct comet_streams *streams)
{
	g_queue_clear_full(&streams->waiting, g_free);
	return 0;
}

struct comet_streams *
comet_gateway_streams_create(struct comet_gateway *gateway, uint32_t address)
{
	struct comet_streams *streams = talloc_zero(gateway, struct comet_streams);

	streams->gateway = gateway;
	streams->versions = comet_stream_versions_create(streams);
	streams->past = comet_past_versions_create(streams);
	g_queue_init(&streams->waiting);
	talloc_set_destructor(streams, streams_destroy);
	streams->lookups = comet_stream_lookups_create(streams, address, &lookups_ops, streams);
	return streams;
}
