/*
 * log.h
 * structured lines on standard output: ts=... level=... pid=... event=...
 *
 * One form for all processes (logfmt: it greps by id, and tools split it into
 * fields). Writing never blocks: a full or closed pipe costs lines, not time.
 */
#ifndef COMETSPINDLE_LOG_H
#define COMETSPINDLE_LOG_H

/** Severities, numbered as syslog numbers them. */
enum comet_log_level
{
	COMET_LOG_ERR = 3,
	COMET_LOG_WARNING = 4,
	COMET_LOG_NOTICE = 5,
	COMET_LOG_INFO = 6,
	COMET_LOG_DEBUG = 7,
};

/** Where finished lines go; tests replace it to capture golden sessions. */
typedef void (*comet_log_sink)(void *ctx, enum comet_log_level level, const char *line);

/** Sets program name and the least severe level that is written. */
void
comet_log_init(const char *program, enum comet_log_level threshold);

/** Sets the least severe level that is written. */
void
comet_log_set_level(enum comet_log_level threshold);

/** Limits the lines per second; 0: no limit. One line sums up those that are left out. */
void
comet_log_set_budget(unsigned int lines_per_s);

/** Writes the line that sums up what was left out, if a second has passed. Call it regularly. */
void
comet_log_tick(void);

/** Sends lines to sink instead of standard output; NULL restores it. */
void
comet_log_set_sink(comet_log_sink sink, void *ctx);

/** Writes one line; text begins with "event=NAME". Never prompts, answers or keys. */
void
comet_log(enum comet_log_level level, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Writes one line of an event that peers report in large numbers: a few per second and event, or
 * all of them at level debug. The others are summed up with the lines that are left out. */
void
comet_log_repeated(enum comet_log_level level, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** One of the two functions above. */
typedef void
comet_log_writer(enum comet_log_level level, const char *format, ...);

/** Parses "err", "warning", "notice", "info", "debug"; -1 when unknown. */
int
comet_log_level_parse(const char *name);

/**
 * An invariant was broken: logged with its state and counted; aborts when
 * COMET_ABORT_ON_VIOLATION is set in the environment, as it is in tests.
 */
void
comet_violation(const char *name, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** Broken invariants since the start of the process. */
unsigned long
comet_violation_count(void);

#endif
