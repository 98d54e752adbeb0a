/*
 * trace.c
 * spindlectl trace: the life of one request, from the logs of several processes
 *
 * Prints the lines that name the request, and between them what its processes
 * believed: changes of the endpoints it touched, of the directory, of the routes
 * and of the process itself, from some seconds before its first line on.
 */
#include "spindlectl.h"

#include <stdio.h>
#include <string.h>

/* A process that is started again within this time of the request's last line was killed under it.
 */
#define AFTER_US 15000000

/* Beliefs older than this before the request's first line are left out. */
#define BEFORE_US 30000000

struct line
{
	char *text;
	const char *file; /* owned by the operands */
	gint64 time_us;
	char *process; /* file and pid */
};

/* The value of key in a line of key=value pairs, or NULL. Caller frees. */
static char *
value_of(const char *text, const char *key)
{
	char *mark = g_strconcat(key, "=", NULL);
	const char *at = strstr(text, mark);

	while (at != NULL && at != text && at[-1] != ' ' && at[-1] != '\t')
		at = strstr(at + 1, mark);
	char *value =
		at != NULL ? g_strndup(at + strlen(mark), strcspn(at + strlen(mark), " ")) : NULL;
	g_free(mark);
	return value;
}

static gint64
time_of(const char *text)
{
	char *stamp = value_of(text, "ts");
	GDateTime *time = stamp != NULL ? g_date_time_new_from_iso8601(stamp, NULL) : NULL;
	gint64 us = 0;

	if (time != NULL)
	{
		us = g_date_time_to_unix(time) * G_USEC_PER_SEC + g_date_time_get_microsecond(time);
		g_date_time_unref(time);
	}
	g_free(stamp);
	return us;
}

static void
free_line(gpointer data)
{
	struct line *line = data;

	g_free(line->text);
	g_free(line->process);
	g_free(line);
}

/* Takes over the lines of a file that are ours. */
static gboolean
read_lines(const char *file, GPtrArray *lines, GError **error)
{
	char *text = NULL;

	if (!g_file_get_contents(file, &text, NULL, error))
		return FALSE;
	char **all = g_strsplit(text, "\n", -1);
	for (char **at = all; *at != NULL; at++)
	{
		const char *begin = strstr(*at, "ts=");
		if (begin == NULL || strstr(begin, " event=") == NULL)
			continue;
		struct line *line = g_new0(struct line, 1);
		char *pid = value_of(begin, "pid");
		line->text = g_strdup(begin);
		line->file = file;
		line->time_us = time_of(begin);
		line->process = g_strdup_printf("%s#%s", file, pid != NULL ? pid : "");
		g_free(pid);
		g_ptr_array_add(lines, line);
	}
	g_strfreev(all);
	g_free(text);
	return TRUE;
}

static gint
compare_times(gconstpointer left, gconstpointer right)
{
	const struct line *a = *(struct line *const *)left;
	const struct line *b = *(struct line *const *)right;

	if (a->time_us == b->time_us)
		return 0;
	return a->time_us < b->time_us ? -1 : 1;
}

/* Did the process that held the request start anew after the request's last line? */
static gboolean
is_restart(const struct line *line, const char *event, const char *holder, gint64 to_us)
{
	return holder != NULL && event != NULL && strcmp(event, "started") == 0 &&
	       strcmp(line->file, holder) == 0 && line->time_us > to_us &&
	       line->time_us < to_us + AFTER_US;
}

/* Is this line about the request, or a change in what one of its processes believed? */
static gboolean
is_wanted(const struct line *line, const char *id, GHashTable *processes, GHashTable *endpoints,
	const char *holder, gint64 from_us, gint64 to_us)
{
	static const char *const beliefs[] = {"directory_", "routes_", "started", "stop",
		"lines_left_out", "copy_", "reload", "vm_"};
	char *request = value_of(line->text, "request");
	char *endpoint = value_of(line->text, "endpoint");
	char *event = value_of(line->text, "event");
	gboolean wanted = request != NULL && strcmp(request, id) == 0;

	if (!wanted && request == NULL && line->time_us >= from_us && line->time_us <= to_us &&
		g_hash_table_contains(processes, line->process))
	{
		wanted = endpoint != NULL && g_hash_table_contains(endpoints, endpoint);
		for (size_t i = 0; i < G_N_ELEMENTS(beliefs) && event != NULL; i++)
			wanted = wanted || g_str_has_prefix(event, beliefs[i]);
	}
	wanted = wanted || is_restart(line, event, holder, to_us);
	g_free(request);
	g_free(endpoint);
	g_free(event);
	return wanted;
}

/* Does this line tell the request's end? */
static gboolean
has_ended(const char *text)
{
	static const char *const ends[] = {
		"event=answered ", "event=refused ", "event=cut ", "event=caller_left "};

	for (size_t i = 0; i < G_N_ELEMENTS(ends); i++)
	{
		if (strstr(text, ends[i]) != NULL)
			return TRUE;
	}
	return FALSE;
}

/* Finds the processes and endpoints that a request touched, and its first and last time. */
static gboolean
find_life(GPtrArray *lines, const char *id, GHashTable *processes, GHashTable *endpoints,
	const char **holder, gint64 *from_us, gint64 *to_us)
{
	gboolean found = FALSE;

	for (guint i = 0; i < lines->len; i++)
	{
		struct line *line = lines->pdata[i];
		char *request = value_of(line->text, "request");
		if (request != NULL && strcmp(request, id) == 0)
		{
			char *endpoint = value_of(line->text, "endpoint");
			if (!found)
				*from_us = line->time_us - BEFORE_US;
			*to_us = line->time_us;
			*holder = has_ended(line->text) ? NULL : line->file;
			found = TRUE;
			g_hash_table_add(processes, line->process);
			if (endpoint != NULL)
				g_hash_table_add(endpoints, endpoint);
		}
		g_free(request);
	}
	return found;
}

static void
print_line(const struct line *line, const char *id, gint64 first_us)
{
	const char *event = strstr(line->text, "event=");
	gboolean own = strstr(line->text, id) != NULL;

	printf("%+10.3f s %s %s: %s\n", (double)(line->time_us - first_us) / G_USEC_PER_SEC,
		own ? "*" : " ", line->file, event);
}

static int
print_life(GPtrArray *lines, const char *id)
{
	GHashTable *processes = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const char *holder = NULL;
	gint64 from_us = 0;
	gint64 to_us = 0;
	int result = SPINDLECTL_OK;

	g_ptr_array_sort(lines, compare_times);
	if (!find_life(lines, id, processes, endpoints, &holder, &from_us, &to_us))
	{
		fprintf(stderr, PROGRAM ": trace: no line names request %s\n", id);
		result = SPINDLECTL_FAILED;
	}
	for (guint i = 0; result == SPINDLECTL_OK && i < lines->len; i++)
	{
		const struct line *line = lines->pdata[i];
		if (is_wanted(line, id, processes, endpoints, holder, from_us, to_us))
			print_line(line, id, from_us + BEFORE_US);
	}
	g_hash_table_destroy(processes);
	g_hash_table_destroy(endpoints);
	return result;
}

int
spindlectl_trace(int argc, char **argv)
{
	gboolean json = FALSE;
	char **operands = NULL;
	int result = SPINDLECTL_OK;
	GError *error = NULL;

	if (!spindlectl_arguments(argc, argv, "ID FILE", 0, 2, &json, &operands, &result))
		return result;
	GPtrArray *lines = g_ptr_array_new_with_free_func(free_line);
	for (char **file = operands + 1; result == SPINDLECTL_OK && *file != NULL; file++)
	{
		if (!read_lines(*file, lines, &error))
			result = spindlectl_fail(*file, error);
	}
	if (result == SPINDLECTL_OK)
		result = print_life(lines, operands[0]);
	g_ptr_array_free(lines, TRUE);
	g_strfreev(operands);
	return result;
}
