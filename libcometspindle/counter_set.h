/*
 * counter_set.h
 * counters by label text, for metrics whose labels are only known when they occur
 */
#ifndef COMETSPINDLE_COUNTER_SET_H
#define COMETSPINDLE_COUNTER_SET_H

#include <glib.h>

struct comet_counter_set;

/** Labels beyond this many are counted together as other="true". */
#define COMET_COUNTER_SET_LABELS_MAX 128

struct comet_counter_set *
comet_counter_set_create(void *parent);

/** Counts one more; labels: "name=\"value\"" pairs without braces, copied. */
void
comet_counter_set_add(struct comet_counter_set *counter_set, const char *labels);

/** Appends all counters in Prometheus text, with their type. */
void
comet_counter_set_print(
	const struct comet_counter_set *counter_set, GString *out, const char *name);

#endif
