/*
 * worker.h
 * a traffic thread: callers' connections and the dispatches made for them
 *
 * A request lives in the thread that accepted it, from the first byte to the
 * last. Only the permission to dispatch comes from elsewhere.
 */
#ifndef COMETSPINDLE_ADAPTERS_WORKER_H
#define COMETSPINDLE_ADAPTERS_WORKER_H

#include <libcometspindle/adapters/daemon/mailbox.h>
#include <libcometspindle/adapters/peers/token.h>
#include <libcometspindle/adapters/daemon/state_snapshot.h>
#include <libcometspindle/node/node.h>
#include <stdint.h>

/** Messages from a traffic thread to the control thread. */
enum comet_control_message_kind
{
	COMET_CONTROL_SUBMIT,
	COMET_CONTROL_FINISHED,
	COMET_CONTROL_ABANDONED,
	COMET_CONTROL_SLOW,
};

struct comet_control_message
{
	enum comet_control_message_kind kind;
	uint64_t request;
	struct comet_submission submission; /**< SUBMIT */
	enum comet_outcome outcome;         /**< FINISHED */
	struct comet_sample sample;         /**< FINISHED */
	uint32_t step_us;                   /**< SLOW */
};

/** Messages from the control thread to a traffic thread. */
enum comet_worker_message_kind
{
	COMET_WORKER_DISPATCH,
	COMET_WORKER_REFUSE,
	COMET_WORKER_QUIESCE, /**< stop accepting */
	COMET_WORKER_EXIT,    /**< end the loop */
};

struct comet_worker_message
{
	enum comet_worker_message_kind kind;
	uint64_t request;
	uint32_t endpoint_id;
	struct comet_bundle *bundle; /**< DISPATCH: a reference, for the endpoint's address */
	enum comet_refusal refusal;
	enum comet_verdict verdict;
	uint32_t retry_after_ms;
};

/** What a traffic thread is made with. */
struct comet_worker_config
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
	struct comet_snapshot_publisher *snapshot_publisher;
};

struct comet_worker;

/** Starts listening and the thread. NULL on failure, errno set. */
struct comet_worker *
comet_worker_create(const struct comet_worker_config *config);

uint16_t
comet_worker_port(const struct comet_worker *worker);

/** Sends it a message (g_malloc'ed; taken over). */
void
comet_worker_send(struct comet_worker *worker, struct comet_worker_message *message);

/** Calls that are open now. */
uint32_t
comet_worker_open_calls(const struct comet_worker *worker);

/** Bytes of answers held for callers that read slowly. */
uint64_t
comet_worker_buffered_bytes(const struct comet_worker *worker);

/** Waits for the thread to end (after COMET_WORKER_EXIT) and frees everything. */
void
comet_worker_destroy(struct comet_worker *worker);

#endif
