/*
 * spending_window.c
 * what a team has spent in a sliding window, by time slice
 */
#include <libcometspindle/gateway/admission/spending_window.h>

#include <glib.h>
#include <string.h>

#define SLICES COMET_SPENDING_SLICES

void
comet_spending_window_init(struct comet_spending_window *window, uint64_t slice_us, uint64_t now_us)
{
	memset(window, 0, sizeof *window);
	window->slice_us = slice_us;
	window->slice = now_us / slice_us;
}

void
comet_spending_window_advance(struct comet_spending_window *window, uint64_t now_us)
{
	uint64_t slice = now_us / window->slice_us;

	if (slice <= window->slice)
		return;
	if (slice - window->slice >= SLICES)
	{
		memset(window->all, 0, sizeof window->all);
		memset(window->own, 0, sizeof window->own);
		memset(window->assumed, 0, sizeof window->assumed);
		window->slice = slice;
	}
	while (window->slice < slice)
	{
		window->slice++;
		window->all[window->slice % SLICES] = 0;
		window->own[window->slice % SLICES] = 0;
		window->assumed[window->slice % SLICES] = 0;
	}
}

void
comet_spending_window_add_own(struct comet_spending_window *window, double amount)
{
	window->all[window->slice % SLICES] += amount;
	window->own[window->slice % SLICES] += amount;
}

void
comet_spending_window_add_remote(struct comet_spending_window *window, double amount)
{
	window->all[window->slice % SLICES] += amount;
}

static void
subtract(double *slice, double amount)
{
	*slice = MAX(*slice - amount, 0);
}

void
comet_spending_window_refund(struct comet_spending_window *window, double amount)
{
	subtract(&window->all[window->slice % SLICES], amount);
}

void
comet_spending_window_refund_own(struct comet_spending_window *window, double amount)
{
	comet_spending_window_refund(window, amount);
	subtract(&window->own[window->slice % SLICES], amount);
}

uint64_t
comet_spending_window_slices_before(const struct comet_spending_window *window, uint64_t started_us)
{
	uint64_t elapsed = window->slice - started_us / window->slice_us;

	return elapsed >= SLICES ? 0 : SLICES - elapsed;
}

void
comet_spending_window_assume(
	struct comet_spending_window *window, uint64_t started_us, double amount)
{
	uint64_t slices = comet_spending_window_slices_before(window, started_us);

	memset(window->assumed, 0, sizeof window->assumed);
	for (uint64_t i = 0; i < slices; i++)
	{
		/* The oldest slice of the window follows the newest one in the ring. */
		uint64_t slice = window->slice + 1 + i;
		window->assumed[slice % SLICES] = amount / (double)slices;
	}
}

void
comet_spending_window_scale(struct comet_spending_window *window, double factor)
{
	for (int i = 0; i < SLICES; i++)
	{
		window->all[i] *= factor;
		window->own[i] *= factor;
		window->assumed[i] *= factor;
	}
}

static double
sum_slices(const double slices[SLICES])
{
	double sum = 0;

	for (int i = 0; i < SLICES; i++)
		sum += slices[i];
	return sum;
}

double
comet_spending_window_total(const struct comet_spending_window *window)
{
	return sum_slices(window->all) + sum_slices(window->assumed);
}

double
comet_spending_window_own(const struct comet_spending_window *window)
{
	return sum_slices(window->own);
}

double
comet_spending_window_assumed(const struct comet_spending_window *window)
{
	return sum_slices(window->assumed);
}

static double
spent_in_slice(const struct comet_spending_window *window, uint64_t slice)
{
	return window->all[slice % SLICES] + window->assumed[slice % SLICES];
}

/* The oldest slice that is kept. */
static uint64_t
first_slice(const struct comet_spending_window *window)
{
	return window->slice - MIN(window->slice, SLICES - 1);
}

double
comet_spending_window_before(const struct comet_spending_window *window, uint64_t before_us)
{
	uint64_t end = before_us / window->slice_us;
	double sum = 0;

	for (uint64_t slice = first_slice(window); slice <= window->slice && slice < end; slice++)
		sum += spent_in_slice(window, slice);
	return sum;
}

double
comet_spending_window_expiring(const struct comet_spending_window *window, uint64_t n)
{
	return spent_in_slice(window, window->slice + 1 + n);
}

double
comet_spending_window_bucket_level(const struct comet_spending_window *window,
	const struct comet_token_bucket *bucket, uint64_t before_us, double before_share,
	uint64_t now_us)
{
	uint64_t before_slice = before_us / window->slice_us;
	double level = bucket->depth;

	for (uint64_t slice = first_slice(window); slice <= window->slice; slice++)
	{
		uint64_t begin_us = slice * window->slice_us;
		uint64_t elapsed_us = MIN(now_us - MIN(now_us, begin_us), window->slice_us);
		double refill = bucket->refill * (double)elapsed_us / (double)window->slice_us;
		double share = slice < before_slice ? before_share : 1;
		level = MIN(level + refill, bucket->depth) - share * spent_in_slice(window, slice);
	}
	return level;
}
