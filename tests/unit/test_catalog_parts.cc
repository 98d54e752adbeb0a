/*
 * test_catalog_parts.cc
 * exchange of snapshots and deltas between store replicas that read documents and entries
 * separately
 */
#include <gtest/gtest.h>

extern "C"
{
#include <platform/replica.h>
}
#include <cstring>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

const char *const DOCUMENT = "op/config";

bool
is_document(void *, const char *key)
{
	return strcmp(key, DOCUMENT) == 0;
}

/* One write to the store; a removal has no value. */
struct change
{
	std::string key;
	std::string value;
	uint64_t revision;
	bool removed;
};

comet_store_item
item_of(const change &change)
{
	comet_store_item item = {};

	item.key = change.key.c_str();
	item.value = change.removed ? nullptr : change.value.c_str();
	item.length = change.value.size();
	item.revision = change.revision;
	return item;
}

/* Store with its full history of writes. */
struct store
{
	std::vector<change> history;

	uint64_t
	revision() const
	{
		return history.size();
	}

	void
	write(const std::string &key, const std::string &value, bool removed = false)
	{
		history.push_back({key, value, revision() + 1, removed});
	}

	/* Returns the last change of a key up to a revision, or nullptr. */
	const change *
	last(const std::string &key, uint64_t upto) const
	{
		for (uint64_t at = upto; at > 0; at--)
		{
			if (history[at - 1].key == key)
				return &history[at - 1];
		}
		return nullptr;
	}
};

/* VM with its replica and the state built from the replica's callbacks. */
struct vm
{
	const store *source;
	std::map<std::string, std::string> known;
	std::map<std::string, uint64_t> revisions; /* of the newest value received, by key */
	comet_replica *replica;

	static const comet_replica_events events;

	explicit vm(const store *source)
	    : source(source), replica(comet_replica_create(nullptr, &events, this))
	{
	}

	~vm()
	{
		talloc_free(replica);
	}

	vm(const vm &) = delete;
	vm &
	operator=(const vm &) = delete;

	static void
	put(void *ctx, const comet_store_item *item)
	{
		auto *self = static_cast<vm *>(ctx);
		EXPECT_GT(item->revision, self->revisions[item->key])
			<< "an older revision replaced a newer one";
		self->known[item->key] = std::string(item->value, item->length);
		self->revisions[item->key] = item->revision;
	}

	static void
	removed(void *ctx, const char *key, bool)
	{
		static_cast<vm *>(ctx)->known.erase(key);
	}

	void
	merge(const std::vector<change> &changes)
	{
		std::vector<comet_store_item> items;
		for (const change &change : changes)
			items.push_back(item_of(change));
		comet_replica_merge(replica, items.data(), items.size(), false);
	}

	void
	list()
	{
		std::map<std::string, change> last;
		for (const change &change : source->history)
			last[change.key] = change;
		std::vector<change> changes;
		for (const auto &pair : last)
		{
			if (!pair.second.removed)
				changes.push_back(pair.second);
		}
		comet_replica_list_begin(replica);
		merge(changes);
		comet_replica_list_end(replica, source->revision(), false);
	}

	uint64_t
	position() const
	{
		return comet_replica_position(replica);
	}

	/* Applies one watch response with entries and documents. */
	void
	watch()
	{
		std::vector<change> changes(
			source->history.begin() + (long)position(), source->history.end());
		merge(changes);
		comet_replica_confirm_documents(replica, source->revision());
	}

	void
	watch_entries()
	{
		std::vector<comet_store_item> items;
		for (const change &change : source->history)
		{
			if (change.revision > comet_replica_entries_position(replica) &&
				change.key != DOCUMENT)
				items.push_back(item_of(change));
		}
		comet_replica_merge_entries(
			replica, items.data(), items.size(), source->revision(), false);
	}

	void
	read_document()
	{
		const change *newest = source->last(DOCUMENT, source->revision());
		comet_store_item item = item_of(*newest);
		comet_replica_merge_documents(replica, &item, 1, source->revision());
	}

	static void
	on_response(void *ctx, const comet_store_response *answer)
	{
		comet_replica *to = static_cast<comet_replica *>(ctx);
		if (answer->is_delta || answer->is_partial)
			comet_replica_merge_delta(to, answer, false);
		else
			comet_replica_merge_snapshot(to, answer, false);
	}

	void
	receive(GBytes *text)
	{
		gsize length = 0;
		GError *error = nullptr;
		if (text == nullptr)
			return;
		const char *data = static_cast<const char *>(g_bytes_get_data(text, &length));
		EXPECT_TRUE(comet_store_parse(data, length, on_response, replica, &error));
		g_bytes_unref(text);
	}

	void
	follow_entries(const vm &reader)
	{
		receive(comet_replica_entries_delta(
			reader.replica, comet_replica_entries_position(replica), 0));
	}

	void
	follow_documents(const vm &reader)
	{
		char *query = comet_replica_query(replica);
		receive(comet_replica_documents(reader.replica, query));
		g_free(query);
	}

	/* Checks that every key is at least as new as the position up to which the replica claims
	 * to be complete. */
	void
	check_position() const
	{
		for (const change &change : source->history)
		{
			bool document = change.key == DOCUMENT;
			uint64_t claimed =
				document ? position() : comet_replica_entries_position(replica);
			const struct change *expected = source->last(change.key, claimed);
			if (expected == nullptr)
				continue;
			auto found = known.find(change.key);
			if (expected->removed)
			{
				const struct change *now =
					source->last(change.key, source->revision());
				EXPECT_TRUE(
					found == known.end() || now->revision > expected->revision)
					<< change.key;
				continue;
			}
			EXPECT_TRUE(found != known.end() ||
				    source->last(change.key, source->revision())->revision >
					    expected->revision)
				<< change.key;
			EXPECT_GE(revisions.count(change.key) ? revisions.at(change.key) : 0,
				expected->revision)
				<< change.key;
		}
	}
};

const comet_replica_events vm::events = {vm::put, vm::removed, nullptr, is_document};

TEST(ReplicaExchange, EntriesAdvanceWhileADocumentIsMissing)
{
	store store;
	store.write("servers/a", "1");
	store.write(DOCUMENT, "one");
	vm reader(&store);
	reader.list();
	store.write(DOCUMENT, "two");
	store.write("servers/a", "", true);
	reader.watch_entries();
	EXPECT_EQ(reader.known.count("servers/a"), 0U);
	EXPECT_EQ(reader.known[DOCUMENT], "one");
	EXPECT_EQ(reader.position(), 2U);
	EXPECT_EQ(comet_replica_entries_position(reader.replica), 4U);

	vm follower(&store);
	follower.list();
	reader.read_document();
	EXPECT_EQ(reader.known[DOCUMENT], "two");
	EXPECT_EQ(reader.position(), 4U);
}

TEST(ReplicaExchange, FollowerRequestsAReportedDocumentAsDelta)
{
	store store;
	store.write("servers/a", "1");
	std::string text;
	for (int i = 0; i < 20000; i++)
		text += std::to_string(i * 7919 % 100003);
	store.write(DOCUMENT, text);
	vm reader(&store);
	vm follower(&store);
	reader.list();
	follower.list();
	std::string more = text + "one route more";
	store.write(DOCUMENT, more);
	store.write("servers/b", "1");
	reader.watch();
	follower.follow_entries(reader);
	EXPECT_EQ(follower.known["servers/b"], "1");
	EXPECT_EQ(follower.position(), 2U);
	EXPECT_EQ(comet_replica_missing_document(follower.replica), 3U);

	char *query = comet_replica_query(follower.replica);
	GBytes *change = comet_replica_documents(reader.replica, query);
	EXPECT_LT(g_bytes_get_size(change), 1000U);
	g_free(query);
	follower.receive(change);
	EXPECT_EQ(follower.known[DOCUMENT], more);
	EXPECT_EQ(follower.position(), 4U);
	EXPECT_EQ(comet_replica_missing_document(follower.replica), 0U);

	/* A peer with an unknown version gets the full document. */
	vm newcomer(&store);
	char nothing[] = "after=1&held=00000000000000000000000000000000";
	store.history.resize(1);
	newcomer.list();
	newcomer.receive(comet_replica_documents(reader.replica, nothing));
	EXPECT_EQ(newcomer.known[DOCUMENT], more);
	for (const char *bad : {"", "after=", "held=1", "before=1", "after=x"})
	{
		GBytes *answer = comet_replica_documents(reader.replica, bad);
		if (answer != nullptr)
			g_bytes_unref(answer);
	}
}

TEST(ReplicaExchange, FollowerLearnsOfADocumentOlderThanItsEntries)
{
	store store;
	store.write(DOCUMENT, "one");
	store.write("servers/a", "1");
	vm reader(&store);
	vm follower(&store);
	reader.list();
	follower.list();
	store.write(DOCUMENT, "two");
	store.write("servers/a", "2");
	reader.watch_entries(); /* the document has not been read yet */
	follower.follow_entries(reader);
	EXPECT_EQ(follower.known["servers/a"], "2");
	EXPECT_EQ(comet_replica_missing_document(follower.replica), 0U);
	reader.read_document();
	EXPECT_GT(reader.position(), follower.position());
	follower.follow_entries(reader);
	EXPECT_EQ(comet_replica_missing_document(follower.replica), 3U);
	follower.follow_documents(reader);
	EXPECT_EQ(follower.known[DOCUMENT], "two");
	EXPECT_EQ(follower.position(), reader.position());
}

TEST(ReplicaExchange, DeltaWithAReplacedBaseIsNotApplied)
{
	store store;
	store.write(DOCUMENT, "one");
	store.write("servers/a", "1");
	vm reader(&store);
	vm follower(&store);
	reader.list();
	follower.list();
	store.write(DOCUMENT, "two");
	reader.watch();
	char *query = comet_replica_query(follower.replica);
	GBytes *change = comet_replica_documents(reader.replica, query);
	g_free(query);
	follower.read_document(); /* the follower's read of the store completes first */
	store.write(DOCUMENT, "three");
	follower.read_document();
	follower.receive(change);
	EXPECT_EQ(follower.known[DOCUMENT], "three");
	follower.check_position();
}

TEST(ReplicaExchange, OnlyTheNewestOfSeveralVersionsIsApplied)
{
	store store;
	store.write(DOCUMENT, "one");
	vm reader(&store);
	reader.list();
	for (const char *text : {"two", "three", "four"})
		store.write(DOCUMENT, text);
	int applied = 0;
	reader.revisions.clear();
	reader.watch();
	applied = (int)reader.revisions.size();
	EXPECT_EQ(applied, 1);
	EXPECT_EQ(reader.known[DOCUMENT], "four");
	EXPECT_EQ(reader.position(), 4U);
}

/* Guards against a removal that a follower never receives. A list has no tombstones, so a reader
 * that has just listed the store does not know of earlier removals. Its delta to a follower with an
 * older list omitted them, and the follower continued to use a removed endpoint. */
TEST(ReplicaExchange, DeltaOmitsNoRemovalsBeforeTheReadersList)
{
	store store;
	store.write("servers/a", "1");
	store.write("servers/b", "1");
	vm follower(&store);
	follower.list();
	store.write("servers/a", "", true);
	store.write("servers/b", "2");
	vm reader(&store);
	reader.list();
	store.write("servers/b", "3");
	reader.watch();
	follower.follow_entries(reader);
	follower.check_position();
	follower.receive(comet_replica_snapshot(reader.replica));
	EXPECT_EQ(follower.known, reader.known);
}

/* Guards against a lost removal: a VM that received the removal of an endpoint unknown to it did
 * not forward the removal to its peers. */
TEST(ReplicaExchange, RemovalOfAnUnknownKeyIsForwarded)
{
	store store;
	store.write("servers/a", "1");
	vm first(&store);
	vm second(&store);
	vm third(&store);
	first.list();
	second.list();
	third.list();
	store.write("servers/b", "1");
	third.watch();
	first.watch();
	store.write("servers/b", "", true);
	first.watch();
	second.follow_entries(first); /* b is unknown to the second VM */
	third.follow_entries(second);
	EXPECT_EQ(third.known.count("servers/b"), 0U);
	third.check_position();
}

/* Random sequences of writes, reads of the store, deltas and snapshots between three VMs. No
 * replica may claim to be complete up to a position whose changes it lacks. */
TEST(ReplicaExchange, PositionNeverExceedsTheAppliedChanges)
{
	for (unsigned seed = 1; seed <= 300; seed++)
	{
		std::mt19937 rng(seed);
		store store;
		std::vector<std::unique_ptr<vm>> vms;
		store.write(DOCUMENT, "0");
		store.write("servers/a", "0");
		for (int i = 0; i < 3; i++)
		{
			vms.push_back(std::make_unique<vm>(&store));
			vms.back()->list();
		}
		for (int step = 0; step < 60; step++)
		{
			vm &one = *vms[rng() % vms.size()];
			const vm &other = *vms[rng() % vms.size()];
			std::string key = std::string("servers/") + (char)('a' + rng() % 4);
			switch (rng() % 10)
			{
			case 0:
				store.write(DOCUMENT, std::to_string(step));
				break;
			case 1:
				store.write(key, std::to_string(step));
				break;
			case 2:
				store.write(key, "", true);
				break;
			case 3:
				one.watch();
				break;
			case 4:
				one.watch_entries();
				break;
			case 5:
				one.read_document();
				break;
			case 6:
				one.follow_entries(other);
				break;
			case 7:
				one.follow_documents(other);
				break;
			case 8:
				one.receive(comet_replica_delta(other.replica, one.position(), 0));
				break;
			default:
				one.receive(comet_replica_snapshot(other.replica));
				break;
			}
			one.check_position();
		}
		for (auto &one : vms)
		{
			one->watch();
			one->check_position();
			EXPECT_EQ(one->known, vms[0]->known) << seed;
		}
	}
}

/* Guards against a removal that is lost between two pages of a list. The replica took the newest
 * revision of a later page as its position, so that it no longer requested the removal. */
TEST(ReplicaExchange, PositionOfAPagedListIsThatOfItsFirstPage)
{
	store store;
	store.write("servers/a", "1");
	store.write("servers/b", "1");
	vm one(&store);
	std::vector<comet_store_item> page = {item_of(store.history[0])};
	uint64_t listed = store.revision();
	comet_replica_list_begin(one.replica);
	comet_replica_merge_page(one.replica, page.data(), page.size());
	store.write("servers/a", "", true);
	store.write("servers/b", "2");
	page = {item_of(store.history[3])};
	comet_replica_merge_page(one.replica, page.data(), page.size());
	comet_replica_list_end(one.replica, listed, false);
	one.check_position();
	EXPECT_EQ(one.position(), 2U);
}

} /* namespace */
