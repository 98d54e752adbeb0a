/*
 * log_budget.h
 * how many log lines may be written, and what is told of those that were not
 *
 * Plain state and a clock that is passed in. Lines of less weight stop first:
 * the last third of a budget is kept for lines about what failed.
 */
#ifndef COMETSPINDLE_LOG_BUDGET_H
#define COMETSPINDLE_LOG_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Kinds of lines that are counted apart; further ones are counted together. */
#define COMET_LOG_KINDS 16

/** Lines of one event that were left out. */
struct comet_log_suppressed
{
	char event[32];
	char sample[64]; /**< id of one request among them; "" when none was named */
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
	uint64_t summed_us; /**< when what was left out was last told */
	struct comet_log_suppressed suppressed[COMET_LOG_KINDS];
	size_t n_suppressed;
	struct comet_log_repeated repeated[COMET_LOG_KINDS];
	size_t n_repeated;
	uint64_t repeated_us; /**< start of the current second */
};

/** Sets the bound; a second's lines may be written at once. */
void
comet_log_budget_init(struct comet_log_budget *budget, uint32_t lines_per_s, uint64_t now_us);

/** May this line be written? weighty: it is about something that failed or changed. */
bool
comet_log_budget_take(struct comet_log_budget *budget, bool important, uint64_t now_us);

/** May this line be written, of an event that peers report in large numbers? Each event has a few
 * lines a second. */
bool
comet_log_budget_take_repeated(struct comet_log_budget *budget, const char *line, uint64_t now_us);

/** This line was not written, whatever the reason. */
void
comet_log_budget_suppress(struct comet_log_budget *budget, const char *line);

/** Once a second: writes what was left out as one line. @return false when there is nothing. */
bool
comet_log_budget_summary(struct comet_log_budget *budget, char *line, size_t size, uint64_t now_us);

#endif
