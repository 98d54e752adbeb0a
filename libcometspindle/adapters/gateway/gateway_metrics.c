/*
 * gateway_metrics.c
 * writes the metrics of a gateway in the Prometheus text format
 */
#include <libcometspindle/adapters/gateway/gateway_crashes.h>
#include <libcometspindle/adapters/gateway/gateway_private.h>
#include <libcometspindle/adapters/gateway/gateway_reachability.h>
#include <libcometspindle/adapters/gateway/gateway_returns.h>
#include <libcometspindle/adapters/gateway/gateway_streams.h>

#include <stddef.h>

/* Writes the type line of a metric family. Strict parsers reject samples that do not follow the
 * type line of their family. */
static void
put_type(GString *out, const char *name, const char *type)
{
	g_string_append_printf(out, "# TYPE comet_%s %s\n", name, type);
}

static void
put(GString *out, const char *name, const char *type, double value)
{
	put_type(out, name, type);
	g_string_append_printf(out, "comet_%s %.10g\n", name, value);
}

static void
put_outcomes(GString *out, const struct comet_gateway_counts *counts)
{
	const struct
	{
		const char *name;
		uint64_t value;
	} rows[] = {
		{"served", counts->served},
		{"relayed_error", counts->relayed_errors},
		{"refused_early", counts->refused_early},
		{"refused_team", counts->refused_team},
		{"refused_crashing", counts->refused_quarantined},
		{"refused_crashing_part", counts->refused_parts},
		{"refused_other", counts->refused_other},
		{"failed", counts->failed},
		{"cut", counts->aborted},
		{"caller_left", counts->callers_disconnected},
	};

	put_type(out, "requests_total", "counter");
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(out,
			"comet_requests_total{outcome=\"%s\"} %" G_GUINT64_FORMAT "\n",
			rows[i].name, rows[i].value);
}

static void
put_speed(GString *out, const struct comet_gateway *gateway)
{
	const struct comet_gateway_counts *counts = &gateway->counts;

	put(out, "fast_slots_spared_total", "counter",
		(double)comet_placement_spared_fast(gateway->placement));
	put(out, "stream_samples_sent_total", "counter", (double)counts->samples_sent);
	put(out, "stream_samples_received_total", "counter", (double)counts->samples_received);
	put(out, "slowdowns_stated_total", "counter", (double)counts->slowdowns_stated);
	put(out, "slowdowns_ignored_total", "counter", (double)counts->slowdowns_ignored);
}

static void
put_slot_requests(GString *out, const struct comet_gateway_counts *counts)
{
	g_string_append_printf(out,
		"# TYPE comet_slot_asks_total counter\n"
		"comet_slot_asks_total{outcome=\"granted\"} %" G_GUINT64_FORMAT "\n"
		"comet_slot_asks_total{outcome=\"denied\"} %" G_GUINT64_FORMAT "\n"
		"comet_slot_asks_total{outcome=\"waited\"} %" G_GUINT64_FORMAT "\n"
		"comet_slot_asks_total{outcome=\"unanswered\"} %" G_GUINT64_FORMAT "\n"
		"comet_slot_asks_total{outcome=\"answered_others\"} %" G_GUINT64_FORMAT "\n",
		counts->granted, counts->denied, counts->slot_waits_expired,
		counts->slot_requests_unanswered, counts->slot_requests_answered);
}

/* Writes the number of requests that were not sent or granted to cold endpoints with a free slot,
 * and the fraction of the VMs on which the share of this VM is based. */
static void
put_cold_endpoints(GString *out, const struct comet_gateway *gateway)
{
	put(out, "cold_endpoint_refusals_total", "counter",
		(double)comet_placement_cold_refusal(gateway->placement)->count);
	put(out, "cold_endpoint_fraction", "gauge",
		comet_placement_cold_fraction(gateway->placement));
}

static void
put_order(GString *out, const struct comet_gateway *gateway)
{
	const struct comet_order_counts counts = comet_placement_order_counts(gateway->placement);

	g_string_append_printf(out,
		"# TYPE comet_order_requests_total counter\n"
		"comet_order_requests_total{size=\"known\"} %" G_GUINT64_FORMAT "\n"
		"comet_order_requests_total{size=\"unknown\"} %" G_GUINT64_FORMAT "\n",
		counts.sized, counts.unsized);
	put(out, "order_advanced_total", "counter", (double)counts.advanced);
}

static void
put_stream_versions(GString *out, const struct comet_gateway_counts *counts)
{
	g_string_append_printf(out,
		"# TYPE comet_stream_lookups_total counter\n"
		"comet_stream_lookups_total{outcome=\"known\"} %" G_GUINT64_FORMAT "\n"
		"comet_stream_lookups_total{outcome=\"unknown\"} %" G_GUINT64_FORMAT "\n",
		counts->stream_versions_known, counts->stream_versions_unknown);
}

static void
put_quota_requests(GString *out, const struct comet_gateway_counts *counts)
{
	g_string_append_printf(out,
		"# TYPE comet_charges_total counter\n"
		"comet_charges_total{outcome=\"asked\"} %" G_GUINT64_FORMAT "\n"
		"comet_charges_total{outcome=\"undecided\"} %" G_GUINT64_FORMAT "\n"
		"comet_charges_total{outcome=\"answered_others\"} %" G_GUINT64_FORMAT "\n",
		counts->quota_requests_sent, counts->quota_requests_failed,
		counts->quota_requests_answered);
}

/* Writes the directory calls by result, and the directory mode: direct (0), reader of the zone (1),
 * follower (2), or fallback, which reads directly until it can follow a reader (3). */
static void
put_directory_calls(GString *out, const struct comet_gateway *gateway)
{
	static const char *const names[COMET_DIRECTORY_CALLS] = {
		[COMET_DIRECTORY_CALL_PAGE] = "page",
		[COMET_DIRECTORY_CALL_CHANGES] = "news",
		[COMET_DIRECTORY_CALL_NO_CHANGES] = "no_news",
		[COMET_DIRECTORY_CALL_FAILED] = "failed",
	};

	put_type(out, "directory_calls_total", "counter");
	for (size_t i = 0; i < COMET_DIRECTORY_CALLS; i++)
		g_string_append_printf(out,
			"comet_directory_calls_total{end=\"%s\"} %" G_GUINT64_FORMAT "\n", names[i],
			gateway->counts.directory_calls[i]);
	put(out, "directory_reading", "gauge", gateway->reading);
}

/* State of one response. */
struct page
{
	struct comet_gateway *gateway;
	GString *out;
	uint64_t now_us;
	const void *family; /**< the service or endpoint family that is being written */
};

/* A metric family with one sample for each service; value returns the sample. */
struct service_family
{
	const char *name;
	double (*value)(const struct page *page, const char *service, uint32_t waiting);
};

static double
waiting_of(const struct page *page, const char *service, uint32_t waiting)
{
	(void)page;
	(void)service;
	return waiting;
}

static double
retries_left_of(const struct page *page, const char *service, uint32_t waiting)
{
	(void)waiting;
	return comet_retry_budget_remaining(page->gateway->retries, service, page->now_us);
}

static const struct service_family service_families[] = {
	{"requests_waiting", waiting_of},
	{"repeats_left", retries_left_of},
};

static void
put_service(void *ctx, const char *service, uint32_t waiting)
{
	const struct page *page = ctx;
	const struct service_family *family = page->family;

	g_string_append_printf(page->out, "comet_%s{service=\"%s\"} %.10g\n", family->name, service,
		family->value(page, service, waiting));
}

static void
put_services(struct page *page)
{
	for (size_t i = 0; i < G_N_ELEMENTS(service_families); i++)
	{
		page->family = &service_families[i];
		put_type(page->out, service_families[i].name, "gauge");
		comet_placement_each_service(page->gateway->placement, put_service, page);
	}
}

static void
put_team(void *ctx, const struct comet_route_team *team)
{
	const struct page *page = ctx;
	double left =
		comet_rate_limiter_remaining(page->gateway->rate_limiter, team->id, page->now_us);

	if (team->rate_per_s > 0)
		g_string_append_printf(
			page->out, "comet_team_left{team=\"%s\"} %.0f\n", team->name, left);
}

static void
put_teams(struct page *page)
{
	const struct comet_route_table *table = page->gateway->table;

	if (table == NULL)
		return;
	put_type(page->out, "team_left", "gauge");
	comet_route_table_each_team(table, put_team, page);
}

/* A metric family with one sample for each endpoint; value returns false if it has no sample. */
struct endpoint_family
{
	const char *name;
	bool (*value)(const struct comet_instance *instance, uint64_t now_us, double *value);
};

static bool
state_age_of(const struct comet_instance *instance, uint64_t now_us, double *value)
{
	uint64_t updated_us = MAX(*instance->gossip_us, instance->reported_us);

	*value = (double)(now_us - updated_us) / 1000000;
	return updated_us != 0;
}

static bool
running_of(const struct comet_instance *instance, uint64_t now_us, double *value)
{
	(void)now_us;
	*value = instance->local_requests;
	return true;
}

static bool
relative_latency_of(const struct comet_instance *instance, uint64_t now_us, double *value)
{
	(void)now_us;
	*value = comet_instance_relative_to_typical(instance);
	return true;
}

static bool
slowdown_of(const struct comet_instance *instance, uint64_t now_us, double *value)
{
	*value = comet_current_speed_factor(&instance->speed, now_us);
	return comet_current_speed_is_fresh(&instance->speed, now_us);
}

static bool
ejected_of(const struct comet_instance *instance, uint64_t now_us, double *value)
{
	(void)now_us;
	*value = instance->ejected_until_us != 0 ? 1 : 0;
	return true;
}

static bool
draining_of(const struct comet_instance *instance, uint64_t now_us, double *value)
{
	(void)now_us;
	*value = instance->draining ? 1 : 0;
	return true;
}

static bool
leaving_of(const struct comet_instance *instance, uint64_t now_us, double *value)
{
	(void)now_us;
	*value = 1;
	return instance->leaving_us != 0;
}

static bool
rest_of(const struct comet_instance *instance, uint64_t now_us, double *value)
{
	if (!comet_instance_is_resting(instance, now_us))
		return false;
	*value = (double)(instance->rest_until_us - now_us) / 1000000;
	return true;
}

static bool
slow_start_of(const struct comet_instance *instance, uint64_t now_us, double *value)
{
	*value = now_us < instance->slow_start.until_us ? 1 : 0;
	return instance->slow_start_config->max_per_s > 0;
}

static bool
evacuated_of(const struct comet_instance *instance, uint64_t now_us, double *value)
{
	(void)now_us;
	*value = instance->evacuated ? 1 : 0;
	return true;
}

static bool
advertised_limit_of(const struct comet_instance *instance, uint64_t now_us, double *value)
{
	(void)now_us;
	*value = instance->limit.max_per_s;
	return instance->limit.active;
}

static bool
brittle_of(const struct comet_instance *instance, uint64_t now_us, double *value)
{
	(void)now_us;
	*value = instance->brittleness.rejections_per_s;
	return instance->brittleness.active;
}

static bool
stale_of(const struct comet_instance *instance, uint64_t now_us, double *value)
{
	(void)now_us;
	*value = instance->listed ? 0 : 1;
	return true;
}

static void
put_zone(void *ctx, const char *zone)
{
	g_string_append_printf(ctx, "comet_zone_evacuated{zone=\"%s\"} 1\n", zone);
}

/* Writes the evacuated zones, and the number of slots there that their owners granted before they
 * knew of the evacuation. */
static void
put_evacuations(GString *out, const struct comet_gateway *gateway)
{
	put_type(out, "zone_evacuated", "gauge");
	comet_evacuations_each(gateway->evacuations, put_zone, out);
	put(out, "evacuated_grants_total", "counter", (double)gateway->counts.grants_evacuated);
}

static const struct endpoint_family endpoint_families[] = {
	{"endpoint_view_age_seconds", state_age_of},
	{"endpoint_running", running_of},
	{"endpoint_pace", relative_latency_of},
	{"endpoint_slowdown", slowdown_of},
	{"endpoint_avoided", ejected_of},
	{"endpoint_draining", draining_of},
	{"endpoint_leaving", leaving_of},
	{"endpoint_rest_seconds", rest_of},
	{"endpoint_evacuated", evacuated_of},
	{"endpoint_cold", slow_start_of},
	{"endpoint_lapsed", stale_of},
	{"endpoint_advertised_limit", advertised_limit_of},
	{"endpoint_brittle_rejections", brittle_of},
};

static void
put_endpoint(void *ctx, struct comet_instance *instance)
{
	const struct page *page = ctx;
	const struct endpoint_family *family = page->family;
	double value = 0;

	if (family->value(instance, page->now_us, &value))
		g_string_append_printf(page->out,
			"comet_%s{endpoint=\"%s\",service=\"%s\"} %.10g\n", family->name,
			instance->id, instance->service, value);
}

static void
put_endpoints(struct page *page)
{
	for (size_t i = 0; i < G_N_ELEMENTS(endpoint_families); i++)
	{
		page->family = &endpoint_families[i];
		put_type(page->out, endpoint_families[i].name, "gauge");
		comet_instances_each(page->gateway->instances, put_endpoint, page);
	}
}

/* Writes one histogram for each kind of route. @param member its offset in struct
 * comet_gateway_times. */
static void
put_histograms(GString *out, const struct comet_gateway *gateway, const char *name, size_t member)
{
	g_string_append_printf(out, "# TYPE %s histogram\n", name);
	for (size_t kind = 0; kind < COMET_ROUTE_KINDS; kind++)
	{
		const char *times = (const char *)&gateway->times[kind];
		char labels[32];
		g_snprintf(labels, sizeof labels, "kind=\"%s\"",
			comet_route_kind_name((enum comet_route_kind)kind));
		comet_latency_histogram_print(
			(const struct comet_latency_histogram *)(times + member), out, name,
			labels);
	}
}

static void
put_latencies(GString *out, const struct comet_gateway *gateway)
{
	put_histograms(out, gateway, "comet_first_byte_seconds",
		offsetof(struct comet_gateway_times, first));
	put_histograms(
		out, gateway, "comet_answer_seconds", offsetof(struct comet_gateway_times, whole));
	put_histograms(
		out, gateway, "comet_waited_seconds", offsetof(struct comet_gateway_times, waited));
}

struct comet_byte_counters *
comet_gateway_peer_bytes(struct comet_gateway *gateway, uint32_t vm)
{
	return comet_gossip_is_zone_peer_alive(gateway->gossip, vm)
		       ? &gateway->bytes[COMET_GATEWAY_USE_PEERS]
		       : &gateway->crossing[COMET_GATEWAY_USE_PEERS];
}

/* Writes the bytes of one use, or of one kind of datagram, in both directions.
 * @param label name of the label, "use" or "kind"
 * @param value value of the label */
static void
put_bytes_of(GString *out, const char *family, const char *label, const char *value,
	const struct comet_byte_counters *bytes)
{
	g_string_append_printf(out,
		"comet_%s{%s=\"%s\",direction=\"in\"} %" G_GUINT64_FORMAT "\n"
		"comet_%s{%s=\"%s\",direction=\"out\"} %" G_GUINT64_FORMAT "\n",
		family, label, value, bytes->received, family, label, value, bytes->sent);
}

static const char *const use_names[COMET_GATEWAY_USES] = {
	[COMET_GATEWAY_USE_CALLERS] = "callers",
	[COMET_GATEWAY_USE_ENDPOINTS] = "endpoints",
	[COMET_GATEWAY_USE_DIRECTORY] = "directory",
	[COMET_GATEWAY_USE_PEERS] = "peers",
};

/* Writes the bytes on the VM's link by use. */
static void
put_bytes(GString *out, const struct comet_gateway *gateway)
{
	const struct comet_byte_counters *gossip =
		comet_datagram_socket_bytes(gateway->datagram_socket);

	put_type(out, "link_bytes_total", "counter");
	for (size_t i = 0; i < COMET_GATEWAY_USES; i++)
	{
		const struct comet_byte_counters all = {
			.received = gateway->bytes[i].received + gateway->crossing[i].received,
			.sent = gateway->bytes[i].sent + gateway->crossing[i].sent,
		};
		put_bytes_of(out, "link_bytes_total", "use", use_names[i], &all);
	}
	put_bytes_of(out, "link_bytes_total", "use", "datagrams", gossip);
}

/* Writes the bytes to and from other availability zones. The zones of callers and of the directory
 * are not known. */
static void
put_crossing_bytes(GString *out, const struct comet_gateway *gateway)
{
	static const enum comet_gateway_use uses[] = {
		COMET_GATEWAY_USE_ENDPOINTS, COMET_GATEWAY_USE_PEERS};

	put_type(out, "zone_crossing_bytes_total", "counter");
	for (size_t i = 0; i < G_N_ELEMENTS(uses); i++)
		put_bytes_of(out, "zone_crossing_bytes_total", "use", use_names[uses[i]],
			&gateway->crossing[uses[i]]);
	put_type(out, "zone_crossing_datagram_bytes_total", "counter");
	for (uint32_t kind = 0; kind < COMET_DATAGRAM_KINDS; kind++)
		put_bytes_of(out, "zone_crossing_datagram_bytes_total", "kind",
			comet_datagram_kind_name(kind),
			&comet_datagram_socket_counts(gateway->datagram_socket, kind)->crossing);
}

/* Writes the datagrams and their bytes by kind. */
static void
put_datagrams(GString *out, const struct comet_gateway *gateway)
{
	put_type(out, "datagrams_total", "counter");
	for (uint32_t kind = 0; kind < COMET_DATAGRAM_KINDS; kind++)
	{
		const struct comet_datagram_counts *counts =
			comet_datagram_socket_counts(gateway->datagram_socket, kind);
		const char *name = comet_datagram_kind_name(kind);
		g_string_append_printf(out,
			"comet_datagrams_total{kind=\"%s\",direction=\"in\"} %" G_GUINT64_FORMAT
			"\ncomet_datagrams_total{kind=\"%s\",direction=\"out\"} %" G_GUINT64_FORMAT
			"\n",
			name, counts->received, name, counts->sent);
	}
	put_type(out, "datagram_bytes_total", "counter");
	for (uint32_t kind = 0; kind < COMET_DATAGRAM_KINDS; kind++)
	{
		put_bytes_of(out, "datagram_bytes_total", "kind", comet_datagram_kind_name(kind),
			&comet_datagram_socket_counts(gateway->datagram_socket, kind)->bytes);
	}
}

static void
put_directory(const struct page *page)
{
	const struct comet_gateway *gateway = page->gateway;
	GString *out = page->out;

	put(out, "directory_era", "gauge", (double)comet_directory_epoch(gateway->position));
	put(out, "directory_revision", "gauge",
		(double)comet_directory_revision(gateway->position));
	if (gateway->answered_us != 0)
		put(out, "directory_answer_age_seconds", "gauge",
			(double)(page->now_us - gateway->answered_us) / 1000000);
	put(out, "directory_losses_total", "counter", (double)gateway->counts.directory_losses);
	put(out, "directory_items_refused_total", "counter", (double)gateway->counts.unreadable);
	put(out, "directory_transfers_abandoned_total", "counter",
		(double)comet_upstream_counts(gateway->upstream)->abandoned);
	put_type(out, "routes_lag_seconds", "histogram");
	comet_latency_histogram_print(&gateway->routes_lag, out, "comet_routes_lag_seconds", "");
	put(out, "routes_version", "gauge",
		gateway->table != NULL ? (double)comet_route_table_version(gateway->table) : 0);
}

void
comet_gateway_respond_metrics(
	struct comet_gateway *gateway, struct comet_http_server_request *request)
{
	const struct comet_upstream_counts *up = comet_upstream_counts(gateway->upstream);
	GString *out = g_string_new(NULL);
	uint32_t known = 0;
	uint32_t alive = 0;
	struct page page = {.gateway = gateway, .out = out, .now_us = comet_timers_now_us()};

	comet_gossip_count_peers(gateway->gossip, &known, &alive);
	put_outcomes(out, &gateway->counts);
	comet_counter_set_print(gateway->ends, out, "comet_request_ends_total");
	put_latencies(out, gateway);
	put(out, "requests_open", "gauge", gateway->open_request_count);
	comet_gateway_callers_put_metrics(gateway, out);
	put_services(&page);
	put_teams(&page);
	put(out, "dispatches_total", "counter", (double)gateway->counts.dispatched);
	put(out, "repeats_total", "counter", (double)gateway->counts.retried);
	put(out, "resumes_total", "counter", (double)gateway->counts.resumed);
	put(out, "replacements_requested_total", "counter",
		(double)gateway->counts.replacements_requested);
	put(out, "replacements_total", "counter", (double)gateway->counts.replaced);
	put(out, "replacements_cancelled_total", "counter",
		(double)gateway->counts.replacements_cancelled);
	put(out, "stream_versions", "gauge", (double)comet_gateway_streams_count(gateway->streams));
	put_stream_versions(out, &gateway->counts);
	put(out, "peer_attempts_total", "counter", (double)gateway->counts.peer_attempts);
	put_slot_requests(out, &gateway->counts);
	put_speed(out, gateway);
	put_order(out, gateway);
	put_cold_endpoints(out, gateway);
	put_quota_requests(out, &gateway->counts);
	comet_gateway_returns_put_metrics(gateway->returns, out);
	put_directory_calls(out, gateway);
	comet_gateway_crashes_put_metrics(gateway, out);
	put_evacuations(out, gateway);
	put(out, "endpoints_unreachable", "gauge",
		comet_gateway_links_are_lost(gateway->links) ? 1 : 0);
	put(out, "vms_known", "gauge", known);
	put(out, "vms_heard", "gauge", alive);
	put(out, "endpoint_visits_total", "counter",
		(double)comet_instances_visit_count(gateway->instances));
	put(out, "endpoint_connections_opened_total", "counter", (double)up->opened);
	put(out, "endpoint_connections_reused_total", "counter", (double)up->reused);
	put(out, "endpoint_connections_open", "gauge", up->open);
	put(out, "foreign_answers_total", "counter", (double)up->foreign_answers);
	put_directory(&page);
	put_bytes(out, gateway);
	put_crossing_bytes(out, gateway);
	put_datagrams(out, gateway);
	put_endpoints(&page);
	comet_http_server_respond(
		request, 200, "Content-Type: text/plain; version=0.0.4\r\n", out->str, out->len);
	g_string_free(out, TRUE);
}
