/*
 * gateway_directory.c
 * applies updates of the directory: routes, endpoints, evacuations, and outages of the directory
 */
#include <libcometspindle/adapters/gateway/gateway_crashes.h>
#include <libcometspindle/adapters/gateway/gateway_streams.h>

#include <libcometspindle/log.h>
#include <string.h>

static void
log_team(void *ctx, const struct comet_route_team *team)
{
	struct comet_gateway *gateway = ctx;
	const struct comet_route_team *before =
		gateway->table != NULL ? comet_route_table_team(gateway->table, team->id) : NULL;

	if (before != NULL && before->rate_per_s == team->rate_per_s &&
		before->burst == team->burst && before->priority == team->priority)
		return;
	comet_log_writer *write = gateway->table == NULL ? comet_log_repeated : comet_log;

	write(COMET_LOG_NOTICE,
		"event=team_limit team=%s rate_per_s=%" G_GUINT64_FORMAT " burst=%" G_GUINT64_FORMAT
		" unit=%s priority=%u",
		team->name, team->rate_per_s, team->burst, team->in_tokens ? "tokens" : "requests",
		team->priority);
}

static void
set_slow_start(void *ctx, const struct comet_route_service *service)
{
	struct comet_gateway *gateway = ctx;
	const struct comet_gateway_settings *settings = gateway->settings;
	bool bounded = settings->cold_overage > 0 && service->slow_start_per_s > 0;
	const struct comet_slow_start_config config = {
		.cold_us = (uint64_t)service->slow_start_ms * 1000,
		.max_per_s = bounded ? service->slow_start_per_s * settings->cold_overage +
					       settings->cold_slack
				     : 0,
	};

	comet_instances_set_slow_start(gateway->instances, service->name, &config);
}

static void
on_routes(void *ctx, struct comet_route_table *table, uint64_t lag_us)
{
	struct comet_gateway *gateway = ctx;
	uint64_t version = comet_route_table_version(table);

	if (gateway->table != NULL && version <= comet_route_table_version(gateway->table))
	{
		comet_route_table_unref(table); /* routes never go back to an earlier version */
		return;
	}
	comet_log(COMET_LOG_NOTICE,
		"event=routes_taken version=%" G_GUINT64_FORMAT " lag_ms=%" G_GUINT64_FORMAT,
		version, lag_us / 1000);
	comet_latency_histogram_add(&gateway->routes_lag, lag_us);
	comet_route_table_each_team(table, log_team, gateway);
	comet_route_table_unref(gateway->table);
	gateway->table = table;
	comet_route_table_each_service(table, set_slow_start, gateway);
	comet_rate_limiter_set_teams(gateway->rate_limiter, table, comet_timers_now_us());
	comet_http_server_set_limits(gateway->callers, comet_route_table_limits(table));
}

static void
on_expired(void *ctx, const char *id)
{
	struct comet_gateway *gateway = ctx;

	const struct comet_instance *instance = comet_instances_find(gateway->instances, id);

	comet_log(COMET_LOG_NOTICE, "event=endpoint_gone endpoint=%s reason=expired", id);
	if (instance != NULL)
		comet_gateway_process_crashed(gateway, instance, "expired");
	comet_upstream_close_instance(gateway->upstream, id);
	comet_incarnations_expire(gateway->incarnations, id);
}

static void
drop_endpoint(struct comet_gateway *gateway, const char *id, const char *reason)
{
	const struct comet_instance *instance = comet_instances_find(gateway->instances, id);

	if (instance == NULL)
		return;
	comet_log(COMET_LOG_NOTICE,
		"event=endpoint_gone endpoint=%s reason=%s draining=%d open=%u "
		"last_seen_ms_ago=%" G_GUINT64_FORMAT,
		id, reason, instance->draining, instance->local_requests,
		instance->last_seen_us != 0
			? (comet_timers_now_us() - instance->last_seen_us) / 1000
			: 0);
	comet_upstream_close_instance(gateway->upstream, id);
	comet_instances_remove(gateway->instances, id);
}

/* Returns whether the record changes the endpoint's address. Connections are pooled by endpoint ID,
 * and a connection to the earlier address may lead to another endpoint, which rejects requests that
 * are not meant for it. */
static bool
has_moved(const struct comet_instance *known, const struct comet_instance_record *record)
{
	return known != NULL && strcmp(known->address, record->address) != 0;
}

/* Logs an entry of the directory if it changes an endpoint. @param known the instance of that ID,
 * or NULL. @param first whether the entry is part of the first list. */
static void
log_listed(
	const struct comet_instance *known, const struct comet_instance_record *record, bool first)
{
	if (known != NULL && known->draining == record->draining && known->listed &&
		known->process_start_ms == record->process_start_ms && !has_moved(known, record))
		return;
	comet_log_writer *write = first ? comet_log_repeated : comet_log;

	write(COMET_LOG_NOTICE,
		"event=endpoint_listed endpoint=%s service=%s address=%s zone=%s slots=%u "
		"draining=%d born=%" G_GUINT64_FORMAT " restarted=%d software=%s",
		record->id, record->service, record->address, record->zone, record->slots,
		record->draining, record->process_start_ms,
		known != NULL && known->process_start_ms != record->process_start_ms,
		record->software_version != NULL ? record->software_version : "");
}

/* Arguments of crash_if_at_address(). */
struct address_match
{
	struct comet_gateway *gateway;
	const char *address;
};

static void
crash_if_at_address(void *ctx, struct comet_instance *instance)
{
	const struct address_match *match = ctx;

	if (strcmp(instance->address, match->address) == 0)
		comet_gateway_process_crashed(match->gateway, instance, "address_reused");
}

/* Reports a crash of each earlier process at the address of a new one. */
static void
crash_earlier_at(struct comet_gateway *gateway, const char *address)
{
	struct address_match match = {gateway, address};

	comet_instances_each(gateway->instances, crash_if_at_address, &match);
}

/* Applies an entry of the latest incarnation of an endpoint. */
static void
apply_instance(struct comet_gateway *gateway, const struct comet_instance_record *record)
{
	const struct comet_instance *known = comet_instances_find(gateway->instances, record->id);
	bool restarted = known != NULL && known->process_start_ms != record->process_start_ms;
	bool moved = has_moved(known, record);

	log_listed(known, record, !gateway->listed);
	if (restarted)
		comet_gateway_process_crashed(gateway, known, "restarted");
	/* Before the first list is complete, no earlier process is known. */
	if (known == NULL && gateway->listed)
		crash_earlier_at(gateway, record->address);
	comet_instances_update(gateway->instances, record, comet_timers_now_us());
	if (record->draining || restarted || moved)
		comet_upstream_close_instance(gateway->upstream, record->id);
	if (restarted)
		comet_proxy_request_probe_previous_incarnation(
			gateway, record->id, record->process_start_ms);
}

static void
on_instance(void *ctx, const struct comet_instance_record *record)
{
	struct comet_gateway *gateway = ctx;

	switch (comet_incarnations_observe(gateway->incarnations, record, comet_timers_now_us()))
	{
	case COMET_INCARNATION_LATEST:
		apply_instance(gateway, record);
		break;
	case COMET_INCARNATION_EARLIER:
		comet_log(COMET_LOG_NOTICE,
			"event=earlier_incarnation_ignored endpoint=%s born=%" G_GUINT64_FORMAT
			" known=%" G_GUINT64_FORMAT,
			record->id, record->process_start_ms,
			comet_incarnations_start_ms(gateway->incarnations, record->id));
		break;
	case COMET_INCARNATION_UNSPECIFIED:
		gateway->counts.unreadable++;
		drop_endpoint(gateway, record->id, "incarnation_missing");
		break;
	}
}

static void
on_earlier_accepted(void *ctx, const struct comet_instance_record *record)
{
	comet_log(COMET_LOG_NOTICE,
		"event=earlier_incarnation_accepted endpoint=%s born=%" G_GUINT64_FORMAT,
		record->id, record->process_start_ms);
	apply_instance(ctx, record);
}

void
comet_gateway_tick_endpoints(struct comet_gateway *gateway, uint64_t now_us)
{
	comet_instances_tick(gateway->instances, now_us, on_expired, gateway);
	comet_evacuations_tick(gateway->evacuations, now_us);
	comet_incarnations_tick(gateway->incarnations, now_us, on_earlier_accepted, gateway);
}

static void
on_instance_gone(void *ctx, const char *id, uint64_t outage_us)
{
	struct comet_gateway *gateway = ctx;
	const struct comet_expiry_config config = {
		.expiry_us = (uint64_t)gateway->settings->lapse_ms * 1000,
		.settled_us = (uint64_t)gateway->settings->settled_ms * 1000,
	};
	uint64_t now_us = comet_timers_now_us();

	if (outage_us != 0 &&
		comet_instances_schedule_expiry(gateway->instances, id, outage_us, &config, now_us))
	{
		comet_log(COMET_LOG_NOTICE,
			"event=endpoint_lapsed endpoint=%s outage_ms_ago=%" G_GUINT64_FORMAT, id,
			(now_us - outage_us) / 1000);
		comet_incarnations_schedule_expiry(gateway->incarnations, id);
		return;
	}
	const struct comet_instance *instance = comet_instances_find(gateway->instances, id);
	if (instance != NULL)
		comet_gateway_process_crashed(gateway, instance, "removed");
	comet_incarnations_forget(gateway->incarnations, id);
	drop_endpoint(gateway, id, "removed");
}

/* The endpoints of a zone and this VM's requests there. */
struct zone_count
{
	const char *zone;
	uint32_t endpoints;
	uint32_t open; /* requests of this VM in progress */
};

static void
count_in_zone(void *ctx, struct comet_instance *instance)
{
	struct zone_count *count = ctx;

	if (strcmp(instance->zone, count->zone) != 0)
		return;
	count->endpoints++;
	count->open += instance->local_requests;
}

static void
on_evacuated(void *ctx, const char *zone)
{
	struct comet_gateway *gateway = ctx;
	struct zone_count count = {.zone = zone};

	if (!comet_evacuations_order(gateway->evacuations, zone))
		return;
	comet_instances_each(gateway->instances, count_in_zone, &count);
	comet_log(COMET_LOG_NOTICE, "event=zone_evacuated zone=%s endpoints=%u open=%u", zone,
		count.endpoints, count.open);
}

void
comet_gateway_zone_restored(void *ctx, const char *zone)
{
	(void)ctx;
	comet_log(COMET_LOG_NOTICE, "event=zone_restored zone=%s", zone);
}

static void
on_restored(void *ctx, const char *zone, bool tentative)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();
	uint64_t settled_us = (uint64_t)gateway->settings->settled_ms * 1000;

	if (tentative)
		comet_evacuations_schedule_expiry(gateway->evacuations, zone, now_us + settled_us);
	else
		comet_evacuations_end(gateway->evacuations, zone, now_us);
}

static void
on_invalid_item(void *ctx, const struct comet_directory_invalid_item *invalid)
{
	struct comet_gateway *gateway = ctx;

	gateway->counts.unreadable++;
	comet_log(COMET_LOG_ERR,
		"event=directory_item_refused key=%s revision=%" G_GUINT64_FORMAT
		" effect=%s error=\"%s\"",
		invalid->key, invalid->revision,
		invalid->endpoint != NULL ? "endpoint_dropped" : "kept_last", invalid->why);
	if (invalid->endpoint != NULL)
		drop_endpoint(gateway, invalid->endpoint, "unreadable");
}

static void
on_revision(void *ctx, uint64_t position, uint64_t endpoints)
{
	struct comet_gateway *gateway = ctx;

	gateway->listed = true;
	if (position > gateway->position)
		gateway->stale_us = 0; /* the grace for peers still ahead starts again */
	if (position != gateway->position || endpoints != gateway->endpoints_position)
		comet_resync_cache_clear(gateway->resync_cache);
	gateway->position = position;
	gateway->endpoints_position = endpoints;
	comet_gossip_set_revision(gateway->gossip, position);
	comet_gateway_report_position(gateway, comet_timers_now_us());
	comet_placement_run(gateway->placement, comet_timers_now_us());
}

static void
on_epoch(void *ctx, uint64_t epoch, uint64_t before)
{
	struct comet_gateway *gateway = ctx;

	comet_log(COMET_LOG_NOTICE,
		"event=directory_era era=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
		" revision=%" G_GUINT64_FORMAT,
		epoch, before, comet_directory_revision(gateway->position));
}

static void
on_called(void *ctx, enum comet_directory_call call)
{
	((struct comet_gateway *)ctx)->counts.directory_calls[call]++;
}

static void
on_answered(void *ctx)
{
	((struct comet_gateway *)ctx)->answered_us = comet_timers_now_us();
}

static void
on_availability_changed(void *ctx, bool available, const char *why)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();

	gateway->directory_lost = !available;
	if (available)
	{
		comet_log(COMET_LOG_NOTICE,
			"event=directory_regained reason=%s lost_ms=%" G_GUINT64_FORMAT, why,
			(now_us - gateway->lost_us) / 1000);
		return;
	}
	gateway->lost_us = now_us;
	gateway->counts.directory_losses++;
	comet_log(COMET_LOG_WARNING,
		"event=directory_lost reason=%s answered_ms_ago=%" G_GUINT64_FORMAT, why,
		gateway->answered_us != 0 ? (now_us - gateway->answered_us) / 1000 : 0);
}

static void
on_changes_missed(void *ctx)
{
	const struct comet_gateway *gateway = ctx;

	comet_instances_restart_versions(gateway->instances, comet_timers_now_us());
}

static void
on_past_endpoint(void *ctx, const struct comet_instance_record *record)
{
	comet_gateway_streams_past_endpoint(((struct comet_gateway *)ctx)->streams, record);
}

static void
on_history_read(void *ctx, enum comet_directory_history result)
{
	comet_gateway_streams_history_read(((struct comet_gateway *)ctx)->streams, result);
}

const struct comet_directory_events comet_gateway_directory_events = {
	.routes = on_routes,
	.instance = on_instance,
	.instance_gone = on_instance_gone,
	.evacuated = on_evacuated,
	.restored = on_restored,
	.item_invalid = on_invalid_item,
	.revision = on_revision,
	.epoch = on_epoch,
	.called = on_called,
	.answered = on_answered,
	.availability_changed = on_availability_changed,
	.changes_missed = on_changes_missed,
	.past_endpoint = on_past_endpoint,
	.history_read = on_history_read,
};
