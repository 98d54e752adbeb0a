/*
 * outage.c
 * detects outages of the directory from failed calls
 */
#include <libcometspindle/gateway/endpoints/outage.h>

#include <glib.h>

/* Upper bound of the time from the arrival of a refusal to its handling. A long poll may be refused
 * long after it was sent, and the directory was unavailable when the refusal arrived. */
#define MAX_HANDLING_DELAY_US 1000000

/* A persistent connection that closes or becomes silent does not indicate an outage. When it was
 * treated as one, endpoints that had left in the meantime counted as expired and stayed in use. */
static bool
indicates_outage(const struct comet_outage *outage, enum comet_directory_failure failure)
{
	switch (failure)
	{
	case COMET_DIRECTORY_FAILURE_REFUSED:
		return true;
	case COMET_DIRECTORY_FAILURE_INCOMPLETE:
		/* After a failure, calls use a new connection and should return at once. */
		return outage->failing;
	case COMET_DIRECTORY_FAILURE_RATE_LIMITED:
		break;
	}
	return false;
}

bool
comet_outage_failed(struct comet_outage *outage, enum comet_directory_failure failure,
	uint64_t sent_us, uint64_t now_us)
{
	bool first = !outage->failing;

	if (indicates_outage(outage, failure))
		outage->outage_us = MAX(sent_us, now_us - MIN(now_us, MAX_HANDLING_DELAY_US));
	outage->failing = true;
	return first;
}

uint64_t
comet_outage_succeeded(struct comet_outage *outage)
{
	uint64_t outage_us = outage->outage_us;

	outage->failing = false;
	outage->outage_us = 0;
	return outage_us;
}
