/*
 * test_documents.cc
 * parsing of the operator's routing document and of the entries of inference servers
 */
#include <gtest/gtest.h>

extern "C"
{
#include <platform/document_parser.h>
#include <platform/server_entry.h>
}
#include <map>
#include <string>

namespace
{

const char *const document =
	"{\"version\":7,\"new_field\":[1],\"routes\":["
	"{\"name\":\"s\",\"hostname\":\"A.example\",\"path_prefix\":\"/p/\",\"type\":\"streaming\","
	"\"timeout_ms\":4000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"x\","
	"\"max_attempts\":2,\"resumable\":true,\"gap_target_ms\":400},"
	"{\"name\":\"b\",\"hostname\":\"a.example\",\"path_prefix\":\"/q/\",\"type\":\"safe\","
	"\"public\":true,\"backends\":[{\"service\":\"x\",\"weight\":90},{\"service\":\"y\","
	"\"weight\":10}]},{\"name\":\"u\",\"hostname\":\"a.example\",\"path_prefix\":\"/u/\","
	"\"type\":\"something\",\"service\":\"x\"}],"
	"\"limits\":{\"max_header_bytes\":1000},"
	"\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\",\"l\"],\"priority\":1,"
	"\"unit\":\"token_stream\",\"plain_tokens\":150,\"rate_per_s\":66.5,\"burst\":10}]}";

TEST(Documents, RoutesAndTeamsAreParsed)
{
	GError *error = nullptr;
	comet_route_table *table = comet_platform_parse_routes(document, strlen(document), &error);
	ASSERT_NE(table, nullptr) << error->message;
	EXPECT_EQ(comet_route_table_version(table), 7U);
	EXPECT_EQ(comet_route_table_limits(table)->header_bytes, 1000U);
	EXPECT_EQ(comet_route_table_limits(table)->idle_timeout_ms, 15000U);
	const comet_route *stream = comet_route_table_find(table, "a.example", "/p/1");
	EXPECT_EQ(stream->kind, COMET_ROUTE_STREAM);
	EXPECT_TRUE(stream->resumable);
	EXPECT_EQ(stream->target_latency_ms, 800U);
	EXPECT_EQ(stream->target_gap_ms, 400U);
	EXPECT_TRUE(comet_route_is_retryable(stream));
	const comet_route *split = comet_route_table_find(table, "a.example", "/q/1");
	EXPECT_TRUE(split->open);
	EXPECT_EQ(split->n_shares, 2U);
	EXPECT_EQ(split->shares[0].weight, 90U);
	/* Requests of an unknown type are not retried. */
	EXPECT_EQ(comet_route_table_find(table, "a.example", "/u/")->kind, COMET_ROUTE_UNSAFE);
	const comet_route_team *team = comet_route_table_team_by_key(table, "l");
	EXPECT_STREQ(team->name, "t");
	EXPECT_TRUE(team->in_tokens);
	EXPECT_EQ(team->default_tokens, 150U);
	EXPECT_EQ(team->rate_per_s, 66U);
	comet_route_table_unref(table);
}

TEST(Documents, ErrorsOfInvalidDocumentsNameTheDocument)
{
	for (const char *invalid :
		{"", "[]", "{", "{\"version\":1}", "{\"routes\":[]}", "\x00\xff"})
	{
		GError *error = nullptr;
		EXPECT_EQ(comet_platform_parse_routes(invalid, strlen(invalid), &error), nullptr)
			<< invalid;
		EXPECT_NE(strstr(error->message, "operator's document"), nullptr);
		g_clear_error(&error);
	}
}

/* Returns the error of parsing an operator's document, or "" if it is valid. */
std::string
document_error(const std::string &text)
{
	GError *error = nullptr;
	comet_route_table *table = comet_platform_parse_routes(text.data(), text.size(), &error);
	std::string message = table != nullptr ? "" : error->message;

	comet_route_table_unref(table);
	g_clear_error(&error);
	return message;
}

TEST(Documents, ErrorsOfDocumentsNameTheField)
{
	const std::string head = "operator's document: ";
	const std::string route = "\"hostname\":\"h\",\"path_prefix\":\"/\"";
	auto routes = [&](const std::string &fields) {
		return "{\"version\":1,\"routes\":[{" + route + ",\"service\":\"s\"},{" + fields +
		       "}]}";
	};
	auto rest = [](const std::string &fields)
	{ return "{\"version\":1,\"routes\":[]," + fields + "}"; };
	const std::pair<std::string, const char *> rows[] = {
		{"{\"version\":\"1\",\"routes\":[]}",
			"version: must be a whole number from 0 to 9223372036854775806, is \"1\""},
		{"{\"version\":1,\"routes\":{}}", "routes: must be an array"},
		{routes("\"hostname\":\"h\""), "routes[1].service: is required"},
		{routes("\"service\":\"s\",\"path_prefix\":\"/\""),
			"routes[1].hostname: is required"},
		{routes(route + ",\"service\":5"), "routes[1].service: must be a name, is 5"},
		{routes(route + ",\"service\":\"s\",\"timeout_ms\":\"9\""),
			"routes[1].timeout_ms: must be a number from 0 to 4294967295, is \"9\""},
		{routes(route + ",\"service\":\"s\",\"priority\":-1"),
			"routes[1].priority: must be a number from 0 to 4294967295, is -1"},
		{routes(route + ",\"service\":\"s\",\"public\":1"),
			"routes[1].public: must be true or false, is 1"},
		{routes(route + ",\"backends\":[{\"weight\":1}]"),
			"routes[1].backends: service: is required, is [{\"weight\":1}]"},
		{"{\"version\":1,\"routes\":[5]}", "routes[0]: must be an object"},
		{rest("\"limits\":[]"), "limits: must be an object"},
		{rest("\"limits\":{\"max_body_bytes\":1e10}"),
			"limits.max_body_bytes: must be a number from 0 to 4294967295, is 1e10"},
		{rest("\"tenants\":[{\"name\":\"\"}]"), "tenants[0].name: must be a name, is \"\""},
		/* Errors do not contain the values of keys. */
		{rest("\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\",7]}]"),
			"tenants[0].api_keys: must be non-empty strings"},
		{rest("\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"\"]}]"),
			"tenants[0].api_keys: must be non-empty strings"},
		{rest("\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\",\"l\\u0000m\"]}]"),
			"tenants[0].api_keys: must be non-empty strings"},
		{rest("\"tenants\":[{\"name\":\"t\",\"api_keys\":\"secret\"}]"),
			"tenants[0].api_keys: must be an array"},
		{rest("\"tenants\":[{\"name\":\"t\",\"rate_per_s\":true}]"),
			"tenants[0].rate_per_s: must be a number from 0 to 1000000000000000, is "
			"true"},
	};

	for (const auto &row : rows)
		EXPECT_EQ(document_error(row.first), head + row.second);
	EXPECT_EQ(document_error(rest("\"limits\":{}")), "");
	EXPECT_EQ(document_error(std::string(document) + "x").find(head + "not a JSON object"), 0U);
}

void
format_record(void *ctx, const comet_instance_record *instance)
{
	*static_cast<std::string *>(ctx) =
		std::string(instance->id) + " " + instance->service + " " + instance->address +
		" " + std::to_string(instance->slots) + (instance->draining ? " draining" : "") +
		(instance->process_start_ms != 0 ? " " + std::to_string(instance->process_start_ms)
						 : "");
}

/* Returns the error of parsing a server's entry, or "" if it is valid; then record has the fields
 * read. */
std::string
entry_error(const std::string &id, const std::string &entry, std::string *record)
{
	GError *error = nullptr;
	bool valid = comet_platform_parse_server(
		id.c_str(), entry.data(), entry.size(), format_record, record, &error);
	std::string message = valid ? "" : error->message;

	g_clear_error(&error);
	return message;
}

/* Returns a valid entry with one field replaced, or omitted if value is "". */
std::string
entry_with(const std::string &name, const std::string &value)
{
	std::map<std::string, std::string> fields = {{"service", "\"x\""},
		{"address", "\"10.0.0.1:80\""}, {"zone", "\"a\""}, {"version", "\"v1\""},
		{"slots", "7"}, {"state", "\"draining\""}, {"warmup_left_ms", "0"},
		{"sequence", "4"}};
	std::string text = "{\"new\":[{}]";

	fields[name] = value;
	for (const auto &field : fields)
	{
		if (!field.second.empty())
			text += ",\"" + field.first + "\":" + field.second;
	}
	return text + "}";
}

TEST(Documents, ServerEntriesAreParsed)
{
	std::string record;
	EXPECT_EQ(entry_error("i-1", entry_with("slots", "7"), &record), "");
	EXPECT_EQ(record, "i-1 x 10.0.0.1:80 7 draining");
	EXPECT_EQ(entry_error("i-1", entry_with("state", "\"ready\""), &record), "");
	EXPECT_EQ(record, "i-1 x 10.0.0.1:80 7");
	EXPECT_EQ(entry_error("i-1", entry_with("warmup_left_ms", "1200.5"), &record), "");
	EXPECT_EQ(entry_error("i-1", entry_with("born", "1764720000123"), &record), "");
	EXPECT_EQ(record, "i-1 x 10.0.0.1:80 7 draining 1764720000123");
}

TEST(Documents, ErrorsOfServerEntriesNameTheField)
{
	const struct
	{
		const char *field;
		const char *value;
		const char *message;
	} rows[] = {
		{"service", "", "service: is required"},
		{"service", "\"\"", "service: must be a name, is \"\""},
		{"service", "5", "service: must be a name, is 5"},
		{"service", "\"a\\r\\nb\"", "service: must be a name, is \"a\\r\\nb\""},
		{"service", "\"a\\u0000b\"", "service: must be a name, is \"a\\u0000b\""},
		{"service", "null", "service: must be a name"},
		{"address", "\"nowhere\"", "address: must be a.b.c.d:port, is \"nowhere\""},
		{"address", "\"10.0.0.1:0\"", "address: must be a.b.c.d:port, is \"10.0.0.1:0\""},
		{"address", "\"10.0.0.1:65536\"",
			"address: must be a.b.c.d:port, is \"10.0.0.1:65536\""},
		{"address", "\"10.0.0.999:80\"",
			"address: must be a.b.c.d:port, is \"10.0.0.999:80\""},
		{"zone", "", "zone: is required"},
		{"zone", "[\"a\"]", "zone: must be a name, is [\"a\"]"},
		{"version", "", "version: is required"},
		{"version", "1", "version: must be a name, is 1"},
		{"slots", "\"7\"", "slots: must be a whole number from 1 to 100000, is \"7\""},
		{"slots", "-7", "slots: must be a whole number from 1 to 100000, is -7"},
		{"slots", "0", "slots: must be a whole number from 1 to 100000, is 0"},
		{"slots", "7.5", "slots: must be a whole number from 1 to 100000, is 7.5"},
		{"slots", "true", "slots: must be a whole number from 1 to 100000, is true"},
		{"slots", "99999999999999999999999",
			"slots: must be a whole number from 1 to 100000, is 18446744073709551615"},
		{"state", "", "state: is required"},
		{"state", "\"Ready\"", "state: must be \"ready\" or \"draining\", is \"Ready\""},
		{"warmup_left_ms", "", "warmup_left_ms: is required"},
		{"warmup_left_ms", "-0.5",
			"warmup_left_ms: must be a number from 0 to 86400000, is -0.5"},
		{"warmup_left_ms", "1e999",
			"warmup_left_ms: must be a number from 0 to 86400000, is 1e999"},
		{"born", "\"1764720000000\"",
			"born: must be a whole number from 1 to 9223372036854775806, is "
			"\"1764720000000\""},
		{"born", "1.5",
			"born: must be a whole number from 1 to 9223372036854775806, is 1.5"},
		{"born", "0", "born: must be a whole number from 1 to 9223372036854775806, is 0"},
		{"born", "null", "born: must be a whole number from 1 to 9223372036854775806"},
		{"sequence", "\"4\"",
			"sequence: must be a whole number from 0 to 9223372036854775806, is \"4\""},
	};

	for (const auto &row : rows)
	{
		std::string record = "nothing";
		EXPECT_EQ(
			entry_error("i-1", entry_with(row.field, row.value), &record), row.message);
		EXPECT_EQ(record, "nothing");
	}
}

TEST(Documents, MalformedServerEntriesAreRejected)
{
	std::string deep = entry_with("new", std::string(40, '[') + std::string(40, ']'));
	std::string valid = entry_with("slots", "7");
	std::string record = "nothing";

	for (const std::string &invalid :
		{std::string(), std::string("null"), std::string("[]"), std::string("\0", 1),
			std::string("\xff\xfe"), valid.substr(0, valid.size() - 1), valid + "{}",
			valid + std::string("\0", 1), deep, entry_with("service", "\"\xc3\x28\""),
			entry_with("service", "'x'"), "/* */" + valid})
		EXPECT_NE(entry_error("i-1", invalid, &record).find("not a JSON object"),
			std::string::npos)
			<< invalid;
	for (const std::string &id : {std::string(), std::string("a b"), std::string("a\r\nX: y"),
		     std::string("a\"b"), std::string(201, 'a')})
		EXPECT_EQ(entry_error(id, valid, &record), "id: must be a name") << id;
	EXPECT_EQ(record, "nothing");
	/* Errors contain the invalid value, truncated. */
	EXPECT_LT(entry_error("i-1", entry_with("zone", "[\"" + std::string(90000, 'z') + "\"]"),
			  &record)
			  .size(),
		100U);
	/* Ids and names may contain any UTF-8 letters, and the case of ids is preserved. */
	EXPECT_EQ(entry_error("I-1", entry_with("zone", "\"z\xc3\xbcrich\""), &record), "");
	EXPECT_EQ(record, "I-1 x 10.0.0.1:80 7 draining");
}

} // namespace
