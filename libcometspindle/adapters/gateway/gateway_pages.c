/*
 * gateway_pages.c
 * what a gateway answers on its readiness and control addresses
 */
#include <libcometspindle/adapters/gateway/gateway_private.h>

#include <stddef.h>
#include <string.h>

/* Copies that are handed out at a time: each may be a megabyte over a link of 10 Mbit/s, and
 * another VM can be asked. */
#define COPIES_MAX 3

#define METRICS_PATH "/metrics"

const char *
comet_gateway_not_ready(const struct comet_gateway *gateway)
{
	if (gateway->stop_us != 0)
		return "stopping";
	if (gateway->table == NULL)
		return "no_routes";
	if (!gateway->listed)
		return "no_endpoints";
	return NULL;
}

static void
on_readiness(void *ctx, struct comet_front_request *request)
{
	const char *why = comet_gateway_not_ready(ctx);

	if (why == NULL)
		comet_front_answer(request, 200, NULL, "ready\n", 6);
	else
		comet_front_answer(request, 503, NULL, why, strlen(why));
}

static void
on_gone(void *ctx, struct comet_front_request *request)
{
	(void)ctx;
	(void)request;
}

static void
put(GString *out, const char *name, const char *type, double value)
{
	g_string_append_printf(
		out, "# TYPE comet_%s %s\ncomet_%s %.10g\n", name, type, name, value);
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
		{"refused_other", counts->refused_other},
		{"failed", counts->failed},
		{"cut", counts->cut},
		{"caller_left", counts->left},
	};

	g_string_append(out, "# TYPE comet_requests_total counter\n");
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(out,
			"comet_requests_total{outcome=\"%s\"} %" G_GUINT64_FORMAT "\n",
			rows[i].name, rows[i].value);
}

static void
put_asks(GString *out, const struct comet_gateway_counts *counts)
{
	g_string_append_printf(out,
		"# TYPE comet_slot_asks_total counter\n"
		"comet_slot_asks_total{outcome=\"granted\"} %" G_GUINT64_FORMAT "\n"
		"comet_slot_asks_total{outcome=\"denied\"} %" G_GUINT64_FORMAT "\n"
		"comet_slot_asks_total{outcome=\"waited\"} %" G_GUINT64_FORMAT "\n"
		"comet_slot_asks_total{outcome=\"unanswered\"} %" G_GUINT64_FORMAT "\n"
		"comet_slot_asks_total{outcome=\"answered_others\"} %" G_GUINT64_FORMAT "\n",
		counts->granted, counts->denied, counts->waited, counts->unanswered,
		counts->answered);
}

struct page
{
	struct comet_gateway *gateway;
	GString *out;
	uint64_t now_us;
};

static void
put_service(void *ctx, const char *service, uint32_t waiting)
{
	const struct page *page = ctx;
	double repeats = comet_retry_budget_left(page->gateway->retries, service, page->now_us);

	g_string_append_printf(page->out,
		"comet_requests_waiting{service=\"%s\"} %u\n"
		"comet_repeats_left{service=\"%s\"} %.1f\n",
		service, waiting, service, repeats);
}

static void
put_services(struct comet_gateway *gateway, GString *out)
{
	struct page page = {gateway, out, comet_timers_now_us()};

	comet_placement_each_service(gateway->placement, put_service, &page);
}

static void
put_team(void *ctx, const struct comet_route_team *team)
{
	const struct page *page = ctx;
	double left = comet_allowance_left(page->gateway->allowance, team->id, page->now_us);

	if (team->rate_per_s > 0)
		g_string_append_printf(
			page->out, "comet_team_left{team=\"%s\"} %.0f\n", team->name, left);
}

static void
put_teams(struct comet_gateway *gateway, GString *out)
{
	struct page page = {gateway, out, comet_timers_now_us()};

	if (gateway->table == NULL)
		return;
	g_string_append(out, "# TYPE comet_team_left gauge\n");
	comet_route_table_each_team(gateway->table, put_team, &page);
}

static void
put_instance(void *ctx, struct comet_instance *instance)
{
	const struct page *page = ctx;
	GString *out = page->out;
	uint64_t viewed_us = MAX(instance->others_us, instance->told_us);

	if (viewed_us != 0)
		g_string_append_printf(out,
			"comet_endpoint_view_age_seconds{endpoint=\"%s\",service=\"%s\"} %.3f\n",
			instance->id, instance->service,
			(double)(page->now_us - viewed_us) / 1000000);
	g_string_append_printf(out,
		"comet_endpoint_running{endpoint=\"%s\",service=\"%s\"} %u\n"
		"comet_endpoint_pace{endpoint=\"%s\",service=\"%s\"} %.3f\n"
		"comet_endpoint_avoided{endpoint=\"%s\",service=\"%s\"} %d\n",
		instance->id, instance->service, instance->own, instance->id, instance->service,
		instance->pace, instance->id, instance->service, instance->avoid_us != 0);
}

/* Appends one histogram for each kind of route; member: its offset in struct comet_gateway_times.
 */
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
		comet_latency_print(
			(const struct comet_latency *)(times + member), out, name, labels);
	}
}

static void
put_times(GString *out, const struct comet_gateway *gateway)
{
	put_histograms(out, gateway, "comet_first_byte_seconds",
		offsetof(struct comet_gateway_times, first));
	put_histograms(
		out, gateway, "comet_answer_seconds", offsetof(struct comet_gateway_times, whole));
	put_histograms(
		out, gateway, "comet_waited_seconds", offsetof(struct comet_gateway_times, waited));
}

static void
answer_metrics(struct comet_gateway *gateway, struct comet_front_request *request)
{
	const struct comet_upstream_counts *up = comet_upstream_counts(gateway->upstream);
	GString *out = g_string_new(NULL);
	uint32_t known = 0;
	uint32_t heard = 0;

	comet_views_count(gateway->views, &known, &heard);
	put_outcomes(out, &gateway->counts);
	comet_tally_print(gateway->ends, out, "comet_request_ends_total");
	put_times(out, gateway);
	put(out, "requests_open", "gauge", gateway->calls);
	put_services(gateway, out);
	put_teams(gateway, out);
	put(out, "dispatches_total", "counter", (double)gateway->counts.dispatched);
	put(out, "repeats_total", "counter", (double)gateway->counts.repeated);
	put(out, "resumes_total", "counter", (double)gateway->counts.resumed);
	put_asks(out, &gateway->counts);
	put(out, "vms_known", "gauge", known);
	put(out, "vms_heard", "gauge", heard);
	put(out, "endpoint_connections_opened_total", "counter", (double)up->opened);
	put(out, "endpoint_connections_reused_total", "counter", (double)up->reused);
	put(out, "endpoint_connections_open", "gauge", up->open);
	put(out, "foreign_answers_total", "counter", (double)up->foreign_answers);
	put(out, "routes_version", "gauge",
		gateway->table != NULL ? (double)comet_route_table_version(gateway->table) : 0);
	struct page page = {gateway, out, comet_timers_now_us()};
	comet_instances_each(gateway->instances, put_instance, &page);
	comet_front_answer(
		request, 200, "Content-Type: text/plain; version=0.0.4\r\n", out->str, out->len);
	g_string_free(out, TRUE);
}

static void
answer_copy(struct comet_gateway *gateway, struct comet_front_request *request)
{
	GBytes *copy = comet_front_counts(gateway->control)->connections > COPIES_MAX
			       ? NULL
			       : gateway->directory->ops->snapshot(gateway->directory);
	gsize length = 0;

	if (copy == NULL)
	{
		comet_front_answer(request, 503, NULL, "", 0);
		return;
	}
	const char *data = g_bytes_get_data(copy, &length);
	comet_front_answer(request, 200, "Content-Type: application/json\r\n", data, length);
	g_bytes_unref(copy);
}

static void
on_control(void *ctx, struct comet_front_request *request)
{
	const char *target = request->head->target;

	if (strcmp(target, COMET_GATEWAY_COPY_PATH) == 0)
		answer_copy(ctx, request);
	else if (strcmp(target, METRICS_PATH) == 0)
		answer_metrics(ctx, request);
	else
		comet_front_answer(request, 404, NULL, "", 0);
}

const struct comet_front_events comet_gateway_readiness_events = {
	.request = on_readiness, .gone = on_gone};

const struct comet_front_events comet_gateway_control_events = {
	.request = on_control, .gone = on_gone};
