/*
 * fuzz_head.c
 * libFuzzer target: callers' heads, as they are read and as they are written to endpoints
 *
 * Whatever a caller sends, the endpoint's reader must find one message, with the
 * caller's id, and the reserved headers just as the gateway sets them.
 */
#include <libcometspindle/adapters/gateway/forward_head.h>
#include <platform/header_names.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define HEAD_MAX_BYTES 16384

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* What the endpoint's side read. */
struct seen
{
	uint32_t heads;
	uint32_t ends;
	char *caller_id; /* the caller's own */
};

static const struct comet_forward_params forward = {.remaining_ms = 4321,
	.instance = "i-1",
	.team = "team",
	.last_event = "7",
	.body_bytes = 0};

static void
check(bool holds)
{
	if (!holds)
		abort();
}

static void
check_once(const struct comet_http_head *head, const char *name, const char *value)
{
	check(comet_http_head_count(head, name) == 1);
	check(strcmp(comet_http_head_get(head, name), value) == 0);
}

static bool
on_forwarded(void *ctx, struct comet_http_head *head)
{
	const struct comet_header_names *names = &comet_platform_header_names;
	struct seen *seen = ctx;
	const char *id = comet_http_head_get(head, names->request_id);

	seen->heads++;
	check_once(head, names->deadline_ms, "4321");
	check_once(head, names->team, "team");
	check_once(head, names->expect_instance, "i-1");
	check_once(head, names->last_event, "7");
	check(comet_http_head_count(head, names->authorization) == 0);
	check(g_strcmp0(id, seen->caller_id) == 0);
	struct comet_http_header header = {0};
	while (comet_http_head_next(head, &header))
		check(!comet_header_is_reserved(names, header.name) ||
			comet_http_head_count(head, header.name) == 1);
	for (const char *const *name = names->reserved + 3; *name != NULL; name++)
		check(comet_http_head_count(head, *name) == 0);
	return false;
}

static void
on_body(void *ctx, const char *data, size_t length)
{
	(void)ctx;
	(void)data;
	(void)length;
}

static void
on_end(void *ctx, bool keep_alive)
{
	(void)keep_alive;
	((struct seen *)ctx)->ends++;
}

static const struct comet_http_reader_events forwarded_events = {
	.head = on_forwarded, .body = on_body, .end = on_end};

/* A caller's head is complete: what an endpoint would read of it. */
static bool
on_head(void *ctx, struct comet_http_head *head)
{
	struct seen seen = {.caller_id = g_strdup(comet_http_head_get(
				    head, comet_platform_header_names.request_id))};
	GString *out = g_string_new(NULL);
	size_t taken = 0;

	comet_forward_write_head(out, head, &comet_platform_header_names, &forward);
	struct comet_http_reader *reader =
		comet_http_reader_create(ctx, true, 2 * HEAD_MAX_BYTES, &forwarded_events, &seen);
	comet_http_reader_feed(reader, out->str, out->len, &taken);
	check(seen.heads == 1 && seen.ends == 1 && taken == out->len);
	talloc_free(reader);
	g_string_free(out, TRUE);
	g_free(seen.caller_id);
	return false;
}

static void
on_caller_end(void *ctx, bool keep_alive)
{
	(void)ctx;
	(void)keep_alive;
}

static const struct comet_http_reader_events caller_events = {
	.head = on_head, .body = on_body, .end = on_caller_end};

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	void *parent = talloc_new(NULL);
	size_t taken = 0;
	struct comet_http_reader *reader =
		comet_http_reader_create(parent, true, HEAD_MAX_BYTES, &caller_events, parent);

	comet_http_reader_feed(reader, (const char *)data, size, &taken);
	talloc_free(parent);
	return 0;
}
