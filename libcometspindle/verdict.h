/*
 * verdict.h
 * whether a request may have run, and how it ended
 */
#ifndef COMETSPINDLE_VERDICT_H
#define COMETSPINDLE_VERDICT_H

/** What the system can truthfully say about a request. */
enum comet_verdict
{
	COMET_VERDICT_NOT_RUN,      /**< no byte left this VM, or a documented refusal came back */
	COMET_VERDICT_MAY_HAVE_RUN, /**< bytes left, the end is unknown */
	COMET_VERDICT_RAN,          /**< the endpoint answered */
};

/** How a request ended, as told to its scheduler. */
enum comet_outcome
{
	COMET_OUTCOME_SERVED,    /**< whole answer received from the endpoint */
	COMET_OUTCOME_FAILED,    /**< the endpoint failed or the stream was cut */
	COMET_OUTCOME_REFUSED,   /**< the endpoint refused: documented, not run */
	COMET_OUTCOME_UNREACHED, /**< no connection: not run */
	COMET_OUTCOME_RETURNED,  /**< the grant was not used */
	COMET_OUTCOME_WITHDRAWN, /**< it was still waiting: expired, shed or the caller left */
};

/** Stable refusal codes; comet_refusal_name() is what callers see. */
enum comet_refusal
{
	COMET_REFUSAL_NONE,
	COMET_REFUSAL_BAD_REQUEST,
	COMET_REFUSAL_UNAUTHORIZED,
	COMET_REFUSAL_FORBIDDEN_TIER,
	COMET_REFUSAL_NOT_FOUND,
	COMET_REFUSAL_UNKNOWN_MODEL,
	COMET_REFUSAL_TOO_LARGE,
	COMET_REFUSAL_QUOTA,
	COMET_REFUSAL_SHED,
	COMET_REFUSAL_DEADLINE,
	COMET_REFUSAL_ALREADY_SEEN,
	COMET_REFUSAL_UNSURE,
	COMET_REFUSAL_STOPPING,
	COMET_REFUSAL_NOT_READY,
	COMET_REFUSAL_ENDPOINT_FAILED,
	COMET_REFUSAL_INTERNAL,
};

/** @return the verdict's stable name, e.g. "not_run". */
const char *
comet_verdict_name(enum comet_verdict verdict);

/** @return the outcome's stable name for log lines. */
const char *
comet_outcome_name(enum comet_outcome outcome);

/** @return the refusal's stable code, e.g. "deadline_exceeded". */
const char *
comet_refusal_name(enum comet_refusal refusal);

/** @return the HTTP status that goes with a refusal. */
unsigned int
comet_refusal_status(enum comet_refusal refusal);

/** @return a sentence for people. */
const char *
comet_refusal_message(enum comet_refusal refusal);

#endif
