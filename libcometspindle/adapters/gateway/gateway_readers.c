/*
 * gateway_readers.c
 * the zone's directory readers: reports to followers, or follows the readers' reports
 */
#include <libcometspindle/adapters/gateway/gateway_private.h>

#include <libcometspindle/log.h>

/* Report interval of a reader: a fraction of the time a report is valid, since datagrams get lost.
 */
#define REPORT_US 200000

static const char *
reading_name(enum comet_directory_reading reading)
{
	static const char *const names[] = {
		[COMET_DIRECTORY_READS] = "reads",
		[COMET_DIRECTORY_READS_FOR_OTHERS] = "reads_for_others",
		[COMET_DIRECTORY_FOLLOWS] = "follows",
		[COMET_DIRECTORY_READS_MEANWHILE] = "reads_meanwhile",
	};

	return names[reading];
}

/* @return the age of the directory's last answer. */
static uint64_t
answer_age_us(const struct comet_gateway *gateway, uint64_t now_us)
{
	return gateway->answered_us != 0 ? now_us - gateway->answered_us : now_us;
}

void
comet_gateway_report_position(struct comet_gateway *gateway, uint64_t now_us)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	uint64_t age_us = answer_age_us(gateway, now_us);
	comet_Datagram datagram = {
		.which_body = comet_Datagram_news_tag,
		.body.news =
			{
				.address = comet_view_link_address(gateway->link),
				.position = gateway->position,
				.age_ms = (uint32_t)(age_us / 1000),
				.endpoints = gateway->endpoints_position,
			},
	};

	/* A stale report would not be followed. */
	if (gateway->reading != COMET_DIRECTORY_READS_FOR_OTHERS ||
		!comet_readers_is_fresh(gateway->readers, age_us))
		return;
	gateway->reported_us = now_us;
	size_t length = comet_datagram_encode(&datagram, data);
	comet_views_send_near(gateway->views, data, length);
}

/* Fetches from a reader what is missing here. */
static void
resync(struct comet_gateway *gateway, uint64_t now_us)
{
	uint32_t vm = comet_readers_ahead(gateway->readers, gateway->endpoints_position, now_us);

	if (gateway->reading != COMET_DIRECTORY_FOLLOWS)
		return;
	/* A reader may report endpoints before it has read an older document. */
	if (vm == 0 && gateway->directory->ops->missing_document(gateway->directory) == 0)
		vm = comet_readers_ahead_complete(gateway->readers, gateway->position, now_us);
	if (vm != 0)
		comet_gateway_request_endpoints(gateway, vm);
	comet_gateway_fetch_document(gateway, now_us);
}

void
comet_gateway_take_report(struct comet_gateway *gateway, const comet_News *news, uint64_t now_us)
{
	const struct comet_reader_report told = {
		.vm = news->address,
		.position = news->endpoints != 0 ? news->endpoints : news->position,
		.complete = news->position,
		.age_us = (uint64_t)news->age_ms * 1000,
	};

	if (!comet_views_hears_near(gateway->views, news->address))
		return; /* another zone's, or not yet known */
	comet_readers_report(gateway->readers, &told, now_us);
	resync(gateway, now_us);
	if (gateway->reading == COMET_DIRECTORY_FOLLOWS &&
		told.position <= gateway->endpoints_position)
		gateway->directory->ops->followed(gateway->directory);
}

static void
set_reading(struct comet_gateway *gateway, enum comet_directory_reading reading)
{
	if (reading == gateway->reading)
		return;
	comet_log(COMET_LOG_NOTICE, "event=directory_reading how=%s before=%s",
		reading_name(reading), reading_name(gateway->reading));
	gateway->reading = reading;
	gateway->directory->ops->set_reading(gateway->directory, reading);
}

void
comet_gateway_tick_readers(struct comet_gateway *gateway, uint64_t now_us)
{
	struct comet_readers_sight sight = {
		.listed = gateway->listed && gateway->table != NULL,
		.leaving = gateway->stop_us != 0,
		.position = gateway->endpoints_position,
	};

	comet_views_count_near(gateway->views, now_us, &sight.zone_vms, &sight.better);
	set_reading(gateway, comet_readers_decide(gateway->readers, &sight, now_us));
	if (now_us - gateway->reported_us >= REPORT_US)
		comet_gateway_report_position(gateway, now_us);
	resync(gateway, now_us);
}
