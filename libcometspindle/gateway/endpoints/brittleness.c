/*
 * brittleness.c
 * endpoints that fail if they have to reject too many requests within a second
 */
#include <libcometspindle/gateway/endpoints/brittleness.h>

#include <glib.h>

/* Time after which the rejection of a request is known at the owner of the shard: two round trips
 * within a region, with a margin. */
#define REJECTION_KNOWN_US 50000

/* Requests within that time, relative to the rejections that the endpoint bears within a second. No
 * more are sent once a rejection is known. */
#define PACE_DIVISOR 2

/* An endpoint that bears fewer rejections gets one request less than it has slots: a new connection
 * may hold a slot for a moment. */
#define SPARE_SLOT_BELOW 2

bool
comet_brittleness_observe(struct comet_brittleness *brittleness, bool active,
	uint32_t rejections_per_s, uint64_t observed_us)
{
	bool changed = active != brittleness->active;

	if (observed_us < brittleness->observed_us)
		return false;
	brittleness->active = active;
	brittleness->rejections_per_s = active ? rejections_per_s : 0;
	brittleness->observed_us = observed_us;
	return changed;
}

bool
comet_brittleness_admits(const struct comet_brittleness *brittleness, uint64_t now_us)
{
	uint32_t unknown = MAX(brittleness->rejections_per_s / PACE_DIVISOR, 1);

	return !brittleness->active || brittleness->sent_us == 0 ||
	       now_us - brittleness->sent_us >= REJECTION_KNOWN_US / unknown;
}

void
comet_brittleness_count(struct comet_brittleness *brittleness, uint64_t now_us)
{
	brittleness->sent_us = now_us;
}

uint32_t
comet_brittleness_usable_slots(const struct comet_brittleness *brittleness, uint32_t slots)
{
	bool spare = brittleness->rejections_per_s < SPARE_SLOT_BELOW && slots > 1;

	return spare ? slots - 1 : slots;
}
