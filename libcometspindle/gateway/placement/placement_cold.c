/*
 * placement_cold.c
 * updates the number of requests that this VM may send or grant to cold endpoints
 */
#include <libcometspindle/gateway/placement/placement.h>

#include <libcometspindle/gateway/placement/placement_state.h>

/* Interval at which the position of this VM in a shard is looked up, which visits all VMs. It is a
 * fraction of the time for which a better position is held. */
#define POSITION_INTERVAL_US 200000

/* Context of update_shard(). */
struct cold_update
{
	struct comet_placement *placement;
	uint64_t now_us;
};

static void
update_position(const struct cold_update *update, struct comet_shard *shard)
{
	const struct comet_placement_ops *ops = update->placement->ops;
	struct comet_cold_position *position = &shard->cold_position;

	if (shard->reformed)
		comet_cold_position_reformed(position, update->now_us);
	shard->reformed = false;
	if (position->checked_us != 0 &&
		update->now_us - position->checked_us < POSITION_INTERVAL_US)
		return;
	uint32_t preferred = ops->count_preferred != NULL
				     ? ops->count_preferred(update->placement->ctx, shard)
				     : 0;
	comet_cold_position_update(position, preferred, update->now_us);
}

/* Returns the allowance for endpoints of which nothing but idleness suggests that they are cold. A
 * process that starts has sent nothing to any endpoint, so that all of them are idle to it; with
 * the shares of young and of discovering processes, callers would be refused for seconds after a
 * start of all VMs. A restarted endpoint has a new id, whose entry states its warm-up. */
static uint32_t
presumed_allowance(const struct comet_placement *placement, const struct comet_cold_claim *claim,
	double max_per_s)
{
	const struct comet_cold_claim presumed = {
		.position = claim->position,
		.fraction = placement->cold_fraction.discovered ? claim->fraction : 1,
		.age = claim->age == COMET_COLD_AGE_STARTED ? COMET_COLD_AGE_STARTED
							    : COMET_COLD_AGE_GROWN,
	};

	return comet_cold_share_allowance(&presumed, max_per_s);
}

static void
update_shard(void *ctx, struct comet_shard *shard)
{
	const struct cold_update *update = ctx;
	const struct comet_placement *placement = update->placement;
	const struct comet_instance *any = shard->members->pdata[0];

	if (any->slow_start_config->max_per_s <= 0)
		return;
	update_position(update, shard);
	const struct comet_cold_claim claim = {
		.position = shard->cold_position.position,
		.fraction = placement->cold_fraction.fraction,
		.age = comet_cold_position_is_new(&shard->cold_position, update->now_us)
			       ? MIN(placement->cold_age, COMET_COLD_AGE_YOUNG)
			       : placement->cold_age,
	};
	double max_per_s = any->slow_start_config->max_per_s;
	const struct comet_slow_start_allowance allowance = {
		.known = comet_cold_share_allowance(&claim, max_per_s),
		.presumed = presumed_allowance(placement, &claim, max_per_s),
	};
	for (guint i = 0; i < shard->members->len; i++)
		((struct comet_instance *)shard->members->pdata[i])->cold_allowance = allowance;
}

void
comet_placement_update_cold_shares(
	struct comet_placement *placement, const struct comet_cold_vms *vms, uint64_t now_us)
{
	struct cold_update update = {placement, now_us};

	comet_cold_fraction_update(&placement->cold_fraction, vms, now_us);
	placement->cold_age = comet_cold_share_age(vms->age_us, vms->is_younger);
	comet_shards_each(placement->shards, update_shard, &update);
}

const struct comet_cold_refusal *
comet_placement_cold_refusal(const struct comet_placement *placement)
{
	return &placement->picker.cold_refusal;
}

double
comet_placement_cold_fraction(const struct comet_placement *placement)
{
	return placement->cold_fraction.fraction;
}
