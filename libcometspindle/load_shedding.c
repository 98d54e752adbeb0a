/*
 * load_shedding.c
 * shedding in tier order across VMs, by promises that ride on heartbeats
 */
#include <libcometspindle/load_shedding.h>

#include <libcometspindle/log.h>

/* Pressure is over when none was felt for so long. */
#define RELAX_US 2000000ULL
/* A VM that starts waits so long for listed VMs that never answer. */
#define JOIN_PATIENCE_US 5000000ULL

void
comet_load_shedding_init(struct comet_load_shedding *floor, uint32_t n_tiers)
{
	floor->n_tiers = n_tiers;
	floor->keep_below = 1;
	floor->keep_promised = 1;
	floor->shed_from = n_tiers - 1; /* the lowest tier: nothing is below it */
	floor->shed_promised = n_tiers - 1;
	floor->want = n_tiers;
	floor->announced_us = 0;
	floor->pressure_us = 0;
	floor->started_us = 0;
	floor->joined = false;
}

void
comet_load_shedding_request(struct comet_load_shedding *floor, uint32_t tier, uint64_t now_us)
{
	uint32_t want = tier > 1 ? tier : 1; /* tier 0 is never asked to go */

	if (want < floor->want)
		floor->want = want;
	floor->pressure_us = now_us;
}

static bool
promise_fresh(const struct comet_member *member, uint64_t now_us)
{
	return member->promise_us != 0 &&
	       now_us - member->promise_us < COMET_LOAD_SHEDDING_PROMISE_US;
}

/*
 * A VM that starts does not wait for ever for one that never answered: a list
 * that is stale for hours would keep every new VM out.
 */
static bool
given_up(
	const struct comet_load_shedding *floor, const struct comet_member *member, uint64_t now_us)
{
	return !floor->joined && member->promise_us == 0 &&
	       now_us - floor->started_us > JOIN_PATIENCE_US;
}

/* What the promises of all others allow. */
struct others
{
	uint32_t keep_below_max; /* n_tiers when any promise is missing */
	uint32_t shed_from_min;  /* 0 when any promise is missing */
	uint32_t want_min;
	bool all_fresh;
};

static void
look_at_others(const struct comet_load_shedding *floor, struct comet_member *const *members,
	size_t count, uint64_t now_us, struct others *others)
{
	others->keep_below_max = 0;
	others->shed_from_min = floor->n_tiers - 1;
	others->want_min = floor->n_tiers;
	others->all_fresh = true;
	for (size_t i = 0; i < count; i++)
	{
		const struct comet_member *member = members[i];
		if (!promise_fresh(member, now_us))
		{
			others->keep_below_max = floor->n_tiers;
			if (!given_up(floor, member, now_us))
			{
				others->shed_from_min = 0;
				others->all_fresh = false;
			}
			continue;
		}
		if (member->keep_below > others->keep_below_max)
			others->keep_below_max = member->keep_below;
		if (member->shed_from < others->shed_from_min)
			others->shed_from_min = member->shed_from;
		if (member->want_floor < others->want_min)
			others->want_min = member->want_floor;
	}
}

static bool
held(const struct comet_load_shedding *floor, uint64_t now_us)
{
	return now_us - floor->announced_us >= COMET_LOAD_SHEDDING_PROMISE_US;
}

static void
log_floor(const struct comet_load_shedding *floor)
{
	comet_log(COMET_LOG_NOTICE, "event=floor keep_below=%u shed_from=%u want=%u",
		floor->keep_below, floor->shed_from, floor->want);
}

/* Keeping less is always allowed as far as this VM may shed. */
static void
lower_keep(struct comet_load_shedding *floor, uint32_t want)
{
	uint32_t target = want > floor->shed_from ? want : floor->shed_from;

	if (target >= floor->keep_below)
		return;
	floor->keep_below = target;
	floor->keep_promised = target;
	log_floor(floor);
}

static void
lower_shed(struct comet_load_shedding *floor, uint32_t want, const struct others *others,
	uint64_t now_us)
{
	uint32_t next = floor->shed_from - 1;

	if (floor->shed_from <= want || floor->shed_from == 1)
	{
		floor->shed_promised = floor->shed_from;
		return;
	}
	if (floor->keep_below > next + 1 || others->keep_below_max > next + 1)
		return; /* somebody still keeps the tier below it */
	if (floor->shed_promised != next)
	{
		floor->shed_promised = next;
		floor->announced_us = now_us;
		return;
	}
	if (!held(floor, now_us))
		return;
	floor->shed_from = next;
	log_floor(floor);
}

/* Keeping more needs every other VM's word that it sheds nothing above what is kept. */
static void
raise_keep(struct comet_load_shedding *floor, const struct others *others, uint64_t now_us)
{
	uint32_t target = others->shed_from_min + 1;

	floor->shed_promised = floor->shed_from;
	if (floor->keep_below == floor->n_tiers || target <= floor->keep_below)
	{
		/* as far up as the others are: whoever just started has caught up */
		floor->joined =
			floor->joined || floor->keep_below == floor->n_tiers || others->all_fresh;
		return;
	}
	if (floor->keep_promised != target)
	{
		floor->keep_promised = target;
		floor->announced_us = now_us;
		return;
	}
	if (!held(floor, now_us))
		return;
	floor->keep_below = target;
	/* what is not kept must be shed, so both move together */
	if (floor->shed_from < target && floor->shed_from < floor->n_tiers - 1)
		floor->shed_from = target < floor->n_tiers ? target : floor->n_tiers - 1;
	floor->joined = true;
	log_floor(floor);
}

void
comet_load_shedding_tick(struct comet_load_shedding *floor, struct comet_member *const *members,
	size_t count, uint64_t now_us)
{
	struct others others;

	if (floor->started_us == 0)
		floor->started_us = now_us;
	if (floor->pressure_us != 0 && now_us - floor->pressure_us > RELAX_US)
	{
		floor->want = floor->n_tiers;
		floor->pressure_us = 0;
	}
	look_at_others(floor, members, count, now_us, &others);
	uint32_t want = floor->want < others.want_min ? floor->want : others.want_min;
	if (want < floor->keep_below || (want < floor->n_tiers && want == floor->keep_below))
	{
		floor->keep_promised = floor->keep_below;
		lower_keep(floor, want);
		lower_shed(floor, want, &others, now_us);
	}
	else
		raise_keep(floor, &others, now_us);
}
