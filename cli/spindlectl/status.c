/*
 * status.c
 * spindlectl status and explain: what running daemons do, and why
 */
#include "spindlectl.h"

#include <stdio.h>
#include <string.h>

static struct json_object *
member(struct json_object *object, const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(object, key, &value);
	return value;
}

static struct json_object *
fetch_status(const char *address)
{
	GError *error = NULL;
	char *url = g_strconcat(address, "/status", NULL);
	char *text = spindlectl_fetch(url, &error);
	struct json_object *root = text != NULL ? json_tokener_parse(text) : NULL;

	if (root == NULL)
	{
		root = json_object_new_object();
		json_object_object_add(root, "error",
			json_object_new_string(error != NULL ? error->message : "not JSON"));
	}
	json_object_object_add(root, "address", json_object_new_string(address));
	g_clear_error(&error);
	g_free(text);
	g_free(url);
	return root;
}

/* Counts members that are alive, as "5/6". */
static char *
peers_text(struct json_object *status)
{
	struct json_object *members = member(status, "members");
	size_t total = members != NULL ? json_object_array_length(members) : 0;
	size_t alive = 0;

	for (size_t i = 0; i < total; i++)
	{
		struct json_object *one = json_object_array_get_idx(members, i);
		if (strcmp(json_object_get_string(member(one, "state")), "alive") == 0)
			alive++;
	}
	return g_strdup_printf("%zu/%zu", alive, total);
}

/* Endpoints that this VM schedules, healthy of all. */
static char *
endpoints_text(struct json_object *status)
{
	struct json_object *roles = member(status, "roles");
	size_t total = 0;
	size_t healthy = 0;

	for (size_t i = 0; roles != NULL && i < json_object_array_length(roles); i++)
	{
		struct json_object *list = member(json_object_array_get_idx(roles, i), "endpoints");
		for (size_t k = 0; k < json_object_array_length(list); k++)
		{
			struct json_object *one = json_object_array_get_idx(list, k);
			total++;
			if (strcmp(json_object_get_string(member(one, "health")), "ok") == 0)
				healthy++;
		}
	}
	return g_strdup_printf("%zu/%zu", healthy, total);
}

static void
print_row(struct json_object *status)
{
	if (member(status, "error") != NULL)
	{
		printf("%-28s %s\n", json_object_get_string(member(status, "address")),
			json_object_get_string(member(status, "error")));
		return;
	}
	char *peers = peers_text(status);
	char *endpoints = endpoints_text(status);
	printf("%-28s %-10s %-6s %8s %-6s %-7s %-10s %-6s %s\n",
		json_object_get_string(member(status, "address")),
		json_object_get_string(member(status, "vm")),
		json_object_get_string(member(status, "zone")),
		json_object_get_string(member(status, "version")),
		json_object_get_boolean(member(status, "ready")) ? "yes" : "no", peers, endpoints,
		json_object_get_string(member(status, "held")),
		json_object_to_json_string_ext(member(status, "waiting"), JSON_C_TO_STRING_PLAIN));
	g_free(peers);
	g_free(endpoints);
}

int
spindlectl_status(int argc, char **argv)
{
	gboolean json = FALSE;
	char **operands = NULL;
	int result = SPINDLECTL_OK;

	if (!spindlectl_arguments(argc, argv, "ADDRESS", 0, 1, &json, &operands, &result))
		return result;
	struct json_object *all = json_object_new_array();
	for (char **address = operands; *address != NULL; address++)
	{
		struct json_object *status = fetch_status(*address);
		if (member(status, "error") != NULL)
			result = SPINDLECTL_FAILED;
		json_object_array_add(all, status);
	}
	if (json)
		printf("%s\n", json_object_to_json_string_ext(all, JSON_C_TO_STRING_PLAIN));
	else
	{
		printf("%-28s %-10s %-6s %8s %-6s %-7s %-10s %-6s %s\n", "address", "vm", "zone",
			"version", "ready", "peers", "endpoints", "held", "waiting by tier");
		for (size_t i = 0; i < json_object_array_length(all); i++)
			print_row(json_object_array_get_idx(all, i));
	}
	json_object_put(all);
	g_strfreev(operands);
	return result;
}

/* --- explain --- */

struct term
{
	const char *key;
	const char *meaning;
};

static const struct term terms[] = {
	{"event", "kind of decision"},
	{"request", "request id: VM, then its number there"},
	{"team", "team that the key belongs to"},
	{"tier", "tier, 0 is the most urgent"},
	{"pool", "model or service"},
	{"endpoint", "endpoint chosen"},
	{"waited_us", "time since the request came, or since it asked"},
	{"cached_tokens", "prompt tokens believed cached there"},
	{"wait_us", "cost: prefill queued ahead of it there"},
	{"prefill_us", "cost: its own prompt tokens that are not cached there"},
	{"decode_us", "cost: estimated output at the learned speed"},
	{"total_us", "cost: all of these, prefill done again weighted by reuse_weight"},
	{"running", "requests granted there and not over"},
	{"limit", "requests at once that the endpoint is held to"},
	{"others", "the other endpoints: name:total cost, or why it was passed over"},
	{"reason", "why this one"},
	{"code", "what the caller is told"},
	{"verdict", "whether it may have run"},
	{"slack_us", "time left until its deadline"},
	{"fastest_us", "least time in which any endpoint could do a part of it"},
	{"outcome", "how the dispatch ended"},
	{"try", "dispatches before this one that were surely not run"},
	{"policy", "routing policy"},
};

static const char *
meaning_of(const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(terms); i++)
	{
		if (strcmp(terms[i].key, key) == 0)
			return terms[i].meaning;
	}
	return "";
}

static void
explain_word(const char *word, struct json_object *out)
{
	char **pair = g_strsplit(word, "=", 2);

	if (pair[0] != NULL && pair[1] != NULL)
	{
		if (out != NULL)
			json_object_object_add(out, pair[0], json_object_new_string(pair[1]));
		else
			printf("%-16s %-28s %s\n", pair[0], pair[1], meaning_of(pair[0]));
	}
	g_strfreev(pair);
}

int
spindlectl_explain(int argc, char **argv)
{
	gboolean json = FALSE;
	char **operands = NULL;
	int result = SPINDLECTL_OK;

	if (!spindlectl_arguments(argc, argv, "LOG-LINE", 0, 1, &json, &operands, &result))
		return result;
	char *line = g_strjoinv(" ", operands);
	char **words = g_strsplit(line, " ", -1);
	struct json_object *out = json ? json_object_new_object() : NULL;
	if (strstr(line, "event=") == NULL)
	{
		fprintf(stderr, PROGRAM ": explain: not a decision's log line (no event=)\n");
		result = SPINDLECTL_FAILED;
	}
	for (char **word = words; result == SPINDLECTL_OK && *word != NULL; word++)
		explain_word(*word, out);
	if (json && result == SPINDLECTL_OK)
		printf("%s\n", json_object_to_json_string_ext(out, JSON_C_TO_STRING_PLAIN));
	json_object_put(out);
	g_strfreev(words);
	g_free(line);
	g_strfreev(operands);
	return result;
}
