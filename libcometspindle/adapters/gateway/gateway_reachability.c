/*
 * gateway_reachability.c
 * checks whether this VM can reach any endpoint, after attempts have failed
 */
#include <libcometspindle/adapters/gateway/gateway_reachability.h>

#include <libcometspindle/adapters/endpoints/tcp_probe.h>
#include <libcometspindle/adapters/gateway/gateway_private.h>
#include <libcometspindle/gateway/endpoints/reachability.h>
#include <libcometspindle/log.h>
#include <talloc.h>

/* A check: one endpoint is probed first. The others follow only if it cannot be reached, because
 * new connections occupy endpoints. */
struct check
{
	uint32_t count;
	uint32_t started;
	char *addresses[COMET_REACHABILITY_PROBES];
};

struct comet_links
{
	struct comet_gateway *gateway;
	const struct comet_links_ops *ops;
	struct comet_reachability state;
	struct check *check; /* the current check; NULL: none */
	uint64_t lost_us;    /* when the links were last found lost */
	GArray *held; /* of struct held_release: results that wait for the end of the check */
};

/* A slot whose release tells its owner of a failure, which may have another cause. */
struct held_release
{
	uint32_t owner_vm;
	uint32_t instance_key;
	struct comet_grants_completion completion;
};

static int
links_destroy(struct comet_links *links)
{
	g_array_free(links->held, TRUE);
	return 0;
}

struct comet_links *
comet_gateway_links_create(struct comet_gateway *gateway, const struct comet_links_ops *ops)
{
	struct comet_links *links = talloc_zero(gateway, struct comet_links);

	links->gateway = gateway;
	links->ops = ops;
	links->held = g_array_new(FALSE, FALSE, sizeof(struct held_release));
	talloc_set_destructor(links, links_destroy);
	return links;
}

/* Releases a slot. A failure is not reported while the links are lost, since it says nothing about
 * the endpoint. */
static void
release(const struct comet_links *links, const struct held_release *held)
{
	struct comet_grants_completion completion = held->completion;

	if (links->state.lost && comet_gateway_links_may_cause(completion.result))
		completion.result = COMET_DISPATCH_CANCELLED;
	comet_grants_release(
		links->gateway->grants, held->owner_vm, held->instance_key, &completion);
}

static void
release_held(struct comet_links *links)
{
	for (guint i = 0; i < links->held->len; i++)
		release(links, &g_array_index(links->held, struct held_release, i));
	g_array_set_size(links->held, 0);
}

void
comet_gateway_links_release(struct comet_links *links, uint32_t owner_vm, uint32_t instance_key,
	const struct comet_grants_completion *completion)
{
	const struct held_release held = {owner_vm, instance_key, *completion};

	if (!links->state.lost && comet_gateway_links_are_in_doubt(links) &&
		comet_gateway_links_may_cause(completion->result))
		g_array_append_val(links->held, held);
	else
		release(links, &held);
}

static void
links_lost(struct comet_links *links, uint64_t now_us)
{
	links->lost_us = now_us;
	comet_log(COMET_LOG_WARNING, "event=endpoints_unreachable probed=%d",
		COMET_REACHABILITY_PROBES);
	comet_gossip_set_endpoints_unreachable(links->gateway->gossip, true);
	links->ops->lost(links->gateway);
}

static void
links_restored(const struct comet_links *links, uint64_t now_us)
{
	comet_log(COMET_LOG_NOTICE, "event=endpoints_reachable after_ms=%" G_GUINT64_FORMAT,
		(now_us - links->lost_us) / 1000);
	comet_gossip_set_endpoints_unreachable(links->gateway->gossip, false);
	comet_instances_forgive_failures(links->gateway->instances);
	comet_placement_run(links->gateway->placement, now_us);
}

static void
on_probed(void *ctx, enum comet_tcp_probe_result result);

static void
probe_until(struct comet_links *links, uint32_t count)
{
	struct comet_gateway *gateway = links->gateway;
	struct check *check = links->check;

	for (; check->started < count; check->started++)
		comet_tcp_probe_start(gateway->timers, gateway->ev, check,
			check->addresses[check->started], on_probed, links);
}

static void
on_probed(void *ctx, enum comet_tcp_probe_result result)
{
	struct comet_links *links = ctx;
	uint64_t now_us = comet_timers_now_us();
	enum comet_reachability_change change =
		comet_reachability_probed(&links->state, result == COMET_TCP_PROBE_OPEN, now_us);

	if (links->state.pending > 0)
	{
		probe_until(links, links->check->count);
		return;
	}
	TALLOC_FREE(links->check); /* ends the other probes */
	release_held(links);
	if (change == COMET_REACHABILITY_LOST)
		links_lost(links, now_us);
	else if (change == COMET_REACHABILITY_RESTORED)
		links_restored(links, now_us);
	links->ops->checked(links->gateway);
}

/* A random sample of endpoints. */
struct sample
{
	uint32_t seen;
	uint32_t count;
	struct comet_instance *endpoints[COMET_REACHABILITY_PROBES];
};

/* Samples of the endpoints without and with an advertised limit. */
struct samples
{
	struct comet_random *random;
	uint64_t now_us;
	struct sample unlimited;
	struct sample limited;
};

static void
consider_endpoint(void *ctx, struct comet_instance *instance)
{
	struct samples *samples = ctx;
	struct sample *sample = instance->limit.active ? &samples->limited : &samples->unlimited;

	if (comet_instance_is_leaving(instance) || instance->replaced ||
		comet_instance_is_resting(instance, samples->now_us))
		return;
	uint32_t position = comet_random_u32(samples->random) % ++sample->seen;
	if (sample->count < COMET_REACHABILITY_PROBES)
		sample->endpoints[sample->count++] = instance;
	else if (position < COMET_REACHABILITY_PROBES)
		sample->endpoints[position] = instance;
}

/* Selects the endpoints of a check. Limited ones are used only if there are no others, and only
 * within their limits. */
static struct check *
create_check(struct comet_links *links, uint64_t now_us)
{
	struct comet_gateway *gateway = links->gateway;
	struct samples samples = {.random = &gateway->random, .now_us = now_us};
	struct check *check = talloc_zero(links, struct check);

	comet_instances_each(gateway->instances, consider_endpoint, &samples);
	const struct sample *sample =
		samples.unlimited.count > 0 ? &samples.unlimited : &samples.limited;
	for (uint32_t i = 0; i < sample->count; i++)
	{
		struct comet_instance *instance = sample->endpoints[i];
		if (comet_placement_limit_admits(gateway->placement, instance, now_us))
			check->addresses[check->count++] = talloc_strdup(check, instance->address);
	}
	return check;
}

static void
begin_check(struct comet_links *links, uint64_t now_us)
{
	TALLOC_FREE(links->check);
	links->check = create_check(links, now_us);
	comet_reachability_begin_check(&links->state, links->check->count, now_us);
	if (links->check->count > 0)
		probe_until(links, 1);
	else
	{
		release_held(links);
		links->ops->checked(links->gateway);
	}
}

void
comet_gateway_links_tick(struct comet_links *links, uint64_t now_us)
{
	if (comet_reachability_needs_check(&links->state, now_us))
		begin_check(links, now_us);
}

bool
comet_gateway_links_may_cause(enum comet_dispatch_result result)
{
	return result == COMET_DISPATCH_UNREACHABLE || result == COMET_DISPATCH_BROKEN ||
	       result == COMET_DISPATCH_SILENT;
}

void
comet_gateway_links_attempt_ended(struct comet_links *links, enum comet_dispatch_result result)
{
	if (!comet_gateway_links_may_cause(result))
		return;
	comet_reachability_suspect(&links->state);
	comet_gateway_links_tick(links, comet_timers_now_us());
}

bool
comet_gateway_links_are_lost(const struct comet_links *links)
{
	return links->state.lost;
}

void
comet_gateway_links_hurry(struct comet_links *links)
{
	comet_reachability_hurry(&links->state);
	comet_gateway_links_tick(links, comet_timers_now_us());
}

bool
comet_gateway_links_are_checked(const struct comet_links *links)
{
	return links->state.pending > 0;
}

bool
comet_gateway_links_are_in_doubt(const struct comet_links *links)
{
	return comet_reachability_is_in_doubt(&links->state);
}
