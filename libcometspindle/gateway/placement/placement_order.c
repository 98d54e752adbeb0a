/*
 * placement_order.c
 * Order of the requests that wait for a service, by rank and expected slot
 * time.
 */
#include <libcometspindle/gateway/placement/placement_order.h>

#include <libcometspindle/gateway/endpoints/latency_model.h>

/* Weight of a new sample in the averages, which cover about the last hundred samples: with one
 * large request in ten, fewer would hold too few large ones. */
#define SAMPLE_WEIGHT 0.01

/* Number of samples that the initial correction of hints counts as: 1 (hints are correct) for the
 * mean of all teams, and the mean of all teams for a new team. */
#define PRIOR_HINTS 4

/* Bounds of a size relative to the mean, and of the ratio of events to hinted tokens. A size beyond
 * them gets the delay of the bound, and one above the upper bound counts as that in the mean. */
#define RELATIVE_MAX 64.0
#define RELATIVE_MIN (1 / RELATIVE_MAX)

/* Longest expected slot time: no caller waits longer for a response. */
#define SLOT_US_MAX 600000000.0

/* The delay is at most the time that a request may wait divided by this. */
#define DELAY_DIVISOR 2

/* Time that a request may wait, in target latencies, if its VM runs an earlier release, which does
 * not state the delay. Callers of streams wait for four target latencies at least, and a quarter of
 * that is reserved for processing. */
#define USUAL_WAIT_TARGETS 3.0

/* Teams whose sizes a VM stores for a service, more than three times the 570 teams that a site is
 * planned for. Sizes of further teams are compared with the mean of all teams. */
#define TEAMS_MAX 2048

/* A team without requests for this time is forgotten when there are too many. */
#define TEAM_IDLE_US 60000000

/* Octaves of relative size: up to 1/4, 1/2, 1, 2, 4, 8 times the mean, and above. */
#define SIZE_CLASSES 7
#define SMALLEST_CLASS_MAX 0.25

/* Each size class is served at no less than about this fraction of the rate of its rank. Half is
 * required; the margin allows for the few requests of a class that one VM receives. */
#define CLASS_SHARE_MIN 0.55

/* Weight of one request in the refused share of its rank, which covers about the last 20. */
#define SERVED_WEIGHT 0.05

/* Bounds of the number of requests that a size class may be owed. They limit how long a time in
 * which all requests, or hardly any, were served has an effect. */
#define OWED_MAX 2.0
#define OWED_MIN (-1.0)

/* Refused share below which no request is advanced: one refusal has an effect on the next 20
 * requests. */
#define REFUSED_MIN 0.02

/* A request gets the place of a smaller one if its class is owed at least this. Half a request is
 * the mean of a class that is served at exactly its minimum. */
#define OWED_ADVANCE 0.5

/* What is known about the sizes of the requests of one team, or of all. */
struct sizes
{
	/* Means of the requests with a known size. The mean slot time is that of the mean request.
	 * A mean of slot times would lag behind the latency model, by other amounts for teams with
	 * more and fewer requests. */
	double prompt_tokens;
	double output_tokens;
	uint32_t n_requests;
	double events_per_hint; /* mean number of events for each token of a hint */
	uint32_t n_hint;
	double last_relative; /* relative size of the last request; 0: no request yet */
	uint64_t used_us;
};

/* The requests of one rank. */
struct rank_share
{
	double refused;            /* moving average, 0 to 1 */
	double owed[SIZE_CLASSES]; /* number of requests, OWED_MIN to OWED_MAX */
};

struct comet_size_order
{
	struct sizes all;
	GHashTable *teams; /* team id -> struct sizes */
	struct rank_share ranks[COMET_ORDER_RANKS];
	struct comet_order_counts counts;
};

struct comet_size_order *
comet_size_order_create(void)
{
	struct comet_size_order *order = g_new0(struct comet_size_order, 1);

	order->teams = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	order->all.events_per_hint = 1;
	order->all.n_hint = PRIOR_HINTS;
	return order;
}

void
comet_size_order_destroy(struct comet_size_order *order)
{
	g_hash_table_destroy(order->teams);
	g_free(order);
}

const struct comet_order_counts *
comet_size_order_counts(const struct comet_size_order *order)
{
	return &order->counts;
}

static gboolean
is_idle(gpointer key, gpointer value, gpointer now_us)
{
	const struct sizes *sizes = value;

	(void)key;
	return sizes->used_us + TEAM_IDLE_US < *(const uint64_t *)now_us;
}

/* Returns the sizes of a team. Its first request is of usual size: with the mean of all teams, a
 * team of large requests would be behind until a VM has seen many of them. */
static struct sizes *
sizes_of_team(struct comet_size_order *order, uint32_t team_id, uint64_t now_us)
{
	struct sizes *sizes = g_hash_table_lookup(order->teams, GUINT_TO_POINTER(team_id));

	if (sizes != NULL)
		return sizes;
	if (g_hash_table_size(order->teams) >= TEAMS_MAX)
		g_hash_table_foreach_remove(order->teams, is_idle, &now_us);
	if (g_hash_table_size(order->teams) >= TEAMS_MAX)
		return &order->all;
	sizes = g_new0(struct sizes, 1);
	sizes->events_per_hint = order->all.events_per_hint;
	sizes->n_hint = PRIOR_HINTS;
	g_hash_table_insert(order->teams, GUINT_TO_POINTER(team_id), sizes);
	return sizes;
}

static void
add_sample(double *mean, uint32_t n, double sample)
{
	*mean += MAX(SAMPLE_WEIGHT, 1.0 / n) * (sample - *mean);
}

/* Estimates the slot time of a stream at an endpoint of usual latency. */
static double
estimate_slot_us(const struct comet_latency_model *latency_model, const struct sizes *sizes,
	double prompt_tokens, double output_tokens)
{
	/* The time per output token includes requests without a hint, so it is used only until the
	 * time per event is known. */
	bool known = comet_latency_model_known(latency_model, COMET_LATENCY_KIND_EVENT);
	double event_us = comet_latency_model_mean_us(
		latency_model, known ? COMET_LATENCY_KIND_EVENT : COMET_LATENCY_KIND_TOKEN);

	return comet_latency_model_first_us(latency_model, (uint32_t)prompt_tokens) +
	       output_tokens * sizes->events_per_hint * event_us;
}

static bool
has_size(const struct comet_order_input *input)
{
	return input->latency_model != NULL && input->hinted && input->size.stream &&
	       input->size.output_tokens > 0 &&
	       input->size.output_tokens <= COMET_ORDER_OUTPUT_TOKENS_MAX;
}

static double
bounded(double sample, double mean, uint32_t n)
{
	return n > 0 ? MIN(sample, RELATIVE_MAX * MAX(mean, 1)) : sample;
}

static void
learn_size(struct sizes *sizes, const struct comet_request_size *size)
{
	double prompt_tokens =
		bounded(size->prompt_tokens, sizes->prompt_tokens, sizes->n_requests);
	double output_tokens =
		bounded(size->output_tokens, sizes->output_tokens, sizes->n_requests);

	sizes->n_requests++;
	add_sample(&sizes->prompt_tokens, sizes->n_requests, prompt_tokens);
	add_sample(&sizes->output_tokens, sizes->n_requests, output_tokens);
}

/* Estimates the slot time of a request and the mean one. @return the size relative to the mean */
static double
compare_to_mean(const struct sizes *sizes, const struct comet_order_input *input,
	struct comet_order_place *place)
{
	double slot_us = estimate_slot_us(
		input->latency_model, sizes, input->size.prompt_tokens, input->size.output_tokens);
	double mean_us = estimate_slot_us(
		input->latency_model, sizes, sizes->prompt_tokens, sizes->output_tokens);

	place->slot_us = (uint64_t)MIN(slot_us, SLOT_US_MAX);
	place->mean_slot_us = (uint64_t)MIN(mean_us, SLOT_US_MAX);
	return CLAMP(slot_us / mean_us, RELATIVE_MIN, RELATIVE_MAX);
}

static uint32_t
class_of(double relative)
{
	uint32_t size_class = 0;

	for (double max = SMALLEST_CLASS_MAX; relative > max && size_class < SIZE_CLASSES - 1;
		max *= 2)
		size_class++;
	return size_class;
}

static struct rank_share *
share_of(struct comet_size_order *order, uint32_t rank)
{
	return &order->ranks[MIN(rank, COMET_ORDER_RANKS - 1)];
}

/* Counts a request of a size class. @return whether too few requests of its class are served */
static bool
is_owed(struct rank_share *share, uint32_t size_class)
{
	double *owed = &share->owed[size_class];

	*owed = MIN(*owed + CLASS_SHARE_MIN * (1 - share->refused), OWED_MAX);
	return share->refused >= REFUSED_MIN && *owed >= OWED_ADVANCE;
}

/* The order alone would starve large requests while smaller ones exceed the capacity, since a
 * request that has waited for its target latency goes behind those in time. A request of a class
 * that is owed therefore gets the place of the team's previous request, so it is served as often as
 * the requests of its team are on average. */
static double
advance(struct comet_size_order *order, const struct sizes *sizes, double relative,
	struct comet_order_place *place)
{
	if (sizes->last_relative == 0 || sizes->last_relative >= relative)
		return relative;
	place->advanced = true;
	order->counts.advanced++;
	return sizes->last_relative;
}

struct comet_order_place
comet_size_order_place(
	struct comet_size_order *order, const struct comet_order_input *input, uint64_t now_us)
{
	struct comet_order_place place = {0};
	struct sizes *sizes = sizes_of_team(order, input->team_id, now_us);
	double relative = 1;

	sizes->used_us = now_us;
	if (has_size(input))
	{
		order->counts.sized++;
		learn_size(sizes, &input->size);
		if (sizes != &order->all)
			learn_size(&order->all, &input->size);
		relative = compare_to_mean(sizes, input, &place);
	}
	else
		order->counts.unsized++;
	place.size_class = class_of(relative);
	double own = relative;
	if (is_owed(share_of(order, input->rank), place.size_class))
		relative = advance(order, sizes, relative, &place);
	sizes->last_relative = own;
	/* While no size is known, the order is that of arrival. Among requests with sizes, one
	 * without counts as one of usual size, or callers would gain by not stating it. */
	if (order->all.n_requests > 0)
		place.delay_us = (uint64_t)MIN((double)input->target_us * relative,
			(double)input->may_wait_us / DELAY_DIVISOR);
	return place;
}

uint64_t
comet_size_order_remote_delay_us(
	const struct comet_size_order *order, const struct comet_order_input *input)
{
	struct comet_order_place place = {0};
	double relative = 1;

	if (order->all.n_requests == 0)
		return 0;
	if (has_size(input))
		relative = compare_to_mean(&order->all, input, &place);
	return (uint64_t)((double)input->target_us *
			  MIN(relative, USUAL_WAIT_TARGETS / DELAY_DIVISOR));
}

void
comet_size_order_ended(
	struct comet_size_order *order, uint32_t rank, uint32_t size_class, bool served)
{
	struct rank_share *share = share_of(order, rank);
	double *owed = &share->owed[MIN(size_class, SIZE_CLASSES - 1)];

	share->refused += SERVED_WEIGHT * ((served ? 0 : 1) - share->refused);
	if (served)
		*owed = MAX(*owed - 1, OWED_MIN);
}

void
comet_size_order_learn_hint(
	struct comet_size_order *order, uint32_t team_id, uint32_t hint, uint32_t events)
{
	struct sizes *sizes = g_hash_table_lookup(order->teams, GUINT_TO_POINTER(team_id));

	if (hint == 0 || hint > COMET_ORDER_OUTPUT_TOKENS_MAX || events == 0)
		return;
	double error = CLAMP((double)events / hint, RELATIVE_MIN, RELATIVE_MAX);
	add_sample(&order->all.events_per_hint, ++order->all.n_hint, error);
	if (sizes != NULL)
		add_sample(&sizes->events_per_hint, ++sizes->n_hint, error);
}

bool
comet_order_is_large(uint64_t delay_us, uint64_t target_us)
{
	return delay_us > target_us + target_us / 4;
}

gint
comet_placement_compare(gconstpointer left, gconstpointer right, gpointer ctx)
{
	const struct comet_placement_item *a = left;
	const struct comet_placement_item *b = right;

	(void)ctx;
	if (a->team_rank != b->team_rank)
		return a->team_rank < b->team_rank ? -1 : 1;
	if (a->route_rank != b->route_rank)
		return a->route_rank < b->route_rank ? -1 : 1;
	if (a->late != b->late)
		return a->late ? 1 : -1;
	if (a->returned != b->returned)
		return a->returned ? -1 : 1;
	if (a->order_us != b->order_us)
		return a->order_us < b->order_us ? -1 : 1;
	if (a->sequence == b->sequence)
		return 0;
	return a->sequence < b->sequence ? -1 : 1;
}
