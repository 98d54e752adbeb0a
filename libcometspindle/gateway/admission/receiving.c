/*
 * receiving.c
 * the requests that are being read, and how much of the link they are counted for
 */
#include <libcometspindle/gateway/admission/receiving.h>

#include <talloc.h>

/* Interval at which the progress of a request is checked. A slow caller does not use the link: the
 * others are not kept waiting for it. */
#define PROGRESS_US 100000

/* After a longer interval the process may have been suspended; the next interval decides. */
#define INTERVAL_MAX_US 400000

struct comet_receiving
{
	const struct comet_link_share *link;
	GQueue counted; /* of struct comet_receiving_request, longest unchecked first */
	uint64_t counted_bytes;
};

static int
receiving_destroy(struct comet_receiving *receiving)
{
	g_queue_clear(&receiving->counted);
	return 0;
}

struct comet_receiving *
comet_receiving_create(void *parent, const struct comet_link_share *link)
{
	struct comet_receiving *receiving = talloc_zero(parent, struct comet_receiving);

	receiving->link = link;
	talloc_set_destructor(receiving, receiving_destroy);
	return receiving;
}

static void
set_counted(
	struct comet_receiving *receiving, struct comet_receiving_request *request, uint64_t bytes)
{
	receiving->counted_bytes += bytes - request->counted_bytes;
	request->counted_bytes = bytes;
}

static uint64_t
progress_bytes(const struct comet_receiving_request *request)
{
	return request->received_bytes - MIN(request->checked_bytes, request->received_bytes);
}

/* Times are taken at several places, so that a check may be younger than `now_us`. */
static uint64_t
unchecked_us(const struct comet_receiving_request *request, uint64_t now_us)
{
	return now_us - MIN(request->checked_us, now_us);
}

static void
begin_interval(struct comet_receiving_request *request, uint64_t now_us)
{
	request->checked_us = now_us;
	request->checked_bytes = request->received_bytes;
}

static void
stop_counting(struct comet_receiving *receiving, struct comet_receiving_request *request)
{
	if (request->link != NULL)
		g_queue_delete_link(&receiving->counted, request->link);
	request->link = NULL;
	set_counted(receiving, request, 0);
}

void
comet_receiving_progress(struct comet_receiving *receiving, struct comet_receiving_request *request,
	uint64_t received_bytes, uint64_t missing_bytes, uint64_t now_us)
{
	request->received_bytes = received_bytes;
	if (request->link == NULL)
	{
		if (request->checked_us != 0 &&
			progress_bytes(request) <
				comet_link_share_slow_bytes(receiving->link, PROGRESS_US))
			return;
		begin_interval(request, now_us);
		g_queue_push_tail(&receiving->counted, request);
		request->link = g_queue_peek_tail_link(&receiving->counted);
	}
	set_counted(receiving, request,
		comet_link_share_count(receiving->link, received_bytes, missing_bytes));
}

void
comet_receiving_remove(struct comet_receiving *receiving, struct comet_receiving_request *request)
{
	stop_counting(receiving, request);
	request->checked_us = 0;
	request->checked_bytes = 0;
	request->received_bytes = 0;
}

static bool
is_slow(const struct comet_receiving *receiving, const struct comet_receiving_request *request,
	uint64_t now_us)
{
	uint64_t for_us = unchecked_us(request, now_us);

	return for_us < INTERVAL_MAX_US &&
	       progress_bytes(request) < comet_link_share_slow_bytes(receiving->link, for_us);
}

void
comet_receiving_check(struct comet_receiving *receiving, uint64_t now_us)
{
	/* Each request is checked at most once, whatever the clock does. */
	for (guint left = receiving->counted.length; left > 0; left--)
	{
		struct comet_receiving_request *oldest = g_queue_peek_head(&receiving->counted);
		if (unchecked_us(oldest, now_us) < PROGRESS_US)
			return;
		bool slow = is_slow(receiving, oldest, now_us);
		begin_interval(oldest, now_us);
		if (slow)
		{
			stop_counting(receiving, oldest);
			continue;
		}
		g_queue_unlink(&receiving->counted, oldest->link);
		g_queue_push_tail_link(&receiving->counted, oldest->link);
	}
}

uint64_t
comet_receiving_counted_bytes(const struct comet_receiving *receiving)
{
	return receiving->counted_bytes;
}

uint32_t
comet_receiving_length(const struct comet_receiving *receiving)
{
	return receiving->counted.length;
}
