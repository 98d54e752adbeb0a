/*
 * claims.c
 * the memory of idempotency keys: at most once without a shared store
 */
#include <libcometspindle/claims.h>

#include <glib.h>
#include <libcometspindle/hash.h>
#include <stdbool.h>
#include <string.h>
#include <talloc.h>

/* Lists remembered, newest first; keys older than the oldest are not vouched for. */
#define LISTS_MAX 16

struct list_version
{
	uint64_t since_ms;
	uint64_t *ids;
	size_t count;
};

struct claim
{
	uint64_t key;
	uint64_t holder;
	uint64_t request;
	uint64_t recorded_ms;
	GList *age;
};

struct comet_claims
{
	uint64_t self_id;
	uint64_t vouch_from_ms;
	uint32_t lifetime_ms;
	uint32_t skew_ms;
	struct list_version lists[LISTS_MAX];
	size_t n_lists;
	GHashTable *by_key;
	GQueue ages; /* oldest first */
};

static int
claims_destructor(struct comet_claims *claims)
{
	g_hash_table_destroy(claims->by_key);
	g_queue_clear(&claims->ages);
	return 0;
}

struct comet_claims *
comet_claims_create(void *parent, uint64_t self_id, uint64_t started_ms)
{
	struct comet_claims *claims = talloc_zero(parent, struct comet_claims);

	claims->self_id = self_id;
	claims->vouch_from_ms = started_ms;
	claims->by_key = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&claims->ages);
	talloc_set_destructor(claims, claims_destructor);
	return claims;
}

void
comet_claims_set_limits(struct comet_claims *claims, uint32_t lifetime_s, uint32_t skew_ms)
{
	claims->lifetime_ms = lifetime_s * 1000;
	claims->skew_ms = skew_ms;
}

static bool
same_list(const struct list_version *list, const uint64_t *ids, size_t count)
{
	return list->count == count && memcmp(list->ids, ids, count * sizeof *ids) == 0;
}

void
comet_claims_set_list(
	struct comet_claims *claims, const uint64_t *ids, size_t count, uint64_t now_ms)
{
	if (claims->n_lists > 0 && same_list(&claims->lists[0], ids, count))
		return;
	if (claims->n_lists == LISTS_MAX)
		talloc_free(claims->lists[--claims->n_lists].ids);
	memmove(&claims->lists[1], &claims->lists[0], claims->n_lists * sizeof claims->lists[0]);
	claims->n_lists++;
	claims->lists[0].since_ms = now_ms;
	claims->lists[0].ids = talloc_memdup(claims, ids, count * sizeof *ids);
	claims->lists[0].count = count;
}

void
comet_claims_paused(struct comet_claims *claims, uint64_t now_ms)
{
	claims->vouch_from_ms = now_ms;
}

size_t
comet_claims_group(
	const uint64_t *ids, size_t count, uint64_t key, uint64_t group[COMET_CLAIM_GROUP_MAX])
{
	uint64_t scores[COMET_CLAIM_GROUP_MAX];
	size_t size = 0;

	for (size_t i = 0; i < count; i++)
	{
		uint64_t score = comet_hash_score(key, ids[i]);
		size_t at = size;
		while (at > 0 && scores[at - 1] < score)
			at--;
		if (at == COMET_CLAIM_GROUP_MAX)
			continue;
		size_t move = (size < COMET_CLAIM_GROUP_MAX ? size : size - 1) - at;
		memmove(&scores[at + 1], &scores[at], move * sizeof *scores);
		memmove(&group[at + 1], &group[at], move * sizeof *group);
		scores[at] = score;
		group[at] = ids[i];
		if (size < COMET_CLAIM_GROUP_MAX)
			size++;
	}
	return size;
}

size_t
comet_claims_quorum(size_t group_size)
{
	return group_size < COMET_CLAIM_GROUP_MAX ? group_size : group_size - 1;
}

static bool
in_group(const struct comet_claims *claims, const struct list_version *list, uint64_t key)
{
	uint64_t group[COMET_CLAIM_GROUP_MAX];
	size_t size = comet_claims_group(list->ids, list->count, key, group);

	for (size_t i = 0; i < size; i++)
	{
		if (group[i] == claims->self_id)
			return true;
	}
	return false;
}

/* True when this VM would surely know of any claim on the key since it was first sent. */
static bool
can_vouch(const struct comet_claims *claims, uint64_t key, uint64_t first_sent_ms, uint64_t now_ms)
{
	uint64_t skew = claims->skew_ms;

	if (first_sent_ms < claims->vouch_from_ms + skew)
		return false;
	if (first_sent_ms > now_ms + skew)
		return false; /* from the future: its age cannot be told */
	if (now_ms > first_sent_ms + claims->lifetime_ms)
		return false;
	for (size_t i = 0; i < claims->n_lists; i++)
	{
		if (!in_group(claims, &claims->lists[i], key))
			return false;
		if (claims->lists[i].since_ms + skew <= first_sent_ms)
			return true; /* this list was already in force then */
	}
	return false;
}

enum comet_claim_answer
comet_claims_record(struct comet_claims *claims, uint64_t key, uint64_t first_sent_ms,
	uint64_t holder, uint64_t request, uint64_t now_ms)
{
	struct claim *claim = g_hash_table_lookup(claims->by_key, &key);

	if (claim != NULL)
		return claim->holder == holder && claim->request == request ? COMET_CLAIM_GRANTED
									    : COMET_CLAIM_SEEN;
	if (!can_vouch(claims, key, first_sent_ms, now_ms))
		return COMET_CLAIM_UNSURE;
	claim = g_new0(struct claim, 1);
	claim->key = key;
	claim->holder = holder;
	claim->request = request;
	claim->recorded_ms = now_ms;
	g_queue_push_tail(&claims->ages, claim);
	claim->age = claims->ages.tail;
	g_hash_table_insert(claims->by_key, &claim->key, claim);
	return COMET_CLAIM_GRANTED;
}

static void
claim_remove(struct comet_claims *claims, struct claim *claim)
{
	g_queue_delete_link(&claims->ages, claim->age);
	g_hash_table_remove(claims->by_key, &claim->key);
}

void
comet_claims_release(struct comet_claims *claims, uint64_t key, uint64_t holder, uint64_t request)
{
	struct claim *claim = g_hash_table_lookup(claims->by_key, &key);

	if (claim != NULL && claim->holder == holder && claim->request == request)
		claim_remove(claims, claim);
}

void
comet_claims_expire(struct comet_claims *claims, uint64_t now_ms)
{
	/* past lifetime and twice the skew, can_vouch refuses the key by its age alone */
	uint64_t keep_ms = claims->lifetime_ms + 2ULL * claims->skew_ms;
	struct claim *claim = g_queue_peek_head(&claims->ages);

	while (claim != NULL && claim->recorded_ms + keep_ms < now_ms)
	{
		claim_remove(claims, claim);
		claim = g_queue_peek_head(&claims->ages);
	}
}
