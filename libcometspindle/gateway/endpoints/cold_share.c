/*
 * cold_share.c
 * how many of the requests that a cold endpoint may receive in a second one VM decides on
 */
#include <libcometspindle/gateway/endpoints/cold_share.h>

#include <glib.h>
#include <libcometspindle/gateway/fleet/discovery.h>

/* Shares of the limit by position, of young and of other processes. The first VM gets half, since
 * it owns the shard as long as no VM fails. Within any second the sum is 1/2 + 2 x 1/8 + 1/4 = 1 at
 * most: while links fail, the VMs at the second position may form two groups, in each of which the
 * fractions of the VMs add up to 1, and young processes may have replaced others. */
#define POSITIONS 2
static const double young_shares[POSITIONS] = {1.0 / 4, 0};
static const double shares[POSITIONS] = {1.0 / 2, 1.0 / 8};

/* Age of a process in which it decides on nothing. Of three processes that run at one address one
 * after the other, at most two then decide within a second. */
#define MIN_AGE_US 500000

/* Age at which the requests of a process that ended before this one started are out of the second
 * of the limit: a second and the variation of delays, as in slow_start.c. */
#define YOUNG_US 1200000

/* The same if other VMs are older: until they receive gossip from it, they count one VM less in the
 * positions. From this age on, they accept it as an owner (OWNER_MIN_AGE_US in gossip_owners.c). */
#define YOUNGER_US 3000000

/* More than half of all VMs are on at most one side of a partition. This side sends a request to an
 * endpoint even if its limit is below one per second. */
#define MAJORITY 0.5

/* Advances a ring buffer to the slice of now_us.
 * @return how many of its slices are new; at least one if it was empty */
static uint32_t
advance(uint64_t *newest, uint64_t now_us)
{
	uint64_t slice = now_us / COMET_COLD_SHARE_SLICE_US + 1;
	uint64_t passed = slice - *newest;

	*newest = slice;
	return (uint32_t)MIN(passed, COMET_COLD_SHARE_SLICES);
}

void
comet_cold_position_update(struct comet_cold_position *position, uint32_t observed, uint64_t now_us)
{
	uint32_t passed = advance(&position->slice, now_us);

	position->checked_us = now_us;
	for (uint32_t i = 0; i < passed; i++)
		position->worst[(position->slice - i) % COMET_COLD_SHARE_SLICES] = observed;
	uint32_t *current = &position->worst[position->slice % COMET_COLD_SHARE_SLICES];
	*current = MAX(*current, observed);
	position->position = observed;
	for (uint32_t i = 0; i < COMET_COLD_SHARE_SLICES; i++)
		position->position = MAX(position->position, position->worst[i]);
}

void
comet_cold_position_reformed(struct comet_cold_position *position, uint64_t now_us)
{
	position->reformed_us = now_us;
}

bool
comet_cold_position_is_new(const struct comet_cold_position *position, uint64_t now_us)
{
	return position->reformed_us != 0 &&
	       now_us - position->reformed_us < COMET_COLD_SHARE_SLICES * COMET_COLD_SHARE_SLICE_US;
}

void
comet_cold_fraction_update(
	struct comet_cold_fraction *fraction, const struct comet_cold_vms *vms, uint64_t now_us)
{
	uint32_t known = MAX(vms->known, vms->discovering ? COMET_DISCOVERY_ASSUMED_VMS : 1);
	double observed = MIN(1, (double)vms->heard / known);
	uint32_t passed = advance(&fraction->slice, now_us);

	/* Two VMs that each hear most VMs learn of each other, from a VM that both hear. One that
	 * hears fewer may not know of others that decide as well. */
	if (vms->discovering && vms->heard < MAJORITY * vms->known)
		observed = 0;
	if (vms->discovering || !fraction->discovered)
		passed = COMET_COLD_SHARE_SLICES;
	fraction->discovered = !vms->discovering;
	for (uint32_t i = 0; i < passed; i++)
		fraction->lowest[(fraction->slice - i) % COMET_COLD_SHARE_SLICES] = observed;
	double *current = &fraction->lowest[fraction->slice % COMET_COLD_SHARE_SLICES];
	*current = MIN(*current, observed);
	fraction->fraction = observed;
	for (uint32_t i = 0; i < COMET_COLD_SHARE_SLICES; i++)
		fraction->fraction = MIN(fraction->fraction, fraction->lowest[i]);
}

enum comet_cold_age
comet_cold_share_age(uint64_t age_us, bool is_younger)
{
	if (age_us < MIN_AGE_US)
		return COMET_COLD_AGE_STARTED;
	return age_us < (is_younger ? YOUNGER_US : YOUNG_US) ? COMET_COLD_AGE_YOUNG
							     : COMET_COLD_AGE_GROWN;
}

uint32_t
comet_cold_share_allowance(const struct comet_cold_claim *claim, double max_per_s)
{
	if (claim->age == COMET_COLD_AGE_STARTED || claim->position >= POSITIONS)
		return 0;
	const double *by_position = claim->age == COMET_COLD_AGE_YOUNG ? young_shares : shares;
	double limit = max_per_s * claim->fraction;
	double share = limit * by_position[claim->position];
	/* If half of a small limit is less than one request, nobody else has a share of it, and
	 * without any request the endpoint would stay cold. */
	bool sole = claim->position == 0 && claim->age == COMET_COLD_AGE_GROWN &&
		    (limit >= 1 || claim->fraction > MAJORITY);
	return MAX((uint32_t)MIN(share, UINT32_MAX / 2), sole ? 1 : 0);
}
