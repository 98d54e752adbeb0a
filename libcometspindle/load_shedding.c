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
comet_load_shedding_init(struct comet_load_shedding *load_shedding, uint32_t n_tiers)
{
	load_shedding->n_tiers = n_tiers;
	load_shedding->keep_below = 1;
	load_shedding->keep_promised = 1;
	load_shedding->shed_from = n_tiers - 1; /* the lowest tier: nothing is below it */
	load_shedding->shed_promised = n_tiers - 1;
	load_shedding->want = n_tiers;
	load_shedding->announced_us = 0;
	load_shedding->pressure_us = 0;
	load_shedding->started_us = 0;
	load_shedding->joined = false;
}

void
comet_load_shedding_request(
	struct comet_load_shedding *load_shedding, uint32_t tier, uint64_t now_us)
{
	uint32_t want = tier > 1 ? tier : 1; /* tier 0 is never asked to go */

	if (want < load_shedding->want)
		load_shedding->want = want;
	load_shedding->pressure_us = now_us;
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
given_up(const struct comet_load_shedding *load_shedding, const struct comet_member *member,
	uint64_t now_us)
{
	return !load_shedding->joined && member->promise_us == 0 &&
	       now_us - load_shedding->started_us > JOIN_PATIENCE_US;
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
look_at_others(const struct comet_load_shedding *load_shedding, struct comet_member *const *members,
	size_t count, uint64_t now_us, struct others *others)
{
	others->keep_below_max = 0;
	others->shed_from_min = load_shedding->n_tiers - 1;
	others->want_min = load_shedding->n_tiers;
	others->all_fresh = true;
	for (size_t i = 0; i < count; i++)
	{
		const struct comet_member *member = members[i];
		if (!promise_fresh(member, now_us))
		{
			others->keep_below_max = load_shedding->n_tiers;
			if (!given_up(load_shedding, member, now_us))
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
held(const struct comet_load_shedding *load_shedding, uint64_t now_us)
{
	return now_us - load_shedding->announced_us >= COMET_LOAD_SHEDDING_PROMISE_US;
}

static void
log_floor(const struct comet_load_shedding *load_shedding)
{
	comet_log(COMET_LOG_NOTICE, "event=floor keep_below=%u shed_from=%u want=%u",
		load_shedding->keep_below, load_shedding->shed_from, load_shedding->want);
}

/* Keeping less is always allowed as far as this VM may shed. */
static void
lower_keep(struct comet_load_shedding *load_shedding, uint32_t want)
{
	uint32_t target = want > load_shedding->shed_from ? want : load_shedding->shed_from;

	if (target >= load_shedding->keep_below)
		return;
	load_shedding->keep_below = target;
	load_shedding->keep_promised = target;
	log_floor(load_shedding);
}

static void
lower_shed(struct comet_load_shedding *load_shedding, uint32_t want, const struct others *others,
	uint64_t now_us)
{
	uint32_t next = load_shedding->shed_from - 1;

	if (load_shedding->shed_from <= want || load_shedding->shed_from == 1)
	{
		load_shedding->shed_promised = load_shedding->shed_from;
		return;
	}
	if (load_shedding->keep_below > next + 1 || others->keep_below_max > next + 1)
		return; /* somebody still keeps the tier below it */
	if (load_shedding->shed_promised != next)
	{
		load_shedding->shed_promised = next;
		load_shedding->announced_us = now_us;
		return;
	}
	if (!held(load_shedding, now_us))
		return;
	load_shedding->shed_from = next;
	log_floor(load_shedding);
}

/* Keeping more needs every other VM's word that it sheds nothing above what is kept. */
static void
raise_keep(struct comet_load_shedding *load_shedding, const struct others *others, uint64_t now_us)
{
	uint32_t target = others->shed_from_min + 1;

	load_shedding->shed_promised = load_shedding->shed_from;
	if (load_shedding->keep_below == load_shedding->n_tiers ||
		target <= load_shedding->keep_below)
	{
		/* as far up as the others are: whoever just started has caught up */
		load_shedding->joined = load_shedding->joined ||
					load_shedding->keep_below == load_shedding->n_tiers ||
					others->all_fresh;
		return;
	}
	if (load_shedding->keep_promised != target)
	{
		load_shedding->keep_promised = target;
		load_shedding->announced_us = now_us;
		return;
	}
	if (!held(load_shedding, now_us))
		return;
	load_shedding->keep_below = target;
	/* what is not kept must be shed, so both move together */
	if (load_shedding->shed_from < target &&
		load_shedding->shed_from < load_shedding->n_tiers - 1)
		load_shedding->shed_from =
			target < load_shedding->n_tiers ? target : load_shedding->n_tiers - 1;
	load_shedding->joined = true;
	log_floor(load_shedding);
}

void
comet_load_shedding_tick(struct comet_load_shedding *load_shedding,
	struct comet_member *const *members, size_t count, uint64_t now_us)
{
	struct others others;

	if (load_shedding->started_us == 0)
		load_shedding->started_us = now_us;
	if (load_shedding->pressure_us != 0 && now_us - load_shedding->pressure_us > RELAX_US)
	{
		load_shedding->want = load_shedding->n_tiers;
		load_shedding->pressure_us = 0;
	}
	look_at_others(load_shedding, members, count, now_us, &others);
	uint32_t want =
		load_shedding->want < others.want_min ? load_shedding->want : others.want_min;
	if (want < load_shedding->keep_below ||
		(want < load_shedding->n_tiers && want == load_shedding->keep_below))
	{
		load_shedding->keep_promised = load_shedding->keep_below;
		lower_keep(load_shedding, want);
		lower_shed(load_shedding, want, &others, now_us);
	}
	else
		raise_keep(load_shedding, &others, now_us);
}
