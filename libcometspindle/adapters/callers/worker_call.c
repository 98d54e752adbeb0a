/*
 * worker_call.c
 * the life of one caller's call: read, checked, submitted to the control thread
 */
#include <libcometspindle/adapters/callers/worker_private.h>

#include <libcometspindle/hash.h>
#include <libcometspindle/log.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define SERVICES_PATH "/v1/services/"
#define COMPLETIONS_PATH "/v1/completions"
#define CHAT_PATH "/v1/chat/completions"
#define BEARER "Bearer "
/* One team may have this part of the connections of a thread. */
#define TEAM_SHARE_DIVISOR 2
#define DEADLINE_MAX_MS 86400000

static const char *
header(const struct comet_call *call, const char *name)
{
	return MHD_lookup_connection_value(call->connection, MHD_HEADER_KIND, name);
}

static enum MHD_Result
refuse_plain(struct comet_call *call, enum comet_refusal refusal, const char *detail)
{
	return comet_call_refuse(call, refusal, COMET_VERDICT_NOT_RUN, detail, 0);
}

static uint64_t
header_number(const struct comet_call *call, const char *name, uint64_t max, bool *bad)
{
	const char *text = header(call, name);
	guint64 number = 0;

	if (text == NULL)
		return 0;
	if (!g_ascii_string_to_unsigned(text, 10, 1, max, &number, NULL))
		*bad = true;
	return number;
}

static const struct comet_team *
authenticate(const struct comet_call *call)
{
	const char *value = header(call, MHD_HTTP_HEADER_AUTHORIZATION);

	if (value == NULL || strncmp(value, BEARER, sizeof BEARER - 1) != 0)
		return NULL;
	return comet_bundle_team_by_key(call->view->bundle, value + sizeof BEARER - 1);
}

static bool
team_has_room(struct comet_call *call, const struct comet_team *team)
{
	struct comet_worker *worker = call->worker;
	gpointer id = GUINT_TO_POINTER(team->id);
	uint32_t open = GPOINTER_TO_UINT(g_hash_table_lookup(worker->per_team, id));

	call->team_id = team->id;
	if (open >= worker->config.max_connections / TEAM_SHARE_DIVISOR)
		return false;
	g_hash_table_insert(worker->per_team, id, GUINT_TO_POINTER(open + 1));
	call->counted = true;
	return true;
}

/* Tier, deadline and at-most-once headers. @return NULL or what is wrong. */
static const char *
read_headers(struct comet_call *call, const struct comet_team *team,
	struct comet_submission *submission, enum comet_refusal *refusal)
{
	const struct comet_bundle *bundle = call->view->bundle;
	const char *tier_name = header(call, "Comet-Tier");
	int tier =
		tier_name != NULL ? comet_bundle_tier(bundle, tier_name) : (int)bundle->n_tiers - 1;
	bool bad = false;

	*refusal = COMET_REFUSAL_BAD_REQUEST;
	if (tier < 0)
		return "Comet-Tier: no such tier";
	submission->team_id = team->id;
	submission->tier = (uint32_t)tier;
	if ((team->tiers & (1U << tier)) == 0)
	{
		*refusal = COMET_REFUSAL_FORBIDDEN_TIER;
		return comet_refusal_message(*refusal);
	}
	submission->deadline_ms =
		(uint32_t)header_number(call, "Comet-Deadline-Ms", DEADLINE_MAX_MS, &bad);
	if (bad)
		return "Comet-Deadline-Ms: must be a whole number from 1 to 86400000";
	if (submission->deadline_ms == 0)
		submission->deadline_ms = bundle->tiers[tier].deadline_ms;
	if (header(call, "Comet-Once") != NULL)
		submission->once = true;
	submission->first_sent_ms = header_number(call, "Comet-First-Sent-Ms", INT64_MAX, &bad);
	if (bad)
		return "Comet-First-Sent-Ms: must be Unix time in ms";
	return NULL;
}

static const char *
read_key(struct comet_call *call, struct comet_submission *submission)
{
	const char *key = header(call, "Idempotency-Key");

	call->once = submission->once;
	if (!submission->once)
		return NULL;
	if (key == NULL || submission->first_sent_ms == 0)
		return "a call that may not be repeated needs Idempotency-Key and "
		       "Comet-First-Sent-Ms, the same each time it is sent";
	submission->key = comet_hash_bytes(key, strlen(key), call->team_id);
	return NULL;
}

static const char *
read_completion(struct comet_call *call, const struct comet_team *team, bool chat,
	struct comet_submission *submission, enum comet_refusal *refusal, char **detail)
{
	GError *error = NULL;
	struct comet_completion *completion =
		comet_completion_parse(call->body->str, call->body->len, chat, &error);
	char salt[20];

	*refusal = COMET_REFUSAL_BAD_REQUEST;
	if (completion == NULL)
	{
		*detail = g_strdup_printf("body: %s", error->message);
		g_clear_error(&error);
		return *detail;
	}
	const struct comet_pool *pool =
		comet_bundle_pool_by_name(call->view->bundle, completion->model);
	if (pool == NULL || pool->is_service)
	{
		comet_completion_destroy(completion);
		*refusal = COMET_REFUSAL_UNKNOWN_MODEL;
		return comet_refusal_message(*refusal);
	}
	g_snprintf(salt, sizeof salt, "%08x", team->shared_prefix ? 0 : team->id);
	call->streaming = completion->stream;
	call->path = g_strdup(chat ? CHAT_PATH : COMPLETIONS_PATH);
	submission->pool_id = pool->id;
	submission->prompt_tokens =
		1 + (uint32_t)(completion->prompt->len / COMET_PREFIX_TOKEN_BYTES);
	submission->max_output_tokens = completion->max_tokens;
	comet_prefix_sample(&submission->prefix, completion->prompt->str, completion->prompt->len,
		team->shared_prefix ? 0 : team->id);
	call->forward =
		comet_completion_forward(completion, submission->tier, salt, submission->once);
	call->forward_length = strlen(call->forward);
	comet_completion_destroy(completion);
	return NULL;
}

static bool
path_is_once(const struct comet_pool *pool, const char *path)
{
	for (char **prefix = pool->once_paths; prefix != NULL && *prefix != NULL; prefix++)
	{
		if (g_str_has_prefix(path, *prefix))
			return true;
	}
	return false;
}

static const char *
read_service(struct comet_call *call, const char *url, struct comet_submission *submission,
	enum comet_refusal *refusal)
{
	const char *rest = url + sizeof SERVICES_PATH - 1;
	const char *slash = strchr(rest, '/');
	char *name = slash != NULL ? g_strndup(rest, (gsize)(slash - rest)) : g_strdup(rest);
	const struct comet_pool *pool = comet_bundle_pool_by_name(call->view->bundle, name);

	g_free(name);
	*refusal = COMET_REFUSAL_UNKNOWN_MODEL;
	if (pool == NULL || !pool->is_service)
		return comet_refusal_message(*refusal);
	call->is_service = true;
	call->path = g_strdup(slash != NULL ? slash : "/");
	submission->pool_id = pool->id;
	submission->prompt_tokens = 1;
	submission->max_output_tokens = 1;
	if (path_is_once(pool, call->path))
		submission->once = true;
	call->forward = g_strndup(call->body->str, call->body->len);
	call->forward_length = call->body->len;
	return NULL;
}

static void
submit(struct comet_call *call, const struct comet_submission *submission)
{
	struct comet_control_message *message = g_new0(struct comet_control_message, 1);

	call->pool_id = submission->pool_id;
	call->deadline_ms = submission->deadline_ms;
	call->state = COMET_CALL_WAITING;
	call->listed = true;
	g_hash_table_insert(call->worker->calls, &call->request, call);
	message->kind = COMET_CONTROL_SUBMIT;
	message->submission = *submission;
	message->submission.request = call->request;
	g_string_free(call->body, TRUE); /* what is forwarded is held already */
	call->body = NULL;
	comet_call_suspend(call);
	comet_call_notify_control(call, message);
}

static enum MHD_Result
begin_resume(struct comet_call *call, const struct comet_team *team, const char *text)
{
	struct comet_token token;
	const char *offset =
		MHD_lookup_connection_value(call->connection, MHD_GET_ARGUMENT_KIND, "offset");
	guint64 start = 0;

	if (!comet_token_open(text, call->worker->config.token_key, &token) ||
		token.team_id != team->id)
		return refuse_plain(call, COMET_REFUSAL_NOT_FOUND, NULL);
	const struct comet_endpoint *endpoint =
		comet_bundle_endpoint(call->view->bundle, token.endpoint_id);
	if (endpoint == NULL)
		return refuse_plain(call, COMET_REFUSAL_NOT_FOUND, NULL);
	if (offset != NULL && !g_ascii_string_to_unsigned(offset, 10, 0, INT64_MAX, &start, NULL))
		return refuse_plain(
			call, COMET_REFUSAL_BAD_REQUEST, "offset: must be a whole number");
	g_strlcpy(call->id, token.request_id, sizeof call->id);
	call->resumed = true;
	call->listed = true; /* for the sweep; the node knows nothing of it */
	g_hash_table_insert(call->worker->calls, &call->request, call);
	call->streaming = true;
	/* a cut may have fallen within the done event or behind it: its line is to come whole */
	call->overlap = MIN(start, COMET_STREAM_OVERLAP_BYTES);
	call->path = g_strdup_printf(STREAMS_PATH "%s?offset=%" G_GUINT64_FORMAT, token.request_id,
		start - call->overlap);
	call->state = COMET_CALL_WAITING;
	comet_call_suspend(call);
	comet_call_dispatch(call, endpoint);
	return MHD_YES;
}

enum MHD_Result
comet_call_begin(struct comet_call *call, const char *url)
{
	struct comet_submission submission;
	enum comet_refusal refusal = COMET_REFUSAL_NONE;
	const char *wrong = NULL;
	char *detail = NULL;

	memset(&submission, 0, sizeof submission);
	call->view = comet_state_snapshot_acquire(call->worker->config.snapshot_publisher);
	if (call->view == NULL || call->view->bundle == NULL)
		return comet_call_refuse(
			call, COMET_REFUSAL_NOT_READY, COMET_VERDICT_NOT_RUN, NULL, 1000);
	if (call->worker->quiesced)
		return comet_call_refuse(
			call, COMET_REFUSAL_STOPPING, COMET_VERDICT_NOT_RUN, NULL, 1);
	if (call->too_large)
		return refuse_plain(call, COMET_REFUSAL_TOO_LARGE, NULL);
	const struct comet_team *team = authenticate(call);
	if (team == NULL)
		return refuse_plain(call, COMET_REFUSAL_UNAUTHORIZED, NULL);
	if (!team_has_room(call, team))
		return comet_call_refuse(call, COMET_REFUSAL_QUOTA, COMET_VERDICT_NOT_RUN,
			"the team has too many calls open here", 1000);
	if (g_str_has_prefix(url, STREAMS_PATH))
		return begin_resume(call, team, url + sizeof STREAMS_PATH - 1);
	wrong = read_headers(call, team, &submission, &refusal);
	if (wrong != NULL)
		return refuse_plain(call, refusal, wrong);
	if (strcmp(url, COMPLETIONS_PATH) == 0 || strcmp(url, CHAT_PATH) == 0)
		wrong = read_completion(
			call, team, strcmp(url, CHAT_PATH) == 0, &submission, &refusal, &detail);
	else if (g_str_has_prefix(url, SERVICES_PATH))
		wrong = read_service(call, url, &submission, &refusal);
	else
		return refuse_plain(call, COMET_REFUSAL_NOT_FOUND, NULL);
	if (wrong == NULL)
	{
		refusal = COMET_REFUSAL_BAD_REQUEST;
		wrong = read_key(call, &submission);
	}
	if (wrong != NULL)
	{
		enum MHD_Result result = refuse_plain(call, refusal, wrong);
		g_free(detail);
		return result;
	}
	submit(call, &submission);
	return MHD_YES;
}
