/*
 * main.c
 * cometspindled: one per entry VM, all equal
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <libcometspindle/adapters/daemon/daemon.h>
#include <libcometspindle/adapters/gateway/gateway.h>
#include <libcometspindle/log.h>
#include <libcometspindle/settings.h>
#include <malloc.h>
#include <platform/directory.h>
#include <signal.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#define PROGRAM "cometspindled"
#define EXIT_USAGE 2

/* Allocations from this size on are mapped one by one. */
#define BODY_MMAP_BYTES (128 * 1024)

struct options
{
	struct arg_file *settings;
	struct arg_lit *check;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

/* Signals that stop or reload are held back until they can be handled: one that comes while a
 * process starts must not end it. */
static void
hold_signals(int how)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGHUP);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGTERM);
	pthread_sigmask(how, &signals, NULL);
}

static int
run_daemon(const struct comet_settings *settings)
{
	GError *error = NULL;
	struct comet_daemon *daemon = comet_daemon_create(settings, &error);

	if (daemon == NULL)
	{
		comet_log(COMET_LOG_ERR, "event=start_failed error=\"%s\"", error->message);
		g_clear_error(&error);
		return EXIT_FAILURE;
	}
	hold_signals(SIG_UNBLOCK);
	comet_daemon_run(daemon);
	comet_daemon_destroy(daemon);
	return EXIT_SUCCESS;
}

static int
run_gateway(const struct comet_gateway_settings *settings, const char *path)
{
	GError *error = NULL;
	struct comet_gateway *gateway =
		comet_gateway_create(settings, path, &comet_platform_gateway_adapter, &error);

	if (gateway == NULL)
	{
		comet_log(COMET_LOG_ERR, "event=start_failed error=\"%s\"", error->message);
		g_clear_error(&error);
		return EXIT_FAILURE;
	}
	hold_signals(SIG_UNBLOCK);
	comet_gateway_run(gateway);
	comet_gateway_destroy(gateway);
	return EXIT_SUCCESS;
}

static int
report_settings(const char *path, GError *error)
{
	fprintf(stderr, "%s: %s\n%s\n", PROGRAM, path, error->message);
	g_clear_error(&error);
	return EXIT_FAILURE;
}

/* Settings with a "gateway" are a gateway's. */
static int
start_gateway(const char *path, const char *text, size_t length, bool check_only)
{
	GError *error = NULL;
	struct comet_gateway_settings *settings =
		comet_gateway_settings_parse(text, length, &error);
	int result = EXIT_SUCCESS;

	if (settings == NULL)
		return report_settings(path, error);
	/* Each freed body is returned to the system. By default glibc keeps them once one was
	 * freed. */
	mallopt(M_MMAP_THRESHOLD, BODY_MMAP_BYTES);
	mallopt(M_TRIM_THRESHOLD, BODY_MMAP_BYTES);
	comet_log_init(PROGRAM, (enum comet_log_level)settings->log_level);
	comet_log_set_budget(settings->log_lines_per_s);
	if (check_only)
		printf("%s: settings are good\n", path);
	else
		result = run_gateway(settings, path);
	talloc_free(settings);
	return result;
}

static int
start_daemon(const char *path, const char *text, size_t length, bool check_only)
{
	GError *error = NULL;
	struct comet_settings *settings = comet_settings_parse(text, length, &error);
	int result = EXIT_SUCCESS;

	if (settings == NULL)
		return report_settings(path, error);
	comet_log_init(PROGRAM, (enum comet_log_level)settings->log_level);
	if (check_only)
		printf("%s: settings are good\n", path);
	else
		result = run_daemon(settings);
	talloc_free(settings);
	return result;
}

static int
run(const char *path, bool check_only)
{
	GError *error = NULL;
	char *text = NULL;
	gsize length = 0;

	if (!g_file_get_contents(path, &text, &length, &error))
		return report_settings(path, error);
	int result = comet_gateway_settings_match(text, length)
			     ? start_gateway(path, text, length, check_only)
			     : start_daemon(path, text, length, check_only);
	g_free(text);
	return result;
}

static void
print_help(void **table)
{
	printf("Usage: " PROGRAM);
	arg_print_syntax(stdout, table, "\n\nSchedules requests for a fleet of endpoints.\n\n");
	arg_print_glossary(stdout, table, "  %-24s %s\n");
}

int
main(int argc, char **argv)
{
	struct options options = {
		.settings = arg_file0("s", "settings", "FILE", "settings, JSON with comments"),
		.check = arg_lit0(NULL, "check", "check the settings and exit"),
		.help = arg_lit0("h", "help", "print this and exit"),
		.version = arg_lit0(NULL, "version", "print the version and exit"),
		.end = arg_end(5),
	};
	void *table[] = {
		options.settings, options.check, options.help, options.version, options.end};
	/* A log's reader or a caller that is gone is an error of that write, not the end. */
	signal(SIGPIPE, SIG_IGN);
	hold_signals(SIG_BLOCK);
	int errors = arg_parse(argc, argv, table);
	int result = EXIT_SUCCESS;

	if (options.help->count > 0)
		print_help(table);
	else if (options.version->count > 0)
		printf(PROGRAM " " COMET_VERSION "\n");
	else if (errors > 0 || options.settings->count == 0)
	{
		arg_print_errors(stderr, options.end, PROGRAM);
		fprintf(stderr, PROGRAM ": --settings FILE is needed; see --help\n");
		result = EXIT_USAGE;
	}
	else if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0)
		result = EXIT_FAILURE;
	else
		result = run(options.settings->filename[0], options.check->count > 0);
	arg_freetable(table, sizeof table / sizeof *table);
	return result;
}
