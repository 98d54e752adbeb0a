/*
 * membership.c
 * which VMs are live: the platform says who may be, probes say who is
 */
#include <libcometspindle/membership.h>

#include <glib.h>
#include <inttypes.h>
#include <libcometspindle/hash.h>
#include <libcometspindle/log.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Up to this many VMs, probes are frequent; above, cost per VM stays constant. */
#define SMALL_FLEET 16
#define SMALL_PERIOD_US 200000ULL
#define SMALL_PROBES 2
#define LARGE_PERIOD_US 500000ULL
#define LARGE_PROBES 1
#define EAGER_PERIOD_US 400000ULL
#define PROBE_TIMEOUT_US 500000ULL
#define SUSPECT_US 700000ULL
/* A rumor is sent on this many times the logarithm of the fleet's size. */
#define RUMOR_FACTOR 3

struct rumor
{
	uint64_t vm;
	uint64_t incarnation;
	enum comet_member_state state;
	uint32_t sends_left;
};

struct comet_membership
{
	uint64_t self_id;
	uint64_t incarnation;
	bool leaving;
	bool eager;
	const struct comet_membership_ops *ops;
	void *ctx;
	GHashTable *by_id; /* id -> comet_member */
	struct comet_member **members;
	size_t n_members;
	size_t next_probe;
	uint64_t next_period_us;
	GArray *rumors;
	uint64_t *live;
	size_t n_live;
	bool live_stale;
};

static int
membership_destructor(struct comet_membership *membership)
{
	g_hash_table_destroy(membership->by_id);
	g_array_free(membership->rumors, TRUE);
	return 0;
}

struct comet_membership *
comet_membership_create(void *parent, uint64_t self_id, uint64_t incarnation,
	const struct comet_membership_ops *ops, void *ctx)
{
	struct comet_membership *membership = talloc_zero(parent, struct comet_membership);

	membership->self_id = self_id;
	membership->incarnation = incarnation;
	membership->ops = ops;
	membership->ctx = ctx;
	membership->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	membership->rumors = g_array_new(FALSE, TRUE, sizeof(struct rumor));
	membership->live_stale = true;
	talloc_set_destructor(membership, membership_destructor);
	return membership;
}

static void
roles_changed(struct comet_membership *membership)
{
	membership->live_stale = true;
	membership->ops->changed(membership->ctx);
}

static uint32_t
log2_ceil(size_t count)
{
	uint32_t bits = 1;

	while ((1ULL << bits) < count + 1)
		bits++;
	return bits;
}

static void
spread(struct comet_membership *membership, uint64_t vm, uint64_t incarnation,
	enum comet_member_state state)
{
	struct rumor rumor = {
		vm, incarnation, state, RUMOR_FACTOR * log2_ceil(membership->n_members)};

	for (guint i = 0; i < membership->rumors->len; i++)
	{
		struct rumor *old = &g_array_index(membership->rumors, struct rumor, i);
		if (old->vm == vm)
		{
			*old = rumor;
			return;
		}
	}
	g_array_append_val(membership->rumors, rumor);
}

/* Whether it may hold roles, its leaving aside. */
static bool
is_live(const struct comet_member *member)
{
	return member->state == COMET_MEMBER_ALIVE || member->state == COMET_MEMBER_SUSPECT;
}

static void
set_state(struct comet_membership *membership, struct comet_member *member,
	enum comet_member_state state, const char *evidence)
{
	enum comet_member_state before = member->state;
	bool was_live = is_live(member);

	if (before == state)
		return;
	member->state = state;
	comet_log(COMET_LOG_NOTICE,
		"event=member vm=%s state=%s was=%s incarnation=%" PRIu64 " evidence=%s",
		member->name, comet_member_state_name(state), comet_member_state_name(before),
		member->incarnation, evidence);
	spread(membership, member->id, member->incarnation, state);
	if (state == COMET_MEMBER_DEAD)
		membership->ops->died(membership->ctx, member->id);
	if (was_live != is_live(member))
		roles_changed(membership);
}

static void
member_update(struct comet_member *member, const struct comet_vm *vm)
{
	talloc_free(member->peer);
	talloc_free(member->caller);
	talloc_free(member->zone);
	member->peer = talloc_strdup(member, vm->peer);
	member->caller = talloc_strdup(member, vm->caller);
	member->zone = talloc_strdup(member, vm->zone);
	member->listed = true;
	if (vm->leaving)
		member->leaving = true;
}

static struct comet_member *
member_add(struct comet_membership *membership, const struct comet_vm *vm)
{
	struct comet_member *member = talloc_zero(membership, struct comet_member);

	member->id = vm->id;
	member->name = talloc_strdup(member, vm->name);
	membership->members = talloc_realloc(membership, membership->members, struct comet_member *,
		(unsigned int)membership->n_members + 1);
	membership->members[membership->n_members++] = member;
	g_hash_table_insert(membership->by_id, &member->id, member);
	return member;
}

static void
drop_unlisted(struct comet_membership *membership)
{
	size_t kept = 0;

	for (size_t i = 0; i < membership->n_members; i++)
	{
		struct comet_member *member = membership->members[i];
		if (member->listed)
		{
			membership->members[kept++] = member;
			continue;
		}
		if (member->state != COMET_MEMBER_DEAD)
			membership->ops->died(membership->ctx, member->id);
		g_hash_table_remove(membership->by_id, &member->id);
		talloc_free(member);
	}
	membership->n_members = kept;
}

void
comet_membership_set_list(
	struct comet_membership *membership, const struct comet_vm *vms, size_t count)
{
	for (size_t i = 0; i < membership->n_members; i++)
		membership->members[i]->listed = false;
	for (size_t i = 0; i < count; i++)
	{
		if (vms[i].id == membership->self_id)
			continue;
		struct comet_member *member = comet_membership_find(membership, vms[i].id);
		if (member == NULL)
			member = member_add(membership, &vms[i]);
		member_update(member, &vms[i]);
	}
	drop_unlisted(membership);
	roles_changed(membership);
}

struct comet_member *
comet_membership_find(struct comet_membership *membership, uint64_t id)
{
	return g_hash_table_lookup(membership->by_id, &id);
}

struct comet_member *const *
comet_membership_all(const struct comet_membership *membership, size_t *count)
{
	*count = membership->n_members;
	return membership->members;
}

bool
comet_membership_usable(
	const struct comet_membership *membership, const struct comet_member *member)
{
	size_t heard = 1; /* this VM */

	if (member->leaving)
		return false;
	if (is_live(member))
		return true;
	for (size_t i = 0; i < membership->n_members; i++)
		heard += is_live(membership->members[i]) ? 1 : 0;
	return 2 * heard < comet_membership_listed(membership);
}

size_t
comet_membership_listed(const struct comet_membership *membership)
{
	return membership->n_members + 1;
}

const uint64_t *
comet_membership_live(struct comet_membership *membership, size_t *count)
{
	if (membership->live_stale)
	{
		membership->live = talloc_realloc(membership, membership->live, uint64_t,
			(unsigned int)membership->n_members + 1);
		membership->n_live = 0;
		if (!membership->leaving)
			membership->live[membership->n_live++] = membership->self_id;
		for (size_t i = 0; i < membership->n_members; i++)
		{
			const struct comet_member *member = membership->members[i];
			if (!member->leaving && is_live(member))
				membership->live[membership->n_live++] = member->id;
		}
		if (membership->n_live == 0) /* everyone leaves: someone must still decide */
			membership->live[membership->n_live++] = membership->self_id;
		qsort(membership->live, membership->n_live, sizeof *membership->live,
			comet_hash_compare_ids);
		membership->live_stale = false;
	}
	*count = membership->n_live;
	return membership->live;
}

void
comet_membership_set_eager(struct comet_membership *membership, bool eager)
{
	membership->eager = eager;
}

static void
probe_some(struct comet_membership *membership, uint64_t now_us)
{
	bool small = membership->n_members < SMALL_FLEET;
	size_t probes = small ? SMALL_PROBES : LARGE_PROBES;
	uint64_t period_us = small ? SMALL_PERIOD_US : LARGE_PERIOD_US;

	if (membership->eager)
	{
		probes = membership->n_members;
		period_us = EAGER_PERIOD_US;
	}
	membership->next_period_us = now_us + period_us;
	for (size_t i = 0; i < probes && i < membership->n_members; i++)
	{
		size_t index = membership->next_probe++ % membership->n_members;
		struct comet_member *member = membership->members[index];
		if (member->ping_sent_us == 0)
			member->ping_sent_us = now_us;
		membership->ops->probe(membership->ctx, member);
	}
}

static void
check_silent(struct comet_membership *membership, struct comet_member *member, uint64_t now_us)
{
	bool overdue =
		member->ping_sent_us != 0 && now_us - member->ping_sent_us > PROBE_TIMEOUT_US;

	if (member->state == COMET_MEMBER_ALIVE && overdue)
	{
		member->suspect_us = now_us;
		set_state(membership, member, COMET_MEMBER_SUSPECT, "probe_unanswered");
	}
	else if (member->state == COMET_MEMBER_SUSPECT && now_us - member->suspect_us > SUSPECT_US)
		set_state(membership, member, COMET_MEMBER_DEAD, "not_refuted");
}

void
comet_membership_tick(struct comet_membership *membership, uint64_t now_us)
{
	for (size_t i = 0; i < membership->n_members; i++)
		check_silent(membership, membership->members[i], now_us);
	if (now_us >= membership->next_period_us)
		probe_some(membership, now_us);
}

static void
heard_rumor(struct comet_membership *membership, const comet_Rumor *rumor, uint64_t now_us)
{
	enum comet_member_state state = (enum comet_member_state)rumor->state;

	if (rumor->vm == membership->self_id)
	{
		if (state != COMET_MEMBER_ALIVE && rumor->incarnation >= membership->incarnation)
		{
			membership->incarnation = rumor->incarnation + 1;
			spread(membership, membership->self_id, membership->incarnation,
				COMET_MEMBER_ALIVE);
		}
		return;
	}
	struct comet_member *member = comet_membership_find(membership, rumor->vm);
	if (member == NULL || rumor->incarnation < member->incarnation)
		return;
	bool newer = rumor->incarnation > member->incarnation;
	bool fresh = member->last_seen_us != 0 && now_us - member->last_seen_us < PROBE_TIMEOUT_US;
	member->incarnation = rumor->incarnation;
	if (state == COMET_MEMBER_ALIVE && newer)
	{
		member->ping_sent_us = 0;
		set_state(membership, member, COMET_MEMBER_ALIVE, "rumor");
	}
	else if (state == COMET_MEMBER_SUSPECT && member->state == COMET_MEMBER_ALIVE && !fresh)
	{
		member->suspect_us = now_us;
		set_state(membership, member, COMET_MEMBER_SUSPECT, "rumor");
	}
	else if (state == COMET_MEMBER_DEAD && member->state == COMET_MEMBER_SUSPECT && !fresh)
		set_state(membership, member, COMET_MEMBER_DEAD, "rumor");
}

/* Only replies carry promises, and only to later pings than the last: news may overtake. */
static void
heard_promises(struct comet_member *member, const comet_Ping *ping)
{
	member->want_floor = ping->want_floor;
	if (!ping->reply || ping->sent_us < member->promise_us)
		return;
	member->keep_below = ping->keep_below;
	member->shed_from = ping->shed_from;
	member->promise_us = ping->sent_us;
}

void
comet_membership_heard(
	struct comet_membership *membership, uint64_t from, const comet_Ping *ping, uint64_t now_us)
{
	struct comet_member *member = comet_membership_find(membership, from);

	if (member == NULL || ping->incarnation < member->incarnation)
		return;
	member->incarnation = ping->incarnation;
	member->last_seen_us = now_us;
	member->bundle_version = ping->bundle_version;
	if (ping->reply)
		member->ping_sent_us = 0;
	heard_promises(member, ping);
	if (ping->leaving && !member->leaving)
	{
		member->leaving = true;
		comet_log(COMET_LOG_NOTICE, "event=member vm=%s leaving=1", member->name);
		roles_changed(membership);
	}
	set_state(membership, member, COMET_MEMBER_ALIVE, "heard");
	for (pb_size_t i = 0; i < ping->rumors_count; i++)
		heard_rumor(membership, &ping->rumors[i], now_us);
}

void
comet_membership_fill(struct comet_membership *membership, comet_Ping *ping)
{
	GArray *rumors = membership->rumors;
	guint i = 0;

	ping->incarnation = membership->incarnation;
	ping->leaving = membership->leaving;
	while (i < rumors->len && ping->rumors_count < G_N_ELEMENTS(ping->rumors))
	{
		struct rumor *rumor = &g_array_index(rumors, struct rumor, i);
		comet_Rumor *out = &ping->rumors[ping->rumors_count++];
		out->vm = rumor->vm;
		out->incarnation = rumor->incarnation;
		out->state = rumor->state;
		if (--rumor->sends_left == 0)
			g_array_remove_index_fast(rumors, i);
		else
			i++;
	}
}

void
comet_membership_renew(struct comet_membership *membership)
{
	membership->incarnation++;
	spread(membership, membership->self_id, membership->incarnation, COMET_MEMBER_ALIVE);
	for (size_t i = 0; i < membership->n_members; i++)
		membership->members[i]->ping_sent_us = 0;
}

void
comet_membership_set_leaving(struct comet_membership *membership)
{
	membership->leaving = true;
	roles_changed(membership);
}

const char *
comet_member_state_name(enum comet_member_state state)
{
	static const char *const names[] = {"unknown", "alive", "suspect", "dead"};

	return (size_t)state < G_N_ELEMENTS(names) ? names[state] : "?";
}
