/*
 * platform_http.c
 * HTTP adapter of the platform, which polls the list of VMs and long-polls the bundle
 *
 *   GET URL/v1/bundle?after=V   the signed bundle if newer than V; otherwise the
 *                               platform waits up to 10 s and returns 204
 *   GET URL/v1/vms              {"vms":[{"name","zone","peer","caller","leaving"}]}
 *
 * The protocol is an assumption about the platform, not its documented interface. A pending watch
 * counts as one call. Only the elected readers of each zone watch the bundle; the other VMs receive
 * it from them. Every VM reads the list, at an interval that grows with the fleet, so that the rate
 * of all VMs together stays near 100 calls per second.
 */
#include <libcometspindle/adapters/platform/platform.h>

#include <libcometspindle/adapters/clock.h>
#include <libcometspindle/bundle.h>
#include <libcometspindle/json_validator.h>
#include <libcometspindle/hash.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

#define CONNECT_TIMEOUT_MS 2000L
/* A response may handler any time as long as its rate, averaged over the stall timeout, stays above
 * this minimum. The stall timeout of a watch is longer than the 10 s for which the platform may
 * hold the request. */
#define MIN_BYTES_PER_S 16384L
#define WATCH_STALL_TIMEOUT_S 15L
#define LIST_STALL_TIMEOUT_S 2L
#define LIST_INTERVAL_MIN_US 1000000ULL
/* Rate at which all VMs of a large fleet together read the list. */
#define LIST_READS_PER_S 100
#define WATCH_INTERVAL_US 100000ULL
/* Delay of the first retry, doubled for each further one up to the maximum, plus jitter. */
#define RETRY_DELAY_US 500000ULL
#define RETRY_DELAY_MAX_US 4000000ULL
/* Interval at which a VM that is not an elected reader checks whether it has become one. */
#define READER_CHECK_INTERVAL_US 500000ULL
#define VMS_MAX 10000

struct fetch
{
	struct platform_http *platform;
	CURL *easy;
	GByteArray *body;
	struct tevent_timer *timer;
	uint32_t failures;
	void (*request)(struct fetch *fetch);
	void (*on_response)(struct fetch *fetch, long status);
};

struct platform_http
{
	struct comet_platform base;
	struct tevent_context *ev;
	struct comet_curl_loop *loop;
	char *url;
	struct fetch bundle;
	struct fetch list;
};

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct fetch *fetch = ctx;

	if (fetch->body->len + size * count > COMET_BUNDLE_BYTES_MAX * 2)
		return 0;
	g_byte_array_append(fetch->body, (const guint8 *)data, (guint)(size * count));
	return size * count;
}

static void
on_timer(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
	struct fetch *fetch = data;

	(void)ev;
	(void)timer;
	(void)now;
	fetch->timer = NULL;
	fetch->request(fetch);
}

static void
schedule_fetch(struct fetch *fetch, uint64_t delay_us)
{
	TALLOC_FREE(fetch->timer);
	fetch->timer = tevent_add_timer(
		fetch->platform->ev, fetch->platform, comet_clock_after(delay_us), on_timer, fetch);
}

static uint64_t
retry_delay_us(const struct fetch *fetch)
{
	uint64_t delay = RETRY_DELAY_US;

	for (uint32_t i = 1; i < fetch->failures && delay < RETRY_DELAY_MAX_US; i++)
		delay *= 2;
	/* The jitter spreads the retries of VMs whose requests failed at the same time. */
	return delay + comet_clock_now().mono_us % delay;
}

static void
on_done(void *ctx, CURL *easy, CURLcode result)
{
	struct fetch *fetch = ctx;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	bool success = result == CURLE_OK && (status == 200 || status == 204);
	if (!success && fetch->failures == 0)
		comet_log(COMET_LOG_WARNING,
			"event=platform_request_failed status=%ld error=\"%s\"", status,
			curl_easy_strerror(result));
	fetch->failures = success ? 0 : fetch->failures + 1;
	if (success)
		fetch->on_response(fetch, status);
	else
		schedule_fetch(fetch, retry_delay_us(fetch));
}

static void
start_fetch(struct fetch *fetch, const char *path, long stall_timeout_s)
{
	char *url = talloc_asprintf(fetch->platform, "%s%s", fetch->platform->url, path);

	g_byte_array_set_size(fetch->body, 0);
	curl_easy_setopt(fetch->easy, CURLOPT_URL, url);
	curl_easy_setopt(fetch->easy, CURLOPT_LOW_SPEED_TIME, stall_timeout_s);
	talloc_free(url);
	comet_curl_loop_add(fetch->platform->loop, fetch->easy, on_done, fetch);
}

static void
request_bundle(struct fetch *fetch)
{
	struct comet_platform *base = &fetch->platform->base;
	char path[64];

	if (!base->events->is_reader(base->ctx))
	{
		schedule_fetch(fetch, READER_CHECK_INTERVAL_US);
		return;
	}
	g_snprintf(path, sizeof path, "/v1/bundle?after=%" G_GUINT64_FORMAT,
		base->events->version(base->ctx));
	start_fetch(fetch, path, WATCH_STALL_TIMEOUT_S);
}

static void
on_bundle_response(struct fetch *fetch, long status)
{
	struct comet_platform *base = &fetch->platform->base;

	if (status == 200)
	{
		GBytes *bytes = g_bytes_new(fetch->body->data, fetch->body->len);
		base->events->bundle(base->ctx, bytes);
		g_bytes_unref(bytes);
	}
	schedule_fetch(fetch, WATCH_INTERVAL_US);
}

static void
request_list(struct fetch *fetch)
{
	start_fetch(fetch, "/v1/vms", LIST_STALL_TIMEOUT_S);
}

static void
on_list_response(struct fetch *fetch, long status)
{
	struct comet_platform *base = &fetch->platform->base;
	GError *error = NULL;

	if (status == 200 && !comet_platform_parse_vms((const char *)fetch->body->data,
				     fetch->body->len, base->events->vms, base->ctx, &error))
	{
		comet_log(COMET_LOG_WARNING, "event=vm_list_refused reason=\"%s\"", error->message);
		g_clear_error(&error);
	}
	uint64_t interval_us =
		base->events->fleet_size(base->ctx) * (1000000ULL / LIST_READS_PER_S);
	schedule_fetch(
		fetch, interval_us > LIST_INTERVAL_MIN_US ? interval_us : LIST_INTERVAL_MIN_US);
}

static void
read_vm(struct comet_json_validator *validator, struct json_object *value, size_t index,
	struct comet_vm *vm)
{
	char path[32];

	g_snprintf(path, sizeof path, "vms[%zu]", index);
	struct comet_json_validator_object *object =
		comet_json_validator_object_begin(validator, value, path);
	vm->name = comet_json_validator_string(object, "name", NULL);
	vm->zone = comet_json_validator_string(object, "zone", NULL);
	vm->peer = comet_json_validator_string(object, "peer", NULL);
	vm->caller = comet_json_validator_string(object, "caller", NULL);
	vm->leaving = comet_json_validator_bool(object, "leaving", false);
	vm->id = comet_hash_vm(vm->name);
	comet_json_validator_object_end(object);
}

gboolean
comet_platform_parse_vms(const char *text, size_t length,
	void (*handler)(void *ctx, const struct comet_vm *vms, size_t count), void *ctx,
	GError **error)
{
	struct json_object *root = comet_json_validator_parse(text, length, error);

	if (root == NULL)
		return FALSE;
	struct comet_json_validator *validator = comet_json_validator_create();
	struct comet_json_validator_object *object =
		comet_json_validator_object_begin(validator, root, "");
	struct json_object *array = comet_json_validator_array(object, "vms", true);
	size_t count = array != NULL ? json_object_array_length(array) : 0;
	if (count > VMS_MAX)
	{
		comet_json_validator_fault(
			validator, "vms", "must have at most %d entries", VMS_MAX);
		count = 0;
	}
	struct comet_vm *vms = g_new0(struct comet_vm, count + 1);
	for (size_t i = 0; i < count; i++)
		read_vm(validator, json_object_array_get_idx(array, i), i, &vms[i]);
	comet_json_validator_object_end(object);
	gboolean success = comet_json_validator_finish(validator, error);
	if (success)
		handler(ctx, vms, count);
	g_free(vms);
	comet_json_validator_destroy(validator);
	json_object_put(root);
	return success;
}

static void
http_start(struct comet_platform *base)
{
	struct platform_http *platform = (struct platform_http *)base;

	request_list(&platform->list);
	request_bundle(&platform->bundle);
}

static const struct comet_platform_ops http_ops = {http_start};

static void
fetch_init(struct fetch *fetch, struct platform_http *platform,
	void (*request)(struct fetch *fetch), void (*on_response)(struct fetch *fetch, long status))
{
	fetch->platform = platform;
	fetch->request = request;
	fetch->on_response = on_response;
	fetch->body = g_byte_array_new();
	fetch->easy = curl_easy_init();
	curl_easy_setopt(fetch->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(fetch->easy, CURLOPT_WRITEDATA, fetch);
	curl_easy_setopt(fetch->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(fetch->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(fetch->easy, CURLOPT_LOW_SPEED_LIMIT, MIN_BYTES_PER_S);
	curl_easy_setopt(fetch->easy, CURLOPT_PROXY, "");
}

static int
platform_destructor(struct platform_http *platform)
{
	curl_easy_cleanup(platform->bundle.easy);
	curl_easy_cleanup(platform->list.easy);
	g_byte_array_free(platform->bundle.body, TRUE);
	g_byte_array_free(platform->list.body, TRUE);
	return 0;
}

struct comet_platform *
comet_platform_http_create(void *parent, struct tevent_context *ev, struct comet_curl_loop *loop,
	const char *url, const struct comet_platform_events *events, void *ctx)
{
	struct platform_http *platform = talloc_zero(parent, struct platform_http);

	platform->base.ops = &http_ops;
	platform->base.events = events;
	platform->base.ctx = ctx;
	platform->ev = ev;
	platform->loop = loop;
	platform->url = talloc_strdup(platform, url);
	fetch_init(&platform->bundle, platform, request_bundle, on_bundle_response);
	fetch_init(&platform->list, platform, request_list, on_list_response);
	talloc_set_destructor(platform, platform_destructor);
	return &platform->base;
}
