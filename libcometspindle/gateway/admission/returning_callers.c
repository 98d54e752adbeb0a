/*
 * returning_callers.c
 * recognizes callers that come back after a refusal, at whichever VM
 */
#include <libcometspindle/gateway/admission/returning_callers.h>

#include <glib.h>
#include <libcometspindle/gateway/messages/pending_rpcs.h>
#include <talloc.h>

/* Share of the time until the caller is expected after which it may come back. A caller may know of
 * a shorter deadline than the VM, or vary its times; one that comes back at once ignores the
 * Retry-After. */
#define EARLIEST_RETURN_SHARE 0.5

/* Interval at which expired records are removed. A lookup does not find expired records, so they
 * only take memory. */
#define EXPIRY_INTERVAL_US 1000000

/* Maximum number of records for one digest. A plain request without a body is equal for many
 * callers, and a lookup visits all its records. */
#define EQUAL_RECORDS_MAX 64

/* Smallest age that is recorded: most newcomers are refused within a millisecond, and 0 means that
 * the age is not known. */
#define AGE_MIN_US 1000

/* A refusal whose caller is expected. */
struct record
{
	uint64_t earliest_us;
	uint64_t until_us;
	uint64_t recorded_us;
	uint64_t age_us; /* of the caller's first attempt, when this was recorded; 0: not known */
};

struct comet_returning_callers
{
	uint32_t address;
	const struct comet_returning_callers_ops *ops;
	void *ctx;
	struct comet_pending_rpcs *lookups; /* entries are struct comet_pending_rpc */
	GHashTable *records;                /* digest -> GArray of struct record */
	uint32_t n_records;
	uint64_t expired_us; /* when expired records were last removed */
	struct comet_returning_callers_counts counts;
};

static int
returning_callers_destroy(struct comet_returning_callers *callers)
{
	g_hash_table_destroy(callers->records);
	return 0;
}

static void
free_records(gpointer data)
{
	g_array_free(data, TRUE);
}

struct comet_returning_callers *
comet_returning_callers_create(
	void *parent, uint32_t address, const struct comet_returning_callers_ops *ops, void *ctx)
{
	struct comet_returning_callers *callers =
		talloc_zero(parent, struct comet_returning_callers);

	callers->address = address;
	callers->ops = ops;
	callers->ctx = ctx;
	callers->lookups = comet_pending_rpcs_create(callers, sizeof(struct comet_pending_rpc));
	callers->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free_records);
	talloc_set_destructor(callers, returning_callers_destroy);
	return callers;
}

static void
send_datagram(
	struct comet_returning_callers *callers, uint32_t address, const comet_Datagram *datagram)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = comet_datagram_encode(datagram, data);

	callers->ops->send(callers->ctx, address, data, length);
}

static void
store(struct comet_returning_callers *callers, const struct comet_refused_caller *refused,
	uint64_t now_us)
{
	uint64_t due_us = MIN(refused->due_us, COMET_RETURNING_CALLERS_LIFETIME_MAX_US);
	const struct record record = {
		.earliest_us = now_us + (uint64_t)((double)due_us * EARLIEST_RETURN_SHARE),
		.until_us = now_us + MIN(refused->left_us, COMET_RETURNING_CALLERS_LIFETIME_MAX_US),
		.recorded_us = now_us,
		.age_us = MIN(refused->age_us, COMET_RETURNING_CALLERS_LIFETIME_MAX_US),
	};
	GArray *records = g_hash_table_lookup(callers->records, &refused->digest);

	if (callers->n_records >= COMET_RETURNING_CALLERS_MAX ||
		(records != NULL && records->len >= EQUAL_RECORDS_MAX))
	{
		callers->counts.dropped++;
		callers->ops->dropped(callers->ctx, refused->digest);
		return;
	}
	if (records == NULL)
	{
		records = g_array_new(FALSE, FALSE, sizeof(struct record));
		g_hash_table_insert(callers->records,
			g_memdup2(&refused->digest, sizeof refused->digest), records);
	}
	g_array_append_val(records, record);
	callers->n_records++;
	callers->counts.recorded++;
}

/* Uses up the record that expires first of those whose callers may come back now, and sets the age
 * of its caller's first attempt.
 * @return whether there is one */
static bool
take(struct comet_returning_callers *callers, uint64_t digest, uint64_t now_us,
	uint64_t *caller_age_us)
{
	GArray *records = g_hash_table_lookup(callers->records, &digest);
	uint64_t until_us = UINT64_MAX;
	guint found = 0;

	for (guint i = 0; records != NULL && i < records->len; i++)
	{
		const struct record *record = &g_array_index(records, struct record, i);
		if (record->earliest_us > now_us || record->until_us <= now_us ||
			record->until_us >= until_us)
			continue;
		until_us = record->until_us;
		found = i;
	}
	if (until_us == UINT64_MAX)
		return false;
	const struct record *record = &g_array_index(records, struct record, found);
	*caller_age_us = record->age_us != 0 ? record->age_us + now_us - record->recorded_us : 0;
	g_array_remove_index_fast(records, found);
	if (records->len == 0)
		g_hash_table_remove(callers->records, &digest);
	callers->n_records--;
	callers->counts.used++;
	return true;
}

void
comet_returning_callers_record(struct comet_returning_callers *callers, uint32_t owner_vm,
	const struct comet_refused_caller *refused, uint64_t now_us)
{
	uint64_t due_us = MIN(refused->due_us, COMET_RETURNING_CALLERS_LIFETIME_MAX_US);
	uint64_t left_us = MIN(refused->left_us, COMET_RETURNING_CALLERS_LIFETIME_MAX_US);
	struct comet_refused_caller own = *refused;
	own.age_us = CLAMP(refused->age_us, AGE_MIN_US, COMET_RETURNING_CALLERS_LIFETIME_MAX_US);
	const comet_Datagram datagram = {
		.which_body = comet_Datagram_refused_tag,
		.body.refused =
			{
				.digest = refused->digest,
				.due_ms = (uint32_t)(due_us / 1000),
				.left_ms = (uint32_t)(left_us / 1000),
				.age_ms = (uint32_t)(own.age_us / 1000),
			},
	};

	if (owner_vm == callers->address)
		store(callers, &own, now_us);
	else if (owner_vm != 0)
		send_datagram(callers, owner_vm, &datagram);
}

enum comet_return_lookup
comet_returning_callers_look_up(struct comet_returning_callers *callers, void *user_data,
	uint32_t owner_vm, uint64_t digest, uint64_t now_us, uint64_t *caller_age_us)
{
	if (owner_vm == 0)
		return COMET_RETURN_NEWCOMER;
	if (owner_vm == callers->address)
		return take(callers, digest, now_us, caller_age_us) ? COMET_RETURN_RETURNED
								    : COMET_RETURN_NEWCOMER;
	const struct comet_pending_rpc *lookup =
		comet_pending_rpcs_add(callers->lookups, user_data, owner_vm, now_us);
	const comet_Datagram datagram = {
		.which_body = comet_Datagram_refused_ask_tag,
		.body.refused_ask =
			{
				.asker = callers->address,
				.number = lookup->number,
				.digest = digest,
			},
	};
	send_datagram(callers, owner_vm, &datagram);
	return COMET_RETURN_PENDING;
}

void
comet_returning_callers_cancel(struct comet_returning_callers *callers, const void *user_data)
{
	struct comet_pending_rpc *lookup =
		comet_pending_rpcs_find_user_data(callers->lookups, user_data);

	if (lookup != NULL)
		comet_pending_rpcs_remove(callers->lookups, lookup);
}

static void
answer_lookup(struct comet_returning_callers *callers, const comet_RefusedAsk *ask, uint64_t now_us)
{
	uint64_t caller_age_us = 0;
	bool known = take(callers, ask->digest, now_us, &caller_age_us);
	const comet_Datagram datagram = {
		.which_body = comet_Datagram_refused_answer_tag,
		.body.refused_answer =
			{
				.keeper = callers->address,
				.number = ask->number,
				.known = known,
				.age_ms = (uint32_t)(caller_age_us / 1000),
			},
	};

	callers->counts.answered++;
	send_datagram(callers, ask->asker, &datagram);
}

static void
handle_answer(
	struct comet_returning_callers *callers, const comet_RefusedAnswer *answer, uint64_t now_us)
{
	comet_pending_rpcs_answered(callers->lookups, answer->number, answer->keeper, now_us);
	struct comet_pending_rpc *found =
		comet_pending_rpcs_find(callers->lookups, answer->number, answer->keeper);

	if (found == NULL)
		return; /* the lookup has expired, or its request is gone */
	const struct comet_pending_rpc lookup = *found;
	comet_pending_rpcs_remove(callers->lookups, found);
	/* The age when it was recorded and the time since then are at most a lifetime each. */
	callers->ops->ended(callers->ctx, lookup.user_data, lookup.vm,
		answer->known ? COMET_RETURN_RETURNED : COMET_RETURN_NEWCOMER,
		now_us - MIN(lookup.sent_us, now_us),
		MIN((uint64_t)answer->age_ms * 1000, 2 * COMET_RETURNING_CALLERS_LIFETIME_MAX_US));
}

bool
comet_returning_callers_receive(
	struct comet_returning_callers *callers, const comet_Datagram *datagram, uint64_t now_us)
{
	const struct comet_refused_caller refused = {
		.digest = datagram->body.refused.digest,
		.due_us = (uint64_t)datagram->body.refused.due_ms * 1000,
		.left_us = (uint64_t)datagram->body.refused.left_ms * 1000,
		.age_us = (uint64_t)datagram->body.refused.age_ms * 1000,
	};

	switch (datagram->which_body)
	{
	case comet_Datagram_refused_tag:
		store(callers, &refused, now_us);
		return true;
	case comet_Datagram_refused_ask_tag:
		answer_lookup(callers, &datagram->body.refused_ask, now_us);
		return true;
	case comet_Datagram_refused_answer_tag:
		handle_answer(callers, &datagram->body.refused_answer, now_us);
		return true;
	default:
		return false;
	}
}

static void
remove_expired_records(struct comet_returning_callers *callers, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, callers->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		GArray *records = value;
		for (guint i = records->len; i-- > 0;)
		{
			if (g_array_index(records, struct record, i).until_us > now_us)
				continue;
			g_array_remove_index_fast(records, i);
			callers->n_records--;
			callers->counts.expired++;
		}
		if (records->len == 0)
			g_hash_table_iter_remove(&iter);
	}
}

bool
comet_returning_callers_tick(struct comet_returning_callers *callers, uint64_t now_us)
{
	struct comet_pending_rpc *expired = NULL;

	while ((expired = comet_pending_rpcs_find_expired(callers->lookups, now_us)) != NULL)
	{
		const struct comet_pending_rpc lookup = *expired;
		comet_pending_rpcs_remove(callers->lookups, expired);
		comet_pending_rpcs_expired(callers->lookups, &lookup, now_us);
		callers->ops->ended(callers->ctx, lookup.user_data, lookup.vm,
			COMET_RETURN_UNANSWERED, now_us - lookup.sent_us, 0);
	}
	if (now_us - callers->expired_us >= EXPIRY_INTERVAL_US)
	{
		callers->expired_us = now_us;
		remove_expired_records(callers, now_us);
	}
	return comet_pending_rpcs_has_pending(callers->lookups);
}

bool
comet_returning_callers_is_unresponsive(
	const struct comet_returning_callers *callers, uint32_t vm, uint64_t now_us)
{
	return comet_pending_rpcs_is_unresponsive(callers->lookups, vm, now_us);
}

uint32_t
comet_returning_callers_owner_key(uint64_t digest)
{
	return (uint32_t)(digest ^ digest >> 32);
}

uint32_t
comet_returning_callers_count(const struct comet_returning_callers *callers)
{
	return callers->n_records;
}

const struct comet_returning_callers_counts *
comet_returning_callers_counts(const struct comet_returning_callers *callers)
{
	return &callers->counts;
}
