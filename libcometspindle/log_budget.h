/*
 * log_budget.h
 * limits the rate of log lines, and sums up the lines that are left out
 *
 * The caller passes the time. The last third of a budget is reserved for lines
 * about failures, so that other lines are left out first.
 */
#ifndef COMETSPINDLE_LOG_BUDGET_H
#define COMETSPINDLE_LOG_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Kinds of lines that are counted separately; further ones are counted together. */
#define COMET_LOG_KINDS 16

/** Lines of one event that were left out. */
struct comet_log_suppressed
{
	char event[32];
	char sample[64]; /**< id of one request among them; "" if none had one */
	uint64_t count;
};

/** Lines of one event in the current second. */
struct comet_log_repeated
{
	char event[32];
	uint32_t lines;
};

struct comet_log_budget
{
	double lines_per_s; /**< 0: no bound */
	double level;       /**< lines that may be written now */
	uint64_t filled_us;
	uint64_t summed_us; /**< when lines that were left out were last summed up */
	struct comet_log_suppressed suppressed[COMET_LOG_KINDS];
	size_t n_suppressed;
	struct comet_log_repeated repeated[COMET_LOG_KINDS];
	size_t n_repeated;
	uint64_t repeated_us; /**< start of the current second */
};

/** Sets the bound. The lines of one second may be written at once. */
void
comet_log_budget_init(struct comet_log_budget *budget, uint32_t lines_per_s, uint64_t now_us);

/** Changes the bound. Lines of the running second stay counted, also those that were left out. */
void
comet_log_budget_set_rate(struct comet_log_budget *budget, uint32_t lines_per_s, uint64_t now_us);

/** @return whether a line may be written. important: it reports a failure or a change. */
bool
comet_log_budget_take(struct comet_log_budget *budget, bool important, uint64_t now_us);

/** @return whether a line of an event that peers report in large numbers may be written. Each event
 * has a few lines per second. */
bool
comet_log_budget_take_repeated(struct comet_log_budget *budget, const char *line, uint64_t now_us);

/** Counts a line that was not written. */
void
comet_log_budget_suppress(struct comet_log_budget *budget, const char *line);

/** Writes one line that sums up what was left out, once a second. @return false if nothing was. */
bool
comet_log_budget_summary(struct comet_log_budget *budget, char *line, size_t size, uint64_t now_us);

#endif
