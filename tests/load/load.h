/*
 * load.h
 * what the load program's files share
 */
#ifndef COMETSPINDLE_TESTS_LOAD_H
#define COMETSPINDLE_TESTS_LOAD_H

#include "../standin/standin.h"

#include <glib.h>
#include <libcometspindle/adapters/endpoints/curl_loop.h>
#include <stdio.h>

#define TIERS 8

enum fate
{
	FATE_OK,   /* whole, right and in time */
	FATE_LATE, /* whole and right, after its deadline */
	FATE_SHED,
	FATE_EXPIRED, /* deadline_exceeded, not run */
	FATE_QUOTA,
	FATE_REFUSED, /* any other "not run" */
	FATE_UNKNOWN, /* told that it may have run, or no answer could be had */
	FATE_WRONG,   /* not its own answer, or one that looks whole and is not */
	FATES,
};

/** Names of the fates, as results and the log have them (attempt.c). */
extern const char *const load_fate_names[FATES];

struct class
{
	char *name;
	char *tier_name;
	char *service; /* NULL: a completion */
	char *model;
	GPtrArray *keys;
	int tier;
	double rate;
	uint32_t prompt_min, prompt_max; /* tokens, own part */
	uint32_t shared_tokens, shared_count;
	uint32_t output_min, output_max;
	uint32_t deadline_ms;
	bool once;
	bool chat;
	bool stream;
	double burst_from_s, burst_to_s, burst_factor;
	double next_us;
	GRand *rand; /* its own, so that a slow run changes nothing of what is sent */
	uint64_t sent;
};

struct load
{
	struct tevent_context *ev;
	struct comet_curl_loop *curl;
	GRand *rand;
	uint64_t seed;
	GPtrArray *classes;
	char **entries;
	guint n_entries;
	uint64_t entries_until_us;
	bool entries_busy;
	CURL *entries_easy;
	GString *entries_body;
	uint64_t start_us;
	uint64_t end_us;
	uint32_t open;
	uint64_t serial;
	FILE *log;
	uint64_t fates[TIERS][FATES];
	GArray *first_us[TIERS];
	GArray *gap_us[TIERS];
	GHashTable *classes_ok;
	bool over;
};

/* load.c */

/** Asks one of the known VMs which to use, when the last answer has run out. */
void
load_refresh_entries(struct load *load);

/* attempt.c */

/** Sends a request of a class; it is judged and recorded when it is over. */
void
load_send_one(struct load *load, struct class *class);

#endif
