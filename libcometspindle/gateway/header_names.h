/*
 * header_names.h
 * port: the header names that callers and endpoints use
 */
#ifndef COMETSPINDLE_GATEWAY_HEADER_NAMES_H
#define COMETSPINDLE_GATEWAY_HEADER_NAMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Header of a request that another VM forwards, because it reaches no endpoint. Never sent to
 * endpoints. */
#define COMET_HEADER_THROUGH_VM "Comet-Through-Vm"

/** Header of requests and responses between VMs: the version of a stream, as comet_hash_name() in
 * hexadecimal. Never sent to endpoints or callers. */
#define COMET_HEADER_STREAM_VERSION "Comet-Stream-Version"

/** Header names; none of them is NULL. */
struct comet_header_names
{
	const char *request_id;  /**< the caller's id of an attempt, which the response repeats */
	const char *deadline_ms; /**< how long the sender of the request waits */
	const char *team;        /**< set by the gateway: the team of the caller's key */
	const char *expect_instance; /**< set by the gateway: any other process must refuse the
					request */
	const char *server_stamp;    /**< on responses that the endpoint itself produced */
	const char *not_run;         /**< on refusals by an endpoint that did not run the request */
	const char *load;        /**< on responses: running requests, waiting requests and slots */
	const char *tokens;      /**< number of prompt tokens and maximum number of output tokens */
	const char *output_hint; /**< expected number of output tokens */
	const char *prompt_parts; /**< the parts of the prompt, in order; the last one belongs to
				     the request or to its session alone */
	const char *last_event;   /**< id of the last event that the client received */
	const char *authorization;
	const char *key_scheme; /**< scheme before the key in authorization */
	/** NULL-terminated list of request headers that only the gateway sets towards endpoints,
	 * whether it uses them or not. Values that callers send under these names are never
	 * forwarded. */
	const char *const *reserved;
};

/** Values of a load header. */
struct comet_header_load
{
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t slowdown_percent; /**< how long work takes at present, in percent of the usual
				      time, as stated; 100 if the header does not state it */
	bool slowdown_stated;
};

/** @return whether only the gateway sets a header, so that the value of a caller is not forwarded.
 */
bool
comet_header_is_reserved(const struct comet_header_names *names, const char *header);

/** Parses "prompt,output". @return false unless the text is two whole numbers. */
bool
comet_header_parse_tokens(const char *text, uint32_t *prompt, uint32_t *output);

/** Shared parts of a prompt that are read at most. A prompt consists of a few: instructions, tools,
 * documents. */
#define COMET_HEADER_PARTS_MAX 16

/** The id of a part of a prompt, within the text of its header. */
struct comet_header_part
{
	const char *id; /**< not terminated */
	size_t length;
};

/** Parses "ID:TOKENS,ID:TOKENS", with hexadecimal ids, and leaves out the last part.
 * @return the number of parts; 0 if the text is malformed or has only one. */
size_t
comet_header_parse_parts(const char *text, struct comet_header_part parts[COMET_HEADER_PARTS_MAX]);

/** Parses "running,waiting,slots" or "running,waiting,slots,slowdown". @return false unless the
 * text is three or four whole numbers in range. */
bool
comet_header_parse_load(const char *text, struct comet_header_load *load);

/** Parses a value of COMET_HEADER_STREAM_VERSION. @return 0 if the text is not one */
uint32_t
comet_header_parse_stream_version(const char *text);

/** Parses a whole number of milliseconds. @return false if the text is not one. */
bool
comet_header_parse_ms(const char *text, uint32_t *ms);

/** Parses seconds, with an optional fraction, of at most an hour. @return false if the text is not
 * such a number. */
bool
comet_header_parse_seconds(const char *text, uint32_t *ms);

/** Parses the "timeout" of a Keep-Alive header. @return false unless it is given in whole seconds.
 */
bool
comet_header_parse_keep_alive(const char *text, uint32_t *seconds);

#endif
