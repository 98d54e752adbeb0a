/*
 * log.c
 * structured lines on standard output
 */
#include <libcometspindle/log.h>

#include <libcometspindle/log_budget.h>
#include <libcometspindle/now.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* A line and its head fit a pipe's atomic write (4,096 bytes) with room to spare. */
#define LINE_MAX_BYTES 1024
#define HEAD_MAX_BYTES 160

static const char *log_program = "comet";
static enum comet_log_level log_threshold = COMET_LOG_INFO;
static comet_log_sink log_sink;
static void *log_sink_ctx;
static atomic_ulong violations;
static pthread_mutex_t budget_lock = PTHREAD_MUTEX_INITIALIZER;
static struct comet_log_budget budget;

void
comet_log_init(const char *program, enum comet_log_level threshold)
{
	log_program = program;
	log_threshold = threshold;
	pthread_mutex_lock(&budget_lock);
	comet_log_budget_init(&budget, 0, comet_now_us(CLOCK_BOOTTIME));
	pthread_mutex_unlock(&budget_lock);
}

void
comet_log_set_level(enum comet_log_level threshold)
{
	log_threshold = threshold;
}

void
comet_log_set_sink(comet_log_sink sink, void *ctx)
{
	log_sink = sink;
	log_sink_ctx = ctx;
}

void
comet_log_set_budget(unsigned int lines_per_s)
{
	pthread_mutex_lock(&budget_lock);
	comet_log_budget_set_rate(&budget, lines_per_s, comet_now_us(CLOCK_BOOTTIME));
	pthread_mutex_unlock(&budget_lock);
}

static const char *
level_name(enum comet_log_level level)
{
	static const char *const names[] = {"err", "warning", "notice", "info", "debug"};

	return names[level - COMET_LOG_ERR];
}

/* Writes a line unless that would block. @return false when it was not written. */
static bool
write_line(enum comet_log_level level, const char *text)
{
	char line[LINE_MAX_BYTES + HEAD_MAX_BYTES];
	struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
	struct timespec now;
	struct tm parts;
	char stamp[32];

	if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
		return false;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &parts);
	strftime(stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &parts);
	int length = snprintf(line, sizeof line, "ts=%s.%06ldZ level=%s program=%s pid=%d %s\n",
		stamp, now.tv_nsec / 1000, level_name(level), log_program, (int)getpid(), text);
	if (length <= 0)
		return false;
	if ((size_t)length >= sizeof line)
	{
		length = (int)sizeof line - 1;
		line[length - 1] = '\n';
	}
	return write(STDOUT_FILENO, line, (size_t)length) == length;
}

/* Writes what was left out, if it is time to; the lock is held. */
static void
write_summary(void)
{
	char text[LINE_MAX_BYTES];

	struct comet_log_budget before = budget;
	if (comet_log_budget_summary(&budget, text, sizeof text, comet_now_us(CLOCK_BOOTTIME)) &&
		!write_line(COMET_LOG_WARNING, text))
		budget = before; /* told with the next */
}

void
comet_log_tick(void)
{
	if (log_sink != NULL)
		return;
	pthread_mutex_lock(&budget_lock);
	write_summary();
	pthread_mutex_unlock(&budget_lock);
}

/* Writes within the budget. repeated: of an event that peers report in large numbers. */
static void
write_bounded(enum comet_log_level level, const char *text, bool repeated)
{
	pthread_mutex_lock(&budget_lock);
	/* Read under the lock, since an earlier time than that of the last line of another thread
	 * would refill the budget. */
	uint64_t now_us = comet_now_us(CLOCK_BOOTTIME);
	bool taken = !repeated || comet_log_budget_take_repeated(&budget, text, now_us);
	if (!taken || !comet_log_budget_take(&budget, level <= COMET_LOG_NOTICE, now_us) ||
		!write_line(level, text))
		comet_log_budget_suppress(&budget, text);
	write_summary();
	pthread_mutex_unlock(&budget_lock);
}

/* Text from outside may hold a line break: what follows it must not read as a line of its own. */
static void
replace_controls(char *text)
{
	for (; *text != '\0'; text++)
	{
		if ((unsigned char)*text < ' ' || *text == '\x7f')
			*text = '?';
	}
}

static void
log_line(enum comet_log_level level, bool repeated, const char *format, va_list args)
{
	char text[LINE_MAX_BYTES];

	vsnprintf(text, sizeof text, format, args);
	replace_controls(text);
	if (log_sink != NULL)
		log_sink(log_sink_ctx, level, text);
	else
		write_bounded(level, text, repeated);
}

void
comet_log(enum comet_log_level level, const char *format, ...)
{
	va_list args;

	if (level > log_threshold)
		return;
	va_start(args, format);
	log_line(level, false, format, args);
	va_end(args);
}

void
comet_log_repeated(enum comet_log_level level, const char *format, ...)
{
	va_list args;

	if (level > log_threshold)
		return;
	va_start(args, format);
	log_line(level, log_threshold < COMET_LOG_DEBUG, format, args);
	va_end(args);
}

int
comet_log_level_parse(const char *name)
{
	static const char *const names[] = {"err", "warning", "notice", "info", "debug"};

	for (int i = 0; i < 5; i++)
	{
		if (strcmp(name, names[i]) == 0)
			return COMET_LOG_ERR + i;
	}
	return -1;
}

void
comet_violation(const char *name, const char *format, ...)
{
	char text[LINE_MAX_BYTES / 2];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof text, format, args);
	va_end(args);
	atomic_fetch_add(&violations, 1);
	comet_log(COMET_LOG_ERR, "event=violation invariant=%s %s", name, text);
	if (getenv("COMET_ABORT_ON_VIOLATION") != NULL)
		abort();
}

unsigned long
comet_violation_count(void)
{
	return atomic_load(&violations);
}
