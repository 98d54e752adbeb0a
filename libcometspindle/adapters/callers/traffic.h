/*
 * traffic.h
 * a traffic thread: callers' connections and the dispatches made for them
 *
 * A request lives in the thread that accepted it, from the first byte to the
 * last. Only the permission to dispatch comes from elsewhere.
 */
#ifndef COMETSPINDLE_ADAPTERS_TRAFFIC_H
#define COMETSPINDLE_ADAPTERS_TRAFFIC_H

#include <libcometspindle/adapters/daemon/mailbox.h>
#include <libcometspindle/adapters/peers/token.h>
#include <libcometspindle/adapters/daemon/view.h>
#include <libcometspindle/node/node.h>
#include <stdint.h>

/** Messages from a traffic thread to the control thread. */
enum comet_control_kind
{
	COMET_CONTROL_SUBMIT,
	COMET_CONTROL_FINISHED,
	COMET_CONTROL_ABANDONED,
	COMET_CONTROL_SLOW,
};

struct comet_control_message
{
	enum comet_control_kind kind;
	uint64_t request;
	struct comet_submission submission; /**< SUBMIT */
	enum comet_outcome outcome;         /**< FINISHED */
	struct comet_sample sample;         /**< FINISHED */
	uint32_t step_us;                   /**< SLOW */
};

/** Messages from the control thread to a traffic thread. */
enum comet_traffic_kind
{
	COMET_TRAFFIC_DISPATCH,
	COMET_TRAFFIC_REFUSE,
	COMET_TRAFFIC_QUIESCE, /**< stop accepting */
	COMET_TRAFFIC_EXIT,    /**< end the loop */
};

struct comet_traffic_message
{
	enum comet_traffic_kind kind;
	uint64_t request;
	uint32_t endpoint_id;
	struct comet_bundle *bundle; /**< DISPATCH: a reference, for the endpoint's address */
	enum comet_refusal refusal;
	enum comet_verdict verdict;
	uint32_t retry_after_ms;
};

/** What a traffic thread is made with. */
struct comet_traffic_config
{
	const char *address;
	uint16_t port; /**< 0: the kernel chooses */
	uint32_t max_body_bytes;
	uint32_t max_connections;
	uint64_t vm_id;
	uint64_t first_request; /**< requests are numbered from here on... */
	uint32_t stride;        /**< ...in steps of the number of threads */
	const uint8_t *token_key;
	struct comet_mailbox *control;
	struct comet_view_board *board;
};

struct comet_traffic;

/** Starts listening and the thread. NULL on failure, errno set. */
struct comet_traffic *
comet_traffic_create(const struct comet_traffic_config *config);

uint16_t
comet_traffic_port(const struct comet_traffic *traffic);

/** Sends it a message (g_malloc'ed; taken over). */
void
comet_traffic_send(struct comet_traffic *traffic, struct comet_traffic_message *message);

/** Calls that are open now. */
uint32_t
comet_traffic_open(const struct comet_traffic *traffic);

/** Bytes of answers held for callers that read slowly. */
uint64_t
comet_traffic_buffered(const struct comet_traffic *traffic);

/** Waits for the thread to end (after COMET_TRAFFIC_EXIT) and frees everything. */
void
comet_traffic_destroy(struct comet_traffic *traffic);

#endif
