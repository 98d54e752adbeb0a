/*
 * outage.c
 * what failed calls tell of an outage of the directory
 */
#include <libcometspindle/gateway/endpoints/outage.h>

#include <glib.h>

/* A call that waits for news may fail long after it was made; the directory was out when the answer
 * came that refused it, which was handled no longer ago than this. */
#define HANDLED_WITHIN_US 1000000

/* A kept connection that ends, or goes silent, says nothing of the directory: endpoints that had
 * left meanwhile were taken for lapsed by that, and used on. */
static bool
shows_outage(const struct comet_outage *outage, enum comet_call_failure failure)
{
	switch (failure)
	{
	case COMET_CALL_REFUSED:
		return true;
	case COMET_CALL_ENDED:
		return outage->failing; /* on a connection of its own, and due at once */
	case COMET_CALL_LIMITED:
		break;
	}
	return false;
}

bool
comet_outage_failed(struct comet_outage *outage, enum comet_call_failure failure, uint64_t asked_us,
	uint64_t now_us)
{
	bool first = !outage->failing;

	if (shows_outage(outage, failure))
		outage->outage_us = MAX(asked_us, now_us - MIN(now_us, HANDLED_WITHIN_US));
	outage->failing = true;
	return first;
}

uint64_t
comet_outage_answered(struct comet_outage *outage)
{
	uint64_t outage_us = outage->outage_us;

	outage->failing = false;
	outage->outage_us = 0;
	return outage_us;
}
