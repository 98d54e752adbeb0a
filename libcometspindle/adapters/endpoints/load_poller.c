/*
 * load_poller.c
 * polls the load reports of endpoints
 *
 * Our assumption of the wire form: GET URL/load answers
 * {"running":N,"queued":N}, describing a moment in the past.
 */
#include <libcometspindle/adapters/endpoints/load_poller.h>

#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <talloc.h>

#define REPORT_BYTES_MAX 1024
#define REPORT_TIMEOUT_MS 1000L

struct poll
{
	struct comet_load_poller *load_poller;
	uint32_t endpoint_id;
	CURL *easy;
	bool busy;
	char body[REPORT_BYTES_MAX];
	size_t length;
};

struct comet_load_poller
{
	struct comet_curl_loop *loop;
	comet_load_poller_handler handler;
	void *ctx;
	GHashTable *polls; /* endpoint id -> poll */
};

static void
poll_destroy(gpointer data)
{
	struct poll *poll = data;

	if (poll->busy)
		comet_curl_loop_remove(poll->load_poller->loop, poll->easy);
	curl_easy_cleanup(poll->easy);
	g_free(poll);
}

static int
load_poller_destructor(struct comet_load_poller *load_poller)
{
	g_hash_table_destroy(load_poller->polls);
	return 0;
}

struct comet_load_poller *
comet_load_poller_create(
	void *parent, struct comet_curl_loop *loop, comet_load_poller_handler handler, void *ctx)
{
	struct comet_load_poller *load_poller = talloc_zero(parent, struct comet_load_poller);

	load_poller->loop = loop;
	load_poller->handler = handler;
	load_poller->ctx = ctx;
	load_poller->polls =
		g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, poll_destroy);
	talloc_set_destructor(load_poller, load_poller_destructor);
	return load_poller;
}

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct poll *poll = ctx;

	if (poll->length + size * count >= sizeof poll->body)
		return 0;
	memcpy(poll->body + poll->length, data, size * count);
	poll->length += size * count;
	return size * count;
}

static int64_t
member_int(struct json_object *root, const char *key)
{
	struct json_object *value = NULL;

	return json_object_object_get_ex(root, key, &value) ? json_object_get_int64(value) : 0;
}

static void
on_done(void *ctx, CURL *easy, CURLcode result)
{
	struct poll *poll = ctx;

	(void)easy;
	poll->busy = false;
	poll->body[poll->length] = '\0';
	struct json_object *root = result == CURLE_OK ? json_tokener_parse(poll->body) : NULL;
	if (json_object_is_type(root, json_type_object))
	{
		int64_t total = member_int(root, "running") + member_int(root, "queued");
		if (total >= 0 && total < INT32_MAX)
			poll->load_poller->handler(
				poll->load_poller->ctx, poll->endpoint_id, (uint32_t)total);
	}
	json_object_put(root);
}

static struct poll *
poll_of(struct comet_load_poller *load_poller, const struct comet_endpoint *endpoint)
{
	gpointer id = GUINT_TO_POINTER(endpoint->id);
	struct poll *poll = g_hash_table_lookup(load_poller->polls, id);

	if (poll != NULL)
		return poll;
	poll = g_new0(struct poll, 1);
	poll->load_poller = load_poller;
	poll->endpoint_id = endpoint->id;
	poll->easy = curl_easy_init();
	curl_easy_setopt(poll->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(poll->easy, CURLOPT_WRITEDATA, poll);
	curl_easy_setopt(poll->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(poll->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(poll->easy, CURLOPT_TIMEOUT_MS, REPORT_TIMEOUT_MS);
	g_hash_table_insert(load_poller->polls, id, poll);
	return poll;
}

void
comet_load_poller_poll(struct comet_load_poller *load_poller, const struct comet_endpoint *endpoint)
{
	struct poll *poll = poll_of(load_poller, endpoint);
	char url[512];

	if (poll->busy)
		return;
	g_snprintf(url, sizeof url, "%s/load", endpoint->url);
	curl_easy_setopt(poll->easy, CURLOPT_URL, url);
	poll->length = 0;
	poll->busy = true;
	comet_curl_loop_add(load_poller->loop, poll->easy, on_done, poll);
}
