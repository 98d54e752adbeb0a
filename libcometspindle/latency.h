/*
 * latency.h
 * a histogram of times with fixed bounds, for metrics
 */
#ifndef COMETSPINDLE_LATENCY_H
#define COMETSPINDLE_LATENCY_H

#include <glib.h>
#include <stdint.h>

/** Upper bounds of the buckets but the last, which has none. */
#define COMET_LATENCY_BOUNDS 12

struct comet_latency
{
	uint64_t counts[COMET_LATENCY_BOUNDS + 1];
	uint64_t sum_us;
};

/** Adds one time. */
void
comet_latency_add(struct comet_latency *latency, uint64_t us);

/** Appends it in Prometheus text; labels: "name=\"value\"" pairs without braces, may be "". */
void
comet_latency_print(
	const struct comet_latency *latency, GString *out, const char *name, const char *labels);

#endif
