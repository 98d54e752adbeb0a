/*
 * test_platform.cc
 * tests of the store replica, of store responses and of the HTTP reader
 */
#include "head_fields.h"
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/adapters/http_hops.h>
#include <libcometspindle/adapters/http_reader.h>
#include <platform/replica.h>
}
#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

/* Records the events of a replica as text. */
struct recorder
{
	std::vector<std::string> lines;

	static void
	put(void *ctx, const comet_store_item *item)
	{
		static_cast<recorder *>(ctx)->lines.push_back(
			std::string("put ") + item->key + "=" + item->value);
	}

	static void
	removed(void *ctx, const char *key, bool tentative)
	{
		static_cast<recorder *>(ctx)->lines.push_back(
			std::string("removed ") + key + (tentative ? "?" : ""));
	}
};

const comet_replica_events recorder_events = {recorder::put, recorder::removed, nullptr, nullptr};

comet_store_item
put(const char *key, const char *value, uint64_t revision)
{
	comet_store_item item = {};

	item.key = key;
	item.value = value;
	item.length = value != nullptr ? strlen(value) : 0;
	item.revision = revision;
	return item;
}

TEST(Catalog, OlderRevisionsAreIgnored)
{
	recorder recorder;
	comet_replica *replica = comet_replica_create(nullptr, &recorder_events, &recorder);
	comet_store_item first = put("a", "1", 5);
	comet_replica_list_begin(replica);
	comet_replica_merge(replica, &first, 1, false);
	EXPECT_EQ(comet_replica_position(replica), 0U); /* the list is not complete yet */
	comet_replica_list_end(replica, 6, false);
	EXPECT_EQ(comet_replica_position(replica), 5U);
	/* an older change, the same change, a removal, a change from before the removal, and a
	 * newer one */
	comet_store_item changes[] = {put("a", "0", 4), put("a", "1", 5), put("a", nullptr, 9),
		put("a", "8", 8), put("a", "10", 10)};
	comet_replica_merge(replica, changes, 5, false);
	std::vector<std::string> expected = {"put a=1", "removed a", "put a=10"};
	EXPECT_EQ(recorder.lines, expected);
	talloc_free(replica);
}

/* Records the last value that a replica reported for each key, and counts values that aren't newer
 * than the previous one. */
struct newest_values
{
	std::map<std::string, uint64_t> values;
	int faults = 0;

	static void
	put(void *ctx, const comet_store_item *item)
	{
		auto *self = static_cast<newest_values *>(ctx);
		uint64_t value = std::stoull(item->value);
		self->faults += value <= self->values[item->key] ? 1 : 0;
		self->values[item->key] = value;
	}

	static void
	removed(void *ctx, const char *key, bool)
	{
		static_cast<newest_values *>(ctx)->values.erase(key);
	}
};

/* Guards against unbounded growth: each server has a new id, and a tombstone was kept for every
 * server that had ever existed. */
TEST(Catalog, OldTombstonesAreDropped)
{
	recorder recorder;
	comet_replica *replica = comet_replica_create(nullptr, &recorder_events, &recorder);
	constexpr uint64_t count = 20000;

	for (uint64_t i = 1; i <= count; i++)
	{
		std::string key = "servers/i-" + std::to_string(i);
		comet_store_item come = put(key.c_str(), "1", 2 * i);
		comet_store_item go = put(key.c_str(), nullptr, 2 * i + 1);
		comet_replica_merge(replica, &come, 1, false);
		comet_replica_merge(replica, &go, 1, false);
		/* a late change of the item that was just removed */
		comet_replica_merge(replica, &come, 1, false);
	}
	EXPECT_EQ(recorder.lines.size(), 2 * count);
	EXPECT_LE(comet_replica_size(replica), 5000U);
	/* an item that was added again is kept, however often it was removed before */
	comet_store_item stays = put("stays", "1", 3 * count);
	comet_replica_merge(replica, &stays, 1, false);
	for (uint64_t i = 1; i <= count; i++)
	{
		comet_store_item go = put("again", nullptr, 3 * count + 2 * i);
		comet_store_item come = put("again", "1", 3 * count + 2 * i + 1);
		comet_replica_merge(replica, &go, 1, false);
		comet_replica_merge(replica, &come, 1, false);
	}
	recorder.lines.clear();
	comet_replica_list_begin(replica);
	comet_replica_list_end(replica, 9 * count, false);
	std::sort(recorder.lines.begin(), recorder.lines.end());
	std::vector<std::string> expected = {"removed again", "removed stays"};
	EXPECT_EQ(recorder.lines, expected);
	talloc_free(replica);
}

bool
starts_with_s(void *, const char *key)
{
	return key[0] == 's';
}

const comet_replica_events retaining_events = {
	recorder::put, recorder::removed, starts_with_s, nullptr};

/* In the first list of a later epoch, known values of some keys stay in force until they are
 * written again, and tentatively removed items that are listed again are restored. Guards against a
 * failure of the soak with seed 13: the store was restored from an earlier copy twice; all
 * endpoints were unlisted after the first time, and listed but ignored after the second. */
TEST(Catalog, AnotherEraBeginsAnew)
{
	recorder recorder;
	comet_replica *replica = comet_replica_create(nullptr, &retaining_events, &recorder);
	comet_store_item first[] = {put("s1", "ready", 11), put("s2", "ready", 12),
		put("s3", "ready", 13), put("doc", "5", 14)};

	comet_replica_begin_epoch(replica, 3);
	comet_replica_list_begin(replica);
	comet_replica_merge(replica, first, 4, false);
	comet_replica_list_end(replica, 14, false);
	comet_store_item later[] = {put("s1", "draining", 15), put("s2", nullptr, 16)};
	comet_replica_merge(replica, later, 2, false);
	recorder.lines.clear();

	comet_replica_begin_epoch(replica, 4);
	comet_replica_list_begin(replica);
	comet_store_item copy[] = {
		put("s1", "ready", 11), put("s2", "ready", 12), put("doc", "4", 9)};
	comet_replica_merge(replica, copy, 3, false);
	comet_replica_list_end(replica, 13, true);
	std::vector<std::string> expected = {"put doc=4", "removed s3?"};
	EXPECT_EQ(recorder.lines, expected);
	EXPECT_EQ(comet_replica_position(replica), comet_directory_position(4, 12));
	recorder.lines.clear();

	comet_replica_begin_epoch(replica, 5);
	comet_replica_list_begin(replica);
	comet_store_item again[] = {
		put("s1", "ready", 8), put("s2", "ready", 9), put("s3", "ready", 7)};
	comet_replica_merge(replica, again, 3, false);
	comet_replica_list_end(replica, 9, true);
	comet_store_item written[] = {put("s1", "ready", 10), put("s2", "ready", 11)};
	comet_replica_merge(replica, written, 2, false);
	expected = {"put s3=ready", "removed doc?", "put s1=ready", "put s2=ready"};
	EXPECT_EQ(recorder.lines, expected);
	talloc_free(replica);
}

/* Applies six changes in every order, with each one or none of them lost, and with a list at every
 * point of the sequence. */
TEST(Catalog, OlderRevisionNeverReplacesNewerInAnyOrder)
{
	static const comet_replica_events events = {
		newest_values::put, newest_values::removed, nullptr, nullptr};
	const comet_store_item changes[] = {put("a", "1", 1), put("b", "2", 2), put("a", "3", 3),
		put("b", nullptr, 4), put("a", "5", 5), put("b", "6", 6)};
	const comet_store_item list[] = {changes[4], changes[5]};
	int order[] = {0, 1, 2, 3, 4, 5};
	uint64_t runs = 0;

	do
	{
		for (int lost = 0; lost <= 6; lost++)
		{
			for (int listed = 0; listed <= 6; listed++)
			{
				newest_values recorder;
				comet_replica *replica =
					comet_replica_create(nullptr, &events, &recorder);
				for (int i = 0; i <= 6; i++)
				{
					if (i == listed)
					{
						comet_replica_list_begin(replica);
						comet_replica_merge(replica, list, 2, false);
						comet_replica_list_end(replica, 6, false);
					}
					if (i < 6 && i != lost)
						comet_replica_merge(
							replica, &changes[order[i]], 1, false);
				}
				ASSERT_EQ(recorder.faults, 0);
				ASSERT_EQ(recorder.values["a"], 5U);
				ASSERT_EQ(recorder.values["b"], 6U);
				talloc_free(replica);
				runs++;
			}
		}
	} while (std::next_permutation(order, order + 6));
	printf("changes: %lu runs\n", (unsigned long)runs);
	EXPECT_EQ(runs, 720U * 7 * 7);
}

/* A reader's delta contains the same changes as a watch of the store. */
TEST(Catalog, DeltaMustContinueAtTheFollowersPosition)
{
	recorder recorder;
	comet_replica *reader = comet_replica_create(nullptr, &recorder_events, &recorder);
	comet_store_item items[] = {put("a", "1", 1), put("b", "1", 2), put("c", "1", 3)};
	comet_store_item later[] = {put("a", "2", 4), put("b", nullptr, 5)};
	auto read = [](comet_replica *replica, comet_store_item *list, size_t count, uint64_t to)
	{
		comet_replica_list_begin(replica);
		comet_replica_merge(replica, list, count, false);
		comet_replica_list_end(replica, to, false);
	};
	EXPECT_EQ(comet_replica_delta(reader, 3, 0), nullptr) << "the replica is empty";
	read(reader, items, 3, 3);
	comet_replica_merge(reader, later, 2, false);
	recorder.lines.clear();

	struct follower
	{
		comet_replica *replica;
		bool taken;
	} follower = {comet_replica_create(nullptr, &recorder_events, &recorder), false};
	auto take = [](void *ctx, const comet_store_response *answer)
	{
		auto *one = static_cast<struct follower *>(ctx);
		EXPECT_TRUE(answer->is_delta);
		one->taken = comet_replica_merge_delta(one->replica, answer, answer->out_ms != 0);
	};
	auto offer = [&](uint64_t after, uint64_t out_ms)
	{
		GBytes *changes = comet_replica_delta(reader, after, out_ms);
		gsize length = 0;
		const char *text = (const char *)g_bytes_get_data(changes, &length);
		EXPECT_TRUE(comet_store_parse(text, length, take, &follower, nullptr));
		g_bytes_unref(changes);
		return follower.taken;
	};
	EXPECT_FALSE(offer(3, 0)) << "the follower is empty";
	read(follower.replica, items, 3, 3);
	recorder.lines.clear();
	EXPECT_FALSE(offer(4, 0)) << "the change before the delta is missing";
	EXPECT_TRUE(recorder.lines.empty());
	EXPECT_TRUE(offer(3, 40));
	std::sort(recorder.lines.begin(), recorder.lines.end());
	std::vector<std::string> expected = {"put a=2", "removed b?"};
	EXPECT_EQ(recorder.lines, expected);
	EXPECT_EQ(comet_replica_position(follower.replica), comet_replica_position(reader));
	EXPECT_FALSE(offer(3, 0)) << "the delta contains nothing newer";
	comet_replica_begin_epoch(reader, 1); /* names the epoch of the items read so far */
	EXPECT_EQ(comet_replica_delta(reader, 3, 0), nullptr) << "the position is of another epoch";
	talloc_free(reader);
	talloc_free(follower.replica);
}

TEST(Catalog, ListRemovesMissingItemsUnlessNewer)
{
	recorder recorder;
	comet_replica *replica = comet_replica_create(nullptr, &recorder_events, &recorder);
	comet_store_item items[] = {put("a", "1", 1), put("b", "1", 2), put("c", "1", 30)};
	comet_replica_merge(replica, items, 3, false);
	recorder.lines.clear();
	comet_replica_list_begin(replica);
	comet_replica_merge(replica, items, 1, false);
	comet_replica_list_end(replica, 20, true);
	std::vector<std::string> expected = {"removed b?"};
	EXPECT_EQ(recorder.lines, expected);
	talloc_free(replica);
}

/* Only a removal during an outage of the store is tentative. Guards against a failure seen when a
 * VM was cut off: endpoints that left after the store was back stayed in use for another 2.5 s. */
TEST(Catalog, OnlyWhatWentInAnOutageIsDoubted)
{
	recorder recorder;
	comet_replica *replica = comet_replica_create(nullptr, &recorder_events, &recorder);
	comet_store_item items[] = {put("a", "1", 1), put("b", "1", 2)};
	comet_store_item in_outage = put("a", nullptr, 3);
	comet_store_item after = put("b", nullptr, 4);
	comet_replica_merge(replica, items, 2, false);
	recorder.lines.clear();
	comet_replica_merge(replica, &in_outage, 1, true);
	comet_replica_merge(replica, &after, 1, false);
	std::vector<std::string> expected = {"removed a?", "removed b"};
	EXPECT_EQ(recorder.lines, expected);
	talloc_free(replica);
}

void
merge_snapshot(void *ctx, const comet_store_response *answer)
{
	EXPECT_TRUE(comet_replica_merge_snapshot(static_cast<comet_replica *>(ctx), answer, true));
}

TEST(Catalog, ACopyBringsAnotherVmToTheSamePlace)
{
	recorder from_recorder;
	recorder to_recorder;
	comet_replica *from = comet_replica_create(nullptr, &recorder_events, &from_recorder);
	comet_replica *to = comet_replica_create(nullptr, &recorder_events, &to_recorder);
	EXPECT_EQ(comet_replica_snapshot(from), nullptr);
	comet_store_item items[] = {put("a", "1", 1), put("b", "x\n\"y", 2)};
	comet_replica_list_begin(from);
	comet_replica_merge(from, items, 2, false);
	comet_replica_list_end(from, 2, false);
	comet_store_item gone = put("c", "1", 1);
	comet_replica_list_begin(to);
	comet_replica_merge(to, &gone, 1, false);
	comet_replica_list_end(to, 1, false);
	GBytes *copy = comet_replica_snapshot(from);
	gsize length = 0;
	auto *text = static_cast<const char *>(g_bytes_get_data(copy, &length));
	EXPECT_TRUE(comet_store_parse(text, length, merge_snapshot, to, nullptr));
	g_bytes_unref(copy);
	EXPECT_EQ(comet_replica_position(to), 2U);
	std::vector<std::string> lines = to_recorder.lines;
	std::sort(lines.begin(), lines.end());
	std::vector<std::string> expected = {"put a=1", "put b=x\n\"y", "put c=1", "removed c?"};
	EXPECT_EQ(lines, expected);
	talloc_free(from);
	talloc_free(to);
}

void
ignore_response(void *, const comet_store_response *)
{
}

TEST(Store, MalformedResponsesAreRejected)
{
	for (const char *bad : {"", "null", "[]", "{}", "{\"entries\":5,\"current_rev\":1}",
		     "{\"entries\":[]}", "{\"events\":[", "\x01"})
		EXPECT_FALSE(comet_store_parse(bad, strlen(bad), ignore_response, nullptr, nullptr))
			<< bad;
	struct items
	{
		std::vector<std::string> lines;

		static void
		take(void *ctx, const comet_store_response *answer)
		{
			for (size_t i = 0; i < answer->n_items; i++)
				static_cast<items *>(ctx)->lines.push_back(
					std::string(answer->items[i].key) + "=" +
					(answer->items[i].value != nullptr
							? std::string(answer->items[i].value,
								  answer->items[i].length)
							: "-"));
		}
	} seen;
	const char *values =
		"{\"events\":[{\"private_key\":\"a\",\"value\":\"AGEA\",\"revision\":1},"
		"{\"private_key\":\"b\",\"value\":\"YQ=\",\"revision\":2},"
		"{\"private_key\":\"c\",\"value\":\"YQ==YQ==\",\"revision\":3},"
		"{\"private_key\":\"d\",\"value\":7,\"revision\":4},"
		"{\"private_key\":\"e\",\"revision\":5},"
		"{\"private_key\":\"f\",\"removed\":true,\"revision\":6},"
		"{\"private_key\":\"g\",\"value\":\"YQ==\",\"revision\":\"7\"},"
		"{\"private_key\":\"\",\"value\":\"YQ==\",\"revision\":8},"
		"{\"private_key\":\"h\",\"value\":\"\",\"revision\":9}],\"current_rev\":9}";
	EXPECT_TRUE(comet_store_parse(values, strlen(values), items::take, &seen, nullptr));
	std::vector<std::string> expected = {
		std::string("a=\0a\0", 5), "b=", "c=", "d=", "e=", "f=-", "h="};
	EXPECT_EQ(seen.lines, expected);
	/* excessive nesting, numbers out of range, trailing data and invalid UTF-8 */
	const std::string item = "{\"private_key\":\"a\",\"value\":\"YQ==\",\"revision\":";
	const std::string head = "{\"current_rev\":9,\"entries\":[";
	for (const std::string &bad : {head + std::string(40, '[') + std::string(40, ']') + "]}",
		     std::string("{\"entries\":[],\"current_rev\":99999999999999999999}"),
		     std::string("{\"entries\":[],\"current_rev\":1e999}"),
		     std::string("{\"entries\":[],\"current_rev\":-1}"),
		     std::string("{\"entries\":[],\"current_rev\":1,\"has_more\":\"no\"}"),
		     head + item + "1}]}x", head + "\"\xc3\x28\"]}"})
		EXPECT_FALSE(comet_store_parse(
			bad.data(), bad.size(), ignore_response, nullptr, nullptr))
			<< bad;
	seen.lines.clear();
	for (const char *revision : {"99999999999999999999}", "1e999}", "1.5}", "0}", "-1}",
		     "9223372036854775807}", "4,\"removed\":1}", "5}"})
	{
		std::string answer = head + item + revision + "]}";
		EXPECT_TRUE(comet_store_parse(
			answer.data(), answer.size(), items::take, &seen, nullptr))
			<< answer;
	}
	EXPECT_EQ(seen.lines, std::vector<std::string>{"a=a"});
	const char *odd = "{\"entries\":[5,{},{\"private_key\":\"a\"},{\"private_key\":\"b\","
			  "\"value\":\"!!\",\"revision\":-1}],\"current_rev\":1}";
	EXPECT_TRUE(comet_store_parse(odd, strlen(odd), ignore_response, nullptr, nullptr));
}

/* Records the events of an HTTP reader as text. */
struct message_recorder
{
	std::string text;
	bool head_only = false;

	static bool
	head(void *ctx, comet_http_head *head)
	{
		auto *message_recorder = static_cast<struct message_recorder *>(ctx);
		message_recorder->text +=
			head->target != nullptr ? std::string(head->method) + " " + head->target
						: std::to_string(head->status) + " " + head->reason;
		comet_http_header header = {};
		while (comet_http_head_next(head, &header))
			message_recorder->text +=
				std::string("|") + header.name + "=" + header.value;
		message_recorder->text += "|";
		return message_recorder->head_only;
	}

	static void
	body(void *ctx, const char *data, size_t length)
	{
		static_cast<message_recorder *>(ctx)->text.append(data, length);
	}

	static void
	end(void *ctx, bool keep_alive)
	{
		static_cast<message_recorder *>(ctx)->text += keep_alive ? "|end" : "|last";
	}
};

const comet_http_reader_events message_recorder_events = {
	message_recorder::head, message_recorder::body, message_recorder::end};

comet_http_reader_result
read_all(bool requests, const std::string &bytes, size_t step, std::string *text,
	size_t max_head = 4096)
{
	message_recorder message_recorder;
	comet_http_reader *reader = comet_http_reader_create(
		nullptr, requests, max_head, &message_recorder_events, &message_recorder);
	comet_http_reader_result result = COMET_HTTP_READER_MORE;
	size_t at = 0;

	while (at < bytes.size() && result == COMET_HTTP_READER_MORE)
	{
		size_t taken = 0;
		result = comet_http_reader_feed(
			reader, bytes.data() + at, std::min(step, bytes.size() - at), &taken);
		at += taken;
	}
	*text = message_recorder.text + "+" + std::to_string(bytes.size() - at);
	talloc_free(reader);
	return result;
}

TEST(HttpReader, ParsingDoesNotDependOnChunkSizes)
{
	std::string bytes = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-Empty:\r\nTransfer-Encoding: "
			    "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /next";
	std::string whole;

	EXPECT_EQ(read_all(true, bytes, bytes.size(), &whole), COMET_HTTP_READER_END);
	EXPECT_EQ(whole, "POST /a?b=c|Host=h|X-Empty=|Transfer-Encoding=chunked|abc|end+9");
	for (size_t step = 1; step < 40; step++)
	{
		std::string text;
		EXPECT_EQ(read_all(true, bytes, step, &text), COMET_HTTP_READER_END);
		EXPECT_EQ(text.substr(0, text.rfind('+')), whole.substr(0, whole.rfind('+')));
	}
}

TEST(HttpReader, AmbiguousRequestFramingIsRejected)
{
	const char *const heads[] = {
		"Content-Length: 3\r\nContent-Length: 4\r\n",
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
		"Content-Length: -1\r\n",
		"Content-Length: 99999999999999999999999\r\n",
		"Content-Length : 3\r\n",
		"Transfer-Encoding: chunked, identity\r\n",
	};
	for (const char *head : heads)
	{
		std::string text;
		EXPECT_EQ(read_all(true, std::string("POST / HTTP/1.1\r\n") + head + "\r\nabc", 1,
				  &text),
			COMET_HTTP_READER_BAD)
			<< head;
	}
}

/* The framing of an endpoint's response is checked as strictly as that of a caller's request. */
TEST(HttpReader, InvalidResponseFramingIsRejected)
{
	for (const char *length : {"", "-1", "+3", "0x3", "3,3", "3 3", "3x", "1.5",
		     "18446744073709551616", "99999999999999999999999"})
	{
		std::string text;
		EXPECT_EQ(read_all(false,
				  std::string("HTTP/1.1 200 OK\r\nContent-Length: ") + length +
					  "\r\n\r\nabc",
				  1, &text),
			COMET_HTTP_READER_BAD)
			<< length;
	}
	for (const char *heads : {"Content-Length: 3\r\nContent-Length: 4\r\n",
		     "Content-Length: 3\r\nContent-Length: 3\r\n",
		     "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
		     "Content-Length : 3\r\n"})
	{
		std::string text;
		EXPECT_EQ(read_all(false, std::string("HTTP/1.1 200 OK\r\n") + heads + "\r\nabc", 1,
				  &text),
			COMET_HTTP_READER_BAD)
			<< heads;
	}
}

TEST(HttpReader, OversizedHeadHasItsOwnResult)
{
	std::string text;
	std::string big = "GET / HTTP/1.1\r\nX: " + std::string(5000, 'a') + "\r\n\r\n";

	EXPECT_EQ(read_all(true, big, 100, &text), COMET_HTTP_READER_TOO_BIG);
	EXPECT_EQ(read_all(true, big, 100, &text, 8000), COMET_HTTP_READER_END);
}

TEST(HttpReader, ResponseWithoutLengthEndsAtConnectionClose)
{
	message_recorder message_recorder;
	comet_http_reader *reader = comet_http_reader_create(
		nullptr, false, 4096, &message_recorder_events, &message_recorder);
	std::string bytes = "HTTP/1.1 200 OK\r\nA: b\r\n\r\nsome";
	size_t taken = 0;

	EXPECT_EQ(comet_http_reader_feed(reader, bytes.data(), bytes.size(), &taken),
		COMET_HTTP_READER_MORE);
	EXPECT_TRUE(comet_http_reader_inside(reader));
	EXPECT_EQ(comet_http_reader_feed_eof(reader), COMET_HTTP_READER_END);
	EXPECT_EQ(message_recorder.text, "200 OK|A=b|some|last");
	talloc_free(reader);
}

/* Records the head of the last message. */
struct head_recorder
{
	const comet_http_head *head = nullptr;

	static bool
	take(void *ctx, comet_http_head *head)
	{
		static_cast<head_recorder *>(ctx)->head = head;
		return false;
	}

	static void
	body(void *, const char *, size_t)
	{
	}

	static void
	end(void *, bool)
	{
	}
};

/* Trailers of a chunked body are skipped. Guards against request smuggling: trailers were added to
 * the head after it had been checked, so a request was forwarded to an endpoint with an additional
 * "Content-Length : 99". */
TEST(HttpReader, TrailersAreNotAddedToTheHead)
{
	static const comet_http_reader_events events = {
		head_recorder::take, head_recorder::body, head_recorder::end};
	const std::string bytes =
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n0\r\nContent-Length : 99\r\nHost: other\r\nX: y\r\n\r\n";
	head_recorder recorder;
	comet_http_reader *reader =
		comet_http_reader_create(nullptr, true, 4096, &events, &recorder);
	size_t taken = 0;

	EXPECT_EQ(comet_http_reader_feed(reader, bytes.data(), bytes.size(), &taken),
		COMET_HTTP_READER_END);
	ASSERT_NE(recorder.head, nullptr);
	EXPECT_EQ(recorder.head->n_headers, 2U);
	EXPECT_EQ(taken, bytes.size());
	const std::string more = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
	ASSERT_EQ(comet_http_reader_feed(reader, more.data(), more.size(), &taken),
		COMET_HTTP_READER_END);
	EXPECT_EQ(recorder.head->n_headers, 1U);
	talloc_free(reader);
	/* trailers have the same size limit as a head */
	std::string text;
	std::string big =
		bytes.substr(0, bytes.size() - 2) + "Z: " + std::string(5000, 'z') + "\r\n\r\n";
	EXPECT_EQ(read_all(true, big, 100, &text), COMET_HTTP_READER_TOO_BIG);
}

/* Guards against excessive memory use: a header with a one-letter name and no value counted as one
 * byte of the head but took 200 bytes of memory. */
TEST(HttpReader, HeadSizeCountsAllBytes)
{
	std::string text;
	std::string many = "GET / HTTP/1.1\r\n";

	for (int i = 0; i < 1100; i++)
		many += "A:\r\n";
	EXPECT_EQ(read_all(true, many + "\r\n", 100, &text), COMET_HTTP_READER_TOO_BIG);
	EXPECT_EQ(read_all(true, many + "\r\n", 100, &text, 6000), COMET_HTTP_READER_END);
}

/* Guards against excessive memory use: a head of short lines took some 50 times its bytes. */
TEST(HttpReader, HeadsTakeLittleMoreThanTheirBytes)
{
	std::mt19937 random(5);
	const size_t limit = 65536;
	const size_t spare = 512;

	for (int play = 0; play < 200; play++)
	{
		size_t longest = size_t{1} << random() % 8;
		std::string bytes = "GET /" + std::string(random() % 2000, 'p') + " HTTP/1.1\r\n";
		size_t end = random() % 60000;
		message_recorder recorder;
		comet_http_reader *reader = comet_http_reader_create(
			nullptr, true, limit, &message_recorder_events, &recorder);
		size_t most = 0;
		size_t taken = 0;
		while (bytes.size() < end)
			bytes += std::string(1 + random() % longest, 'a' + random() % 26) + ":" +
				 std::string(random() % longest, 'v') +
				 (random() % 4 == 0 ? "\r\n folded\r\n" : "\r\n");
		bytes += "\r\n";
		for (size_t at = 0; at < bytes.size(); at += taken)
		{
			size_t step = std::min(1 + random() % 3000, bytes.size() - at);
			if (comet_http_reader_feed(reader, bytes.data() + at, step, &taken) ==
				COMET_HTTP_READER_END)
				break;
			most = std::max(most, comet_http_reader_head_bytes(reader));
			ASSERT_EQ(taken, step);
			ASSERT_LE(
				comet_http_reader_head_bytes(reader), (at + step) * 5 / 4 + spare);
		}
		EXPECT_NE(recorder.text, "");
		EXPECT_LE(comet_http_reader_head_bytes(reader), bytes.size());
		comet_http_reader_release(reader);
		EXPECT_EQ(comet_http_reader_head_bytes(reader), 0U);
		talloc_free(reader);
	}
}

TEST(HttpReader, HopByHopHeadersAreRecognized)
{
	head_fields fields(std::vector<std::pair<std::string, std::string>>{
		{"Connection", "close, X-Mine"}, {"A", "b"}, {"connection", ",, \tX-2 ,"}});
	comet_http_hops *hops = comet_http_hops_create(nullptr, &fields.head);

	EXPECT_TRUE(comet_http_hops_contain(hops, "keep-alive"));
	EXPECT_TRUE(comet_http_hops_contain(hops, "x-mine"));
	EXPECT_TRUE(comet_http_hops_contain(hops, "X-2"));
	EXPECT_FALSE(comet_http_hops_contain(hops, "X-Other"));
	EXPECT_FALSE(comet_http_hops_contain(hops, ""));
	talloc_free(hops);
}

} // namespace
