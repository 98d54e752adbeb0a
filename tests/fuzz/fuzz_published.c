/*
 * fuzz_published.c
 * libFuzzer target: what is published in the store: servers' entries, the operator's document, and
 * the answers and copies that hold them
 *
 * Whatever bytes come, a record that is taken must be fit for a header, a log line
 * and a metric, an error must be of one line's size, and a copy of what was taken
 * must be taken again.
 */
#include <libcometspindle/adapters/socket.h>
#include <platform/replica.h>
#include <platform/document_parser.h>
#include <platform/json_fields.h>
#include <platform/server_entry.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Errors are told in one line of the log. */
#define ERROR_MAX_BYTES 700

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
check(bool holds)
{
	if (!holds)
		abort();
}

static void
check_error(gboolean good, GError *error)
{
	check(good == (error == NULL));
	if (error != NULL)
		check(strlen(error->message) < ERROR_MAX_BYTES);
	g_clear_error(&error);
}

static void
take_record(void *ctx, const struct comet_instance_record *record)
{
	struct sockaddr_in address;

	(void)ctx;
	check(comet_json_fields_is_name(record->service) &&
		comet_json_fields_is_name(record->zone));
	check(comet_socket_parse_address(record->address, &address));
	check(record->slots > 0);
}

static void
try_entry(const char *text, size_t length)
{
	GError *error = NULL;

	check_error(
		comet_platform_parse_server("i-1", text, length, take_record, NULL, &error), error);
}

static void
try_document(const char *text, size_t length)
{
	GError *error = NULL;
	struct comet_route_table *table = comet_platform_parse_routes(text, length, &error);

	check_error(table != NULL, error);
	if (table != NULL)
		comet_route_table_find(table, "h.example", "/p/1");
	comet_route_table_unref(table);
}

static void
on_put(void *ctx, const struct comet_store_item *item)
{
	(*(size_t *)ctx)++;
	check(item->value != NULL && item->value[item->length] == '\0');
	try_entry(item->value, item->length);
}

static void
on_removed(void *ctx, const char *key, bool tentative)
{
	(void)key;
	(void)tentative;
	(*(size_t *)ctx)--;
}

static const struct comet_replica_events catalog_events = {.put = on_put, .removed = on_removed};

static void
take_copy(void *ctx, const struct comet_store_response *answer)
{
	comet_replica_merge_snapshot(ctx, answer, false);
}

/* Reads an answer into a catalog, and the copy of that into another. */
static void
try_answer(const char *text, size_t length)
{
	size_t taken = 0;
	size_t taken_again = 0;
	GError *error = NULL;
	struct comet_replica *one = comet_replica_create(NULL, &catalog_events, &taken);
	struct comet_replica *two = comet_replica_create(NULL, &catalog_events, &taken_again);

	check_error(comet_store_parse(text, length, take_copy, one, &error), error);
	GBytes *copy = comet_replica_snapshot(one);
	if (copy != NULL)
	{
		gsize size = 0;
		const char *bytes = g_bytes_get_data(copy, &size);
		check(comet_store_parse(bytes, size, take_copy, two, NULL));
		g_bytes_unref(copy);
		check(taken_again <= taken); /* a key that comes twice is one item */
		check(comet_replica_position(one) == comet_replica_position(two));
	}
	talloc_free(one);
	talloc_free(two);
}

static bool
is_document(void *ctx, const char *key)
{
	(void)ctx;
	return strcmp(key, "op/config") == 0;
}

static void
put_any(void *ctx, const struct comet_store_item *item)
{
	(void)ctx;
	check(item->value != NULL && item->value[item->length] == '\0');
}

static void
removed_any(void *ctx, const char *key, bool tentative)
{
	(void)ctx;
	(void)key;
	(void)tentative;
}

static const struct comet_replica_events replica_events = {
	.put = put_any, .removed = removed_any, .is_document = is_document};

static void
take_any(void *ctx, const struct comet_store_response *answer)
{
	if (answer->is_delta || answer->is_partial)
		comet_replica_merge_delta(ctx, answer, false);
	else
		comet_replica_merge_snapshot(ctx, answer, false);
}

static void
write_and_drop(GBytes *bytes)
{
	if (bytes != NULL)
		g_bytes_unref(bytes);
}

/* Reads a peer's answer into a replica that holds a document, and asks that for documents. */
static void
try_peer(const char *text, size_t length)
{
	static const char list[] =
		"{\"entries\":[{\"private_key\":\"op/config\",\"revision\":1,"
		"\"value\":\"e30=\"},{\"private_key\":\"servers/i-1\",\"revision\":"
		"2,\"value\":\"e30=\"}],\"current_rev\":2}";
	struct comet_replica *replica = comet_replica_create(NULL, &replica_events, NULL);

	check(comet_store_parse(list, strlen(list), take_any, replica, NULL));
	GError *error = NULL;
	check_error(comet_store_parse(text, length, take_any, replica, &error), error);
	check(comet_replica_position(replica) <= comet_replica_entries_position(replica));
	write_and_drop(comet_replica_documents(replica, text));
	write_and_drop(comet_replica_entries_delta(replica, 1, 0));
	char *query = comet_replica_query(replica);
	write_and_drop(comet_replica_documents(replica, query));
	g_free(query);
	talloc_free(replica);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size); /* an end that readers must not pass */

	memcpy(text, data, size);
	try_entry(text, size);
	try_document(text, size);
	try_answer(text, size);
	try_peer(text, size);
	g_free(text);
	return 0;
}
