/*
 * log_budget.c
 * limits the rate of log lines, and sums up the lines that are left out
 */
#include <libcometspindle/log_budget.h>

#include <stdio.h>
#include <string.h>

/* Fraction of the lines per second that is reserved for important ones. */
#define KEPT_PART 0.33

/* Interval of the lines that sum up what was left out. */
#define SUMMARY_US 1000000

/* Lines per second of an event that peers report in large numbers. */
#define REPEATED_PER_S 8
#define REPEATED_WINDOW_US 1000000

/* Event name for lines beyond the kinds that are counted separately. */
#define OTHER_EVENT "other"

void
comet_log_budget_init(struct comet_log_budget *budget, uint32_t lines_per_s, uint64_t now_us)
{
	memset(budget, 0, sizeof *budget);
	budget->lines_per_s = lines_per_s;
	budget->level = lines_per_s;
	budget->filled_us = now_us;
	budget->summed_us = now_us;
}

/* Adds the lines that the time since the last call allows. */
static void
refill(struct comet_log_budget *budget, uint64_t now_us)
{
	budget->level += budget->lines_per_s * (double)(now_us - budget->filled_us) / 1e6;
	if (budget->level > budget->lines_per_s)
		budget->level = budget->lines_per_s;
	budget->filled_us = now_us;
}

void
comet_log_budget_set_rate(struct comet_log_budget *budget, uint32_t lines_per_s, uint64_t now_us)
{
	refill(budget, now_us);
	/* Without a bound, lines written so far are not counted, and the difference is the new
	 * bound. */
	budget->level += (double)lines_per_s - budget->lines_per_s;
	if (budget->level < 0)
		budget->level = 0;
	budget->lines_per_s = lines_per_s;
}

bool
comet_log_budget_take(struct comet_log_budget *budget, bool important, uint64_t now_us)
{
	if (budget->lines_per_s <= 0)
		return true;
	refill(budget, now_us);
	if (budget->level < (important ? 1.0 : 1.0 + KEPT_PART * budget->lines_per_s))
		return false;
	budget->level -= 1.0;
	return true;
}

/* Copies the value of a key from a line of key=value pairs; "" if the line lacks the key. */
static void
copy_value(const char *line, const char *key, char *value, size_t size)
{
	const char *at = strstr(line, key);

	value[0] = '\0';
	if (at == NULL)
		return;
	at += strlen(key);
	size_t length = strcspn(at, " ");
	if (length >= size)
		length = size - 1;
	memcpy(value, at, length);
	value[length] = '\0';
}

static struct comet_log_suppressed *
kind_of(struct comet_log_budget *budget, const char *event)
{
	for (size_t i = 0; i < budget->n_suppressed; i++)
	{
		if (strcmp(budget->suppressed[i].event, event) == 0)
			return &budget->suppressed[i];
	}
	if (budget->n_suppressed == COMET_LOG_KINDS)
		return NULL;
	struct comet_log_suppressed *kind = &budget->suppressed[budget->n_suppressed++];
	memset(kind, 0, sizeof *kind);
	snprintf(kind->event, sizeof kind->event, "%s", event);
	return kind;
}

/* @return the counter of an event in this second, or NULL if there are too many events. */
static struct comet_log_repeated *
repeated_of(struct comet_log_budget *budget, const char *event)
{
	for (size_t i = 0; i < budget->n_repeated; i++)
	{
		if (strcmp(budget->repeated[i].event, event) == 0)
			return &budget->repeated[i];
	}
	if (budget->n_repeated == COMET_LOG_KINDS)
		return NULL;
	struct comet_log_repeated *repeated = &budget->repeated[budget->n_repeated++];
	snprintf(repeated->event, sizeof repeated->event, "%s", event);
	repeated->lines = 0;
	return repeated;
}

bool
comet_log_budget_take_repeated(struct comet_log_budget *budget, const char *line, uint64_t now_us)
{
	char event[sizeof budget->repeated[0].event];

	if (now_us - budget->repeated_us >= REPEATED_WINDOW_US)
	{
		budget->repeated_us = now_us;
		budget->n_repeated = 0;
	}
	copy_value(line, "event=", event, sizeof event);
	struct comet_log_repeated *repeated = repeated_of(budget, event);
	return repeated != NULL && ++repeated->lines <= REPEATED_PER_S;
}

void
comet_log_budget_suppress(struct comet_log_budget *budget, const char *line)
{
	char event[sizeof budget->suppressed[0].event];

	copy_value(line, "event=", event, sizeof event);
	if (event[0] == '\0' || budget->n_suppressed + 1 >= COMET_LOG_KINDS)
		snprintf(event, sizeof event, OTHER_EVENT);
	struct comet_log_suppressed *kind = kind_of(budget, event);
	if (kind == NULL)
		return;
	if (kind->sample[0] == '\0')
		copy_value(line, "request=", kind->sample, sizeof kind->sample);
	kind->count++;
}

bool
comet_log_budget_summary(struct comet_log_budget *budget, char *line, size_t size, uint64_t now_us)
{
	size_t at = 0;

	if (budget->n_suppressed == 0 || now_us - budget->summed_us < SUMMARY_US)
		return false;
	at += (size_t)snprintf(line, size, "event=lines_left_out ms=%llu",
		(unsigned long long)((now_us - budget->summed_us) / 1000));
	for (size_t i = 0; i < budget->n_suppressed && at < size; i++)
	{
		const struct comet_log_suppressed *kind = &budget->suppressed[i];
		at += (size_t)snprintf(line + at, size - at, " %s=%llu", kind->event,
			(unsigned long long)kind->count);
		if (kind->sample[0] != '\0' && at < size)
			at += (size_t)snprintf(
				line + at, size - at, " %s_sample=%s", kind->event, kind->sample);
	}
	budget->n_suppressed = 0;
	budget->summed_us = now_us;
	return true;
}
