/*
 * gateway_reader_election.c
 * applies the reader election: a reader reports its position, a follower fetches from readers
 */
#include <libcometspindle/adapters/gateway/gateway_private.h>

#include <libcometspindle/log.h>

/* Report interval of a reader: a fraction of the validity of a report, since datagrams get lost. */
#define REPORT_US 200000

static const char *
mode_name(enum comet_directory_mode reading)
{
	static const char *const names[] = {
		[COMET_DIRECTORY_MODE_DIRECT] = "reads",
		[COMET_DIRECTORY_MODE_READER] = "reads_for_others",
		[COMET_DIRECTORY_MODE_FOLLOWER] = "follows",
		[COMET_DIRECTORY_MODE_FALLBACK] = "reads_meanwhile",
		[COMET_DIRECTORY_MODE_WAITING] = "waits_for_snapshot",
	};

	return names[reading];
}

/* Returns the age of the directory's last response. */
static uint64_t
response_age_us(const struct comet_gateway *gateway, uint64_t now_us)
{
	return gateway->answered_us != 0 ? now_us - gateway->answered_us : now_us;
}

void
comet_gateway_report_position(struct comet_gateway *gateway, uint64_t now_us)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	uint64_t age_us = response_age_us(gateway, now_us);
	comet_Datagram datagram = {
		.which_body = comet_Datagram_news_tag,
		.body.news =
			{
				.address = comet_datagram_socket_address(gateway->datagram_socket),
				.position = gateway->position,
				.age_ms = (uint32_t)(age_us / 1000),
				.endpoints = gateway->endpoints_position,
			},
	};

	/* Followers ignore a stale report. */
	if (gateway->reading != COMET_DIRECTORY_MODE_READER ||
		!comet_reader_election_is_fresh(gateway->reader_election, age_us))
		return;
	gateway->reported_us = now_us;
	size_t length = comet_datagram_encode(&datagram, data);
	comet_gossip_broadcast_zone(gateway->gossip, data, length);
}

/* Fetches missing endpoints and the missing routing document from a reader. */
static void
resync(struct comet_gateway *gateway, uint64_t now_us)
{
	uint32_t vm = comet_reader_election_find_ahead(
		gateway->reader_election, gateway->endpoints_position, now_us);

	if (gateway->reading != COMET_DIRECTORY_MODE_FOLLOWER)
		return;
	/* A reader may report endpoints before it has read an older document. */
	if (vm == 0 && gateway->directory->ops->missing_document(gateway->directory) == 0)
		vm = comet_reader_election_find_complete(
			gateway->reader_election, gateway->position, now_us);
	if (vm != 0)
		comet_gateway_request_endpoints(gateway, vm);
	comet_gateway_fetch_document(gateway, now_us);
}

void
comet_gateway_handle_report(struct comet_gateway *gateway, const comet_News *news, uint64_t now_us)
{
	const struct comet_reader_report reported = {
		.vm = news->address,
		.position = news->endpoints != 0 ? news->endpoints : news->position,
		.complete = news->position,
		.age_us = (uint64_t)news->age_ms * 1000,
	};

	if (!comet_gossip_is_zone_peer_alive(gateway->gossip, news->address))
		return; /* the sender is in another zone or not yet known */
	comet_reader_election_report(gateway->reader_election, &reported, now_us);
	if (gateway->reading == COMET_DIRECTORY_MODE_WAITING)
		comet_gateway_request_first_snapshot(gateway, now_us);
	resync(gateway, now_us);
	if (gateway->reading == COMET_DIRECTORY_MODE_FOLLOWER &&
		reported.position <= gateway->endpoints_position)
		gateway->directory->ops->set_synced(gateway->directory);
}

static void
set_mode(struct comet_gateway *gateway, enum comet_directory_mode reading)
{
	if (reading == gateway->reading)
		return;
	comet_log(COMET_LOG_NOTICE, "event=directory_reading how=%s before=%s", mode_name(reading),
		mode_name(gateway->reading));
	gateway->reading = reading;
	gateway->directory->ops->set_mode(gateway->directory, reading);
}

void
comet_gateway_tick_reader_election(struct comet_gateway *gateway, uint64_t now_us)
{
	struct comet_reader_election_state state = {
		.has_list = gateway->listed && gateway->table != NULL,
		.leaving = gateway->stop_us != 0,
		.position = gateway->endpoints_position,
		.age_us = now_us - gateway->began_us,
	};
	uint32_t known = 0;
	uint32_t alive = 0;

	comet_gossip_count_peers(gateway->gossip, &known, &alive);
	state.alone = known == 0;
	comet_gossip_count_zone_peers(gateway->gossip, now_us, &state.zone_vms, &state.preferred);
	set_mode(gateway, comet_reader_election_decide(gateway->reader_election, &state, now_us));
	if (now_us - gateway->reported_us >= REPORT_US)
		comet_gateway_report_position(gateway, now_us);
	resync(gateway, now_us);
}
