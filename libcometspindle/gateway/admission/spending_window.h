/*
 * spending_window.h
 * what a team has spent in a sliding window, by time slice
 *
 * This module uses no clock: the caller passes the time.
 */
#ifndef COMETSPINDLE_GATEWAY_SPENDING_WINDOW_H
#define COMETSPINDLE_GATEWAY_SPENDING_WINDOW_H

#include <stdint.h>

/** Slices of a window. */
#define COMET_SPENDING_WINDOW_SLICES 16

/** Slices that are kept. One more than the window has, because the newest slice is incomplete and
 * the amount of a slice expires all at once; fewer slices would cover less than a window. */
#define COMET_SPENDING_SLICES (COMET_SPENDING_WINDOW_SLICES + 1)

/** Amounts by slice, in ring buffers; all zero: nothing was spent. */
struct comet_spending_window
{
	uint64_t slice_us;                     /**< length of a slice */
	uint64_t slice;                        /**< number of the newest slice */
	double all[COMET_SPENDING_SLICES];     /**< known spending of all VMs */
	double own[COMET_SPENDING_SLICES];     /**< this VM's part of it */
	double assumed[COMET_SPENDING_SLICES]; /**< spending before this process started */
};

/** Limits on the rate within the window. */
struct comet_token_bucket
{
	double refill; /**< amount per slice */
	double depth;  /**< largest amount that can be spent at once */
};

/** Starts an empty window. */
void
comet_spending_window_init(
	struct comet_spending_window *window, uint64_t slice_us, uint64_t now_us);

/** Clears the slices that have left the window. */
void
comet_spending_window_advance(struct comet_spending_window *window, uint64_t now_us);

/** Adds an amount that this VM spent. */
void
comet_spending_window_add_own(struct comet_spending_window *window, double amount);

/** Adds an amount that another VM spent. */
void
comet_spending_window_add_remote(struct comet_spending_window *window, double amount);

/** Subtracts a refunded amount from the newest slice. */
void
comet_spending_window_refund(struct comet_spending_window *window, double amount);

/** Subtracts an amount that this VM spent from the newest slice. */
void
comet_spending_window_refund_own(struct comet_spending_window *window, double amount);

/** Spreads an amount over the slices before the start of this process, in place of what was assumed
 * there. */
void
comet_spending_window_assume(
	struct comet_spending_window *window, uint64_t started_us, double amount);

/** Multiplies all amounts by a factor. */
void
comet_spending_window_scale(struct comet_spending_window *window, double factor);

/** @return the number of slices that lie before the start of this process. */
uint64_t
comet_spending_window_slices_before(
	const struct comet_spending_window *window, uint64_t started_us);

/** @return known and assumed spending in the window. */
double
comet_spending_window_total(const struct comet_spending_window *window);

/** @return spending of this VM in the window. */
double
comet_spending_window_own(const struct comet_spending_window *window);

/** @return assumed spending in the window. */
double
comet_spending_window_assumed(const struct comet_spending_window *window);

/** @return the part of the total that was spent before a point in time. */
double
comet_spending_window_before(const struct comet_spending_window *window, uint64_t before_us);

/** @return the amount that expires with the n-th slice from now on, counted from 0. */
double
comet_spending_window_expiring(const struct comet_spending_window *window, uint64_t n);

/**
 * Computes the level of a token bucket from the spending in the window.
 * @param before_us spending before this time counts only for before_share; 0: all of it counts
 * @return the level, which is negative after overspending
 */
double
comet_spending_window_bucket_level(const struct comet_spending_window *window,
	const struct comet_token_bucket *bucket, uint64_t before_us, double before_share,
	uint64_t now_us);

#endif
