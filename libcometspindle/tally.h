/*
 * tally.h
 * counters by label text, for metrics whose labels are only known when they occur
 */
#ifndef COMETSPINDLE_TALLY_H
#define COMETSPINDLE_TALLY_H

#include <glib.h>

struct comet_tally;

/** Labels beyond this many are counted together as other="true". */
#define COMET_TALLY_LABELS_MAX 128

struct comet_tally *
comet_tally_create(void *parent);

/** Counts one more; labels: "name=\"value\"" pairs without braces, copied. */
void
comet_tally_add(struct comet_tally *tally, const char *labels);

/** Appends all counters in Prometheus text, with their type. */
void
comet_tally_print(const struct comet_tally *tally, GString *out, const char *name);

#endif
