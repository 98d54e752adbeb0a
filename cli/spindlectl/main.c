/*
 * main.c
 * spindlectl: looks at bundles, settings and running daemons; changes nothing
 */
#include "spindlectl.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <libcometspindle/error.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define OPERANDS_MAX 1000

struct command
{
	const char *group; /* NULL: a single word */
	const char *name;
	int (*run)(int argc, char **argv);
	const char *purpose;
};

static const struct command commands[] = {
	{"bundle", "check", spindlectl_bundle_check, "check a document: every fault with its path"},
	{"bundle", "sign", spindlectl_bundle_sign, "sign a checked document with a secret key"},
	{"bundle", "verify", spindlectl_bundle_verify, "verify a signed bundle with a public key"},
	{"bundle", "diff", spindlectl_bundle_diff, "show what differs between two documents"},
	{"key", "bundle", spindlectl_key_bundle, "make a key pair that bundles are signed with"},
	{"key", "peer", spindlectl_key_peer, "make the secret key that the VMs share"},
	{"key", "hash", spindlectl_key_hash, "hash a team's bearer key for the bundle"},
	{"settings", "check", spindlectl_settings_check, "check a daemon's settings"},
	{NULL, "status", spindlectl_status, "one table over all VMs"},
	{NULL, "trace", spindlectl_trace, "the life of one request, from logs of several VMs"},
	{NULL, "explain", spindlectl_explain, "explain a decision's log line, term by term"},
};

int
spindlectl_fail(const char *place, GError *error)
{
	fprintf(stderr, PROGRAM ": %s: %s\n", place, error->message);
	g_error_free(error);
	return SPINDLECTL_FAILED;
}

static size_t
collect(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

char *
spindlectl_fetch(const char *url, GError **error)
{
	CURL *easy = curl_easy_init();
	GString *body = g_string_new(NULL);
	long status = 0;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 3000L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	CURLcode result = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	if (result == CURLE_OK && status == 200)
		return g_string_free(body, FALSE);
	g_set_error(error, COMET_ERROR, COMET_ERROR_IO, "%s (status %ld)",
		curl_easy_strerror(result), status);
	g_string_free(body, TRUE);
	return NULL;
}

gboolean
spindlectl_arguments(int argc, char **argv, const char *operand, int wanted, int at_least,
	gboolean *json, char ***operands, int *result)
{
	struct arg_lit *json_flag = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_str *words = arg_strn(NULL, NULL, operand, wanted > 0 ? wanted : at_least,
		wanted > 0 ? wanted : OPERANDS_MAX, "what to look at");
	struct arg_end *end = arg_end(5);
	void *table[] = {json_flag, help, words, end};
	int errors = arg_parse(argc, argv, table);

	*result = SPINDLECTL_OK;
	if (help->count > 0)
	{
		printf("Usage: " PROGRAM " ... %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
	}
	else if (errors > 0)
	{
		arg_print_errors(stderr, end, argv[0]);
		*result = SPINDLECTL_USAGE;
	}
	else
	{
		*json = json_flag->count > 0;
		*operands = g_new0(char *, (gsize)words->count + 1);
		for (int i = 0; i < words->count; i++)
			(*operands)[i] = g_strdup(words->sval[i]);
	}
	gboolean go_on = help->count == 0 && errors == 0;
	arg_freetable(table, sizeof table / sizeof *table);
	return go_on;
}

static void
print_help(FILE *out)
{
	fprintf(out, "Usage: " PROGRAM " COMMAND [--json] [ARGUMENT...]\n\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
	{
		char *name = g_strjoin(" ",
			commands[i].group != NULL ? commands[i].group : commands[i].name,
			commands[i].group != NULL ? commands[i].name : NULL, NULL);
		fprintf(out, "  %-16s %s\n", name, commands[i].purpose);
		g_free(name);
	}
}

static const struct command *
find_command(int argc, char **argv, int *words)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
	{
		const struct command *command = &commands[i];
		if (command->group == NULL && strcmp(argv[1], command->name) == 0)
		{
			*words = 1;
			return command;
		}
		if (command->group != NULL && argc > 2 && strcmp(argv[1], command->group) == 0 &&
			strcmp(argv[2], command->name) == 0)
		{
			*words = 2;
			return command;
		}
	}
	return NULL;
}

int
main(int argc, char **argv)
{
	int words = 0;

	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0)
		return SPINDLECTL_FAILED;
	if (argc < 2)
	{
		print_help(stderr);
		return SPINDLECTL_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0)
	{
		print_help(stdout);
		return SPINDLECTL_OK;
	}
	if (strcmp(argv[1], "--version") == 0)
	{
		printf(PROGRAM " " COMET_VERSION "\n");
		return SPINDLECTL_OK;
	}
	const struct command *command = find_command(argc, argv, &words);
	if (command == NULL)
	{
		fprintf(stderr, PROGRAM ": no such command; see --help\n");
		return SPINDLECTL_USAGE;
	}
	return command->run(argc - words, argv + words);
}
