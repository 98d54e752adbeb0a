/*
 * header_names.h
 * port: the header names that callers and endpoints use for what we mean
 */
#ifndef COMETSPINDLE_GATEWAY_HEADER_NAMES_H
#define COMETSPINDLE_GATEWAY_HEADER_NAMES_H

#include <stdbool.h>
#include <stdint.h>

/** Names of headers; none is NULL. */
struct comet_header_names
{
	const char *request_id;      /**< the caller's id of one attempt, repeated by the answer */
	const char *deadline_ms;     /**< how long whoever asks will wait */
	const char *team;            /**< set by us: whose key it was */
	const char *expect_instance; /**< set by us: any other process refuses */
	const char *stamp;           /**< on answers that an endpoint gave itself */
	const char *not_run;         /**< on an endpoint's refusals that ran nothing */
	const char *load;            /**< on answers: running, waiting, slots */
	const char *tokens;          /**< prompt tokens and most output tokens */
	const char *output_hint;     /**< expected output tokens */
	const char *last_event;      /**< id of the last event a reader has */
	const char *authorization;
	const char *key_scheme; /**< word before the key in authorization */
	/** Ends in NULL: headers of requests that are ours to set towards endpoints, used or not.
	 * What callers send under these names never goes on. */
	const char *const *reserved;
};

/** What a load header tells. */
struct comet_header_load
{
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
};

/** @return whether a header is ours to set, and not passed on as a caller sent it. */
bool
comet_header_is_reserved(const struct comet_header_names *names, const char *header);

/** Parses "prompt,output"; false when it is not two whole numbers. */
bool
comet_header_parse_tokens(const char *text, uint32_t *prompt, uint32_t *output);

/** Parses "running,waiting,slots"; false when it is not three whole numbers of a plausible size. */
bool
comet_header_parse_load(const char *text, struct comet_header_load *load);

/** Parses a whole number of milliseconds; false when it is not one. */
bool
comet_header_parse_ms(const char *text, uint32_t *ms);

/** Parses seconds, whole or with a fraction, at most an hour; false when it is none. */
bool
comet_header_parse_seconds(const char *text, uint32_t *ms);

/** Parses the "timeout" of a Keep-Alive header. @return false if it tells none in whole seconds */
bool
comet_header_parse_keep_alive(const char *text, uint32_t *seconds);

#endif
