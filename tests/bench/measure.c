/*
 * measure.c
 * sizes of state and cost of decisions, one JSON object a line
 *
 * measure state                              bytes per endpoint, team, member, ...
 * measure decide ENDPOINTS TEAMS WAITING N   time of N grants with WAITING asks queued
 */
#include <glib.h>
#include <libcometspindle/adapters/clock.h>
#include <libcometspindle/claims.h>
#include <libcometspindle/hash.h>
#include <libcometspindle/log.h>
#include <libcometspindle/membership.h>
#include <libcometspindle/scheduler/scheduler.h>
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#define POINTS 4
#define NOW_US 1000000ULL

static size_t
heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static uint64_t
cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (uint64_t)now.tv_sec * 1000000000 + (uint64_t)now.tv_nsec;
}

static struct comet_bundle *
make_bundle(uint32_t endpoints, uint32_t teams)
{
	GString *text = g_string_new(
		"{\"version\":1,\"tiers\":["
		"{\"name\":\"t0\",\"deadline_ms\":1000},{\"name\":\"t1\",\"deadline_ms\":1000},"
		"{\"name\":\"t2\",\"deadline_ms\":1000},{\"name\":\"t3\",\"deadline_ms\":1000}],"
		"\"limits\":{\"shard_endpoints\":100000},\"models\":[{\"name\":\"m\"}],\"teams\":"
		"[");
	GError *error = NULL;

	for (uint32_t i = 0; i < teams; i++)
		g_string_append_printf(text,
			"%s{\"name\":\"team%u\",\"tiers\":[\"t0\",\"t1\",\"t2\",\"t3\"],\"key_"
			"hash\":"
			"\"%064x\"}",
			i > 0 ? "," : "", i, i);
	g_string_append(text, "],\"endpoints\":[");
	for (uint32_t i = 0; i < endpoints; i++)
		g_string_append_printf(text,
			"%s{\"name\":\"endpoint%u\",\"url\":\"http://"
			"10.0.0.1:8000\",\"zone\":\"z1\","
			"\"serves\":[\"m\"],\"batch\":8}",
			i > 0 ? "," : "", i);
	g_string_append(text, "]}");
	struct comet_bundle *bundle = comet_bundle_parse(text->str, text->len, &error);
	if (bundle == NULL)
		g_error("%s", error->message);
	g_string_free(text, TRUE);
	return bundle;
}

/* Grants are kept here, so that they can be ended in turn. */
struct sink
{
	GArray *grants; /* comet_Grant */
};

static void
on_grant(void *ctx, uint64_t holder, const comet_Grant *grant)
{
	struct sink *sink = ctx;

	(void)holder;
	g_array_append_vals(sink->grants, grant, 1);
}

static void
on_decline(void *ctx, uint64_t holder, uint64_t request)
{
	(void)ctx;
	(void)holder;
	(void)request;
}

static const struct comet_scheduler_ops ops = {on_grant, on_decline};

static void
ask(struct comet_scheduler *scheduler, uint64_t request, uint32_t teams, uint64_t now_us)
{
	char name[32];
	comet_Ask message = comet_Ask_init_zero;

	g_snprintf(name, sizeof name, "team%u", (unsigned int)(request % teams));
	message.request = request;
	message.model = comet_hash_name("m");
	message.team = comet_hash_name(name);
	message.tier = (uint32_t)(request % 4);
	message.slack_ms = 100000000;
	message.prompt_tokens = 500;
	message.output_tokens = 100;
	message.prefix_count = 8;
	for (uint32_t i = 0; i < 8; i++)
		message.prefix[i] = (uint32_t)(request % 97 * 8 + i + 1);
	comet_scheduler_ask(scheduler, 1, &message, now_us);
}

static void
end_grant(struct comet_scheduler *scheduler, const comet_Grant *grant, uint64_t now_us)
{
	comet_Done done = comet_Done_init_zero;

	done.request = grant->request;
	done.endpoint = grant->endpoint;
	done.outcome = COMET_OUTCOME_SERVED;
	done.first_token_us = 50000;
	done.step_us = 10000;
	done.prompt_tokens = 500;
	done.output_tokens = 100;
	comet_scheduler_done(scheduler, 1, &done, now_us);
}

/* Each finished grant makes room for one decision; its ask is replaced. */
static void __attribute__((noinline)) measure_decisions(struct comet_scheduler *scheduler,
	const struct sink *sink, uint32_t teams, uint32_t count, uint64_t request)
{
	for (uint32_t i = 0; i < count && i < sink->grants->len; i++)
	{
		comet_Grant grant = g_array_index(sink->grants, comet_Grant, i);
		end_grant(scheduler, &grant, NOW_US);
		ask(scheduler, request++, teams, NOW_US);
	}
}

/* A scheduler with all that it needs. */
struct stage
{
	struct sink sink;
	struct comet_bundle *bundle;
	struct comet_scheduler *scheduler;
	size_t before; /* heap before the scheduler was made */
};

static void
stage_begin(struct stage *stage, uint32_t endpoints, uint32_t teams)
{
	stage->sink.grants = g_array_new(FALSE, FALSE, sizeof(comet_Grant));
	stage->bundle = make_bundle(endpoints, teams);
	stage->before = heap_bytes();
	stage->scheduler = comet_scheduler_create(
		NULL, stage->bundle, comet_hash_name("m"), 0, &ops, &stage->sink, 0);
}

static void
stage_end(struct stage *stage)
{
	talloc_free(stage->scheduler);
	comet_bundle_unref(stage->bundle);
	g_array_free(stage->sink.grants, TRUE);
}

static int
measure_decide(uint32_t endpoints, uint32_t teams, uint32_t waiting, uint32_t count)
{
	struct stage stage;
	uint64_t request = 1;

	stage_begin(&stage, endpoints, teams);
	while (stage.sink.grants->len < endpoints * 8 && request < endpoints * 40ULL)
		ask(stage.scheduler, request++, teams, NOW_US);
	for (uint32_t i = 0; i < waiting; i++)
		ask(stage.scheduler, request++, teams, NOW_US);
	uint64_t begin_ns = cpu_ns();
	measure_decisions(stage.scheduler, &stage.sink, teams, count, request);
	double ns = (double)(cpu_ns() - begin_ns) / count;
	printf("{\"bench\":\"decide\",\"endpoints\":%u,\"teams\":%u,\"waiting\":%u,\"decisions\":%"
	       "u,"
	       "\"ns_per_decision\":%.0f}\n",
		endpoints, teams, waiting, count, ns);
	stage_end(&stage);
	return EXIT_SUCCESS;
}

/* --- sizes --- */

static size_t
size_of_bundle(uint32_t endpoints, uint32_t teams)
{
	size_t before = heap_bytes();
	struct comet_bundle *bundle = make_bundle(endpoints, teams);
	size_t size = heap_bytes() - before;

	comet_bundle_unref(bundle);
	return size;
}

static size_t
size_endpoint(uint32_t count)
{
	return size_of_bundle(count, 1);
}

static size_t
size_team(uint32_t count)
{
	return size_of_bundle(1, count);
}

static size_t
size_scheduled_endpoint(uint32_t count)
{
	struct stage stage;
	size_t size = 0;

	stage_begin(&stage, count, 1);
	size = heap_bytes() - stage.before;
	stage_end(&stage);
	return size;
}

static size_t
size_waiting_ask(uint32_t count)
{
	struct stage stage;
	uint64_t request = 1;

	stage_begin(&stage, 1, 5);
	for (int i = 0; i < 20; i++)
		ask(stage.scheduler, request++, 5, NOW_US);
	size_t before = heap_bytes();
	for (uint32_t i = 0; i < count; i++)
		ask(stage.scheduler, request++, 5, NOW_US);
	size_t size = heap_bytes() - before;
	stage_end(&stage);
	return size;
}

static size_t
size_cached_prompt(uint32_t count)
{
	size_t before = heap_bytes();
	struct comet_prefix_index *index = comet_prefix_index_create(NULL, UINT32_MAX);

	for (uint32_t i = 0; i < count; i++)
	{
		struct comet_prefix prefix = {.count = 8};
		for (uint32_t k = 0; k < 8; k++)
			prefix.hash[k] = i * 8 + k + 1;
		comet_prefix_index_add(index, &prefix);
	}
	size_t size = heap_bytes() - before;
	talloc_free(index);
	return size;
}

static size_t
size_key(uint32_t count)
{
	uint64_t self = 1;
	size_t before = heap_bytes();
	struct comet_claims *claims = comet_claims_create(NULL, self, 1000);

	comet_claims_set_limits(claims, 600, 1000);
	comet_claims_set_list(claims, &self, 1, 1000);
	for (uint32_t i = 0; i < count; i++)
		comet_claims_record(claims, i + 1, 10000, 1, i, 10000);
	size_t size = heap_bytes() - before;
	talloc_free(claims);
	return size;
}

static void
no_probe(void *ctx, struct comet_member *member)
{
	(void)ctx;
	(void)member;
}

static void
no_change(void *ctx)
{
	(void)ctx;
}

static void
no_death(void *ctx, uint64_t id)
{
	(void)ctx;
	(void)id;
}

static size_t
size_member(uint32_t count)
{
	static const struct comet_membership_ops member_ops = {no_probe, no_change, no_death};
	struct comet_vm *vms = g_new0(struct comet_vm, count);
	char **names = g_new0(char *, count + 1);

	for (uint32_t i = 0; i < count; i++)
	{
		names[i] = g_strdup_printf("vm%u", i);
		vms[i] = (struct comet_vm){comet_hash_vm(names[i]), names[i], "zone-1",
			"tcp://10.0.0.1:7400", "http://10.0.0.1:8080", false};
	}
	size_t before = heap_bytes();
	struct comet_membership *membership =
		comet_membership_create(NULL, 1, 1, &member_ops, NULL);
	comet_membership_set_list(membership, vms, count);
	size_t size = heap_bytes() - before;
	talloc_free(membership);
	g_strfreev(names);
	g_free(vms);
	return size;
}

struct subject
{
	const char *role;
	const char *per;
	size_t (*size)(uint32_t count);
	uint32_t counts[POINTS];
};

static const struct subject subjects[] = {
	{"bundle", "endpoint", size_endpoint, {150, 300, 600, 1200}},
	{"bundle", "team", size_team, {150, 300, 600, 1200}},
	{"scheduler", "endpoint", size_scheduled_endpoint, {150, 300, 600, 1200}},
	{"scheduler", "waiting request", size_waiting_ask, {1000, 2000, 4000, 8000}},
	{"scheduler", "cached prompt", size_cached_prompt, {1000, 2000, 4000, 8000}},
	{"idempotency", "key", size_key, {1000, 2000, 4000, 8000}},
	{"member", "VM", size_member, {100, 200, 400, 800}},
};

/* Least squares through the points, and the largest residual as a part of the value. */
static void
print_fit(const struct subject *subject, const double *sizes)
{
	double sum_x = 0;
	double sum_y = 0;
	double sum_xx = 0;
	double sum_xy = 0;
	double worst = 0;

	for (int i = 0; i < POINTS; i++)
	{
		sum_x += subject->counts[i];
		sum_y += sizes[i];
		sum_xx += (double)subject->counts[i] * subject->counts[i];
		sum_xy += subject->counts[i] * sizes[i];
	}
	double slope = (POINTS * sum_xy - sum_x * sum_y) / (POINTS * sum_xx - sum_x * sum_x);
	double base = (sum_y - slope * sum_x) / POINTS;
	for (int i = 0; i < POINTS; i++)
	{
		double off = (base + slope * subject->counts[i] - sizes[i]) / sizes[i];
		worst = MAX(worst, off < 0 ? -off : off);
	}
	printf("{\"bench\":\"slopes\",\"role\":\"%s\",\"per\":\"%s\",\"bytes_state\":%.0f,"
	       "\"base_bytes\":%.0f,\"residual\":%.3f,\"points\":%d}\n",
		subject->role, subject->per, slope, base, worst, POINTS);
}

static int
measure_state(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(subjects); i++)
	{
		double sizes[POINTS];
		for (int k = 0; k < POINTS; k++)
			sizes[k] = (double)subjects[i].size(subjects[i].counts[k]);
		print_fit(&subjects[i], sizes);
	}
	return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
	comet_log_init("measure", COMET_LOG_ERR);
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	if (argc == 2 && strcmp(argv[1], "state") == 0)
		return measure_state();
	if (argc == 6 && strcmp(argv[1], "decide") == 0)
		return measure_decide((uint32_t)strtoul(argv[2], NULL, 10),
			(uint32_t)strtoul(argv[3], NULL, 10), (uint32_t)strtoul(argv[4], NULL, 10),
			(uint32_t)strtoul(argv[5], NULL, 10));
	fprintf(stderr, "usage: measure state | measure decide ENDPOINTS TEAMS WAITING COUNT\n");
	return 2;
}
