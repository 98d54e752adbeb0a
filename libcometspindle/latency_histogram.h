/*
 * latency_histogram.h
 * a histogram of times with fixed bounds, for metrics
 */
#ifndef COMETSPINDLE_LATENCY_HISTOGRAM_H
#define COMETSPINDLE_LATENCY_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/** Upper bounds of the buckets but the last, which has none. */
#define COMET_LATENCY_HISTOGRAM_BOUNDS 12

struct comet_latency_histogram
{
	uint64_t counts[COMET_LATENCY_HISTOGRAM_BOUNDS + 1];
	uint64_t sum_us;
};

/** Adds one time. */
void
comet_latency_histogram_add(struct comet_latency_histogram *latency, uint64_t us);

/** Appends it in Prometheus text; labels: "name=\"value\"" pairs without braces, may be "". */
void
comet_latency_histogram_print(const struct comet_latency_histogram *latency, GString *out,
	const char *name, const char *labels);

#endif
