/*
 * placement_order.h
 * Order of the requests that wait for a service, by rank and expected slot
 * time.
 *
 * A request gets a delay for its size when it is submitted. Among requests of
 * one rank the order is that of arrival plus delay. What a VM has learned about
 * the sizes of requests is kept per service. This module uses no socket and no
 * clock.
 */
#ifndef COMETSPINDLE_GATEWAY_PLACEMENT_ORDER_H
#define COMETSPINDLE_GATEWAY_PLACEMENT_ORDER_H

#include <glib.h>
#include <libcometspindle/gateway/placement/placement_item.h>
#include <stdbool.h>
#include <stdint.h>

/** Largest number of output tokens that is believed: far above the context of any engine. A larger
 * hint counts as none. */
#define COMET_ORDER_OUTPUT_TOKENS_MAX 1000000

/** Longest wait and longest delay that a slot request may state, in milliseconds: no caller waits
 * for a response to begin for longer. A larger value is replaced by this one. */
#define COMET_ORDER_MS_MAX 600000

/** Number of team ranks and of route ranks that tables by rank tell apart; less urgent ones share
 * the last row of their kind. The rows are numbered by comet_placement_rank(). */
#define COMET_ORDER_TEAM_RANKS 8
#define COMET_ORDER_ROUTE_RANKS 8
#define COMET_ORDER_RANKS (COMET_ORDER_TEAM_RANKS * COMET_ORDER_ROUTE_RANKS)

struct comet_latency_model;

/** Inputs of the place of a request. */
struct comet_order_input
{
	uint32_t team_id; /**< comet_hash_name() of the team; 0: none */
	uint32_t rank;    /**< comet_placement_rank() */
	struct comet_request_size size;
	bool hinted; /**< size.output_tokens is a hint of the caller */
	const struct comet_latency_model *latency_model; /**< of the service; NULL: none */
	uint64_t target_us;   /**< target latency; 0: none, so there is no delay */
	uint64_t may_wait_us; /**< time that the request may wait */
};

/** The place of a request. */
struct comet_order_place
{
	uint64_t delay_us;
	uint64_t slot_us;      /**< expected slot time; 0: unknown */
	uint64_t mean_slot_us; /**< mean expected slot time of its team's requests; 0: unknown */
	uint32_t size_class;   /**< octave of the size relative to the mean */
	bool advanced; /**< it counts as being of the size of the team's previous request, which was
			  smaller, because too few requests of its size class were served */
};

/** Counters for the metrics. */
struct comet_order_counts
{
	uint64_t sized;    /**< requests with a known size */
	uint64_t unsized;  /**< requests without one */
	uint64_t advanced; /**< requests that counted as being of a smaller size */
};

struct comet_size_order;

/** Creates the state of one service. Freed by comet_size_order_destroy(). */
struct comet_size_order *
comet_size_order_create(void);

void
comet_size_order_destroy(struct comet_size_order *order);

/** Decides the place of a request that arrives now, and learns its size. */
struct comet_order_place
comet_size_order_place(
	struct comet_size_order *order, const struct comet_order_input *input, uint64_t now_us);

/** @return the delay of a request whose team is not known, relative to the mean of all teams. Its
 * VM runs an earlier release, which states no delay. */
uint64_t
comet_size_order_remote_delay_us(
	const struct comet_size_order *order, const struct comet_order_input *input);

/** Records whether a request that was placed has been served or refused. */
void
comet_size_order_ended(
	struct comet_size_order *order, uint32_t rank, uint32_t size_class, bool served);

/** Learns the number of events for each hinted token, from a complete stream. */
void
comet_size_order_learn_hint(
	struct comet_size_order *order, uint32_t team_id, uint32_t hint, uint32_t events);

const struct comet_order_counts *
comet_size_order_counts(const struct comet_size_order *order);

/** @return whether the delay is longer than 1.25 target latencies. Such requests have a dequeue
 * rate of their own, because smaller ones overtake them. */
bool
comet_order_is_large(uint64_t delay_us, uint64_t target_us);

/** Compares items in the order of service; either may belong to a remote waiter. */
gint
comet_placement_compare(gconstpointer left, gconstpointer right, gpointer ctx);

#endif
