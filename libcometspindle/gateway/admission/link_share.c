/*
 * link_share.c
 * decides how many requests a VM reads at once, so that its link is shared out
 */
#include <libcometspindle/gateway/admission/link_share.h>

#include <glib.h>
#include <talloc.h>

/* The bodies that are read at once are those that the link carries in this time: enough to keep it
 * busy for a few round trips between caller and VM. */
#define WINDOW_MS 50

/* While control data is received, a part of the window is left to bodies, one at a time on a narrow
 * link, and a part of the link: otherwise a document gets no more than a single body. */
#define CONTROL_WINDOW_PART 64
#define CONTROL_LINK_PART 2

/* A body that gets a smaller part of the link does not keep others waiting. */
#define SLOW_PART 64

/* Share of the link that is filled with what is sent: the rest is for control and headers. */
#define USED_SHARE 0.8

/* Bound of what is assumed to be on its way, in windows. */
#define CARRYING_WINDOWS_MAX 4

/* A wait beyond this is longer than a new connection to another VM takes. A clump of requests is
 * over sooner. */
#define WAIT_MAX_US 100000

/* The same while control data is received, which is soon over. */
#define CONTROL_WAIT_MAX_US 300000

#define SECOND_US 1000000
#define HOUR_US (3600ULL * SECOND_US) /* far more than any window, and no overflow */

/* A body counts for at most this part of the window, and for less once that much has arrived. */
#define BODY_PART 4
#define LONG_BODY_PART 16

struct comet_link_share
{
	uint64_t bytes_per_s;    /* 0: unknown */
	uint64_t window_bytes;   /* 0: not limited */
	bool control;            /* control data is being received */
	bool alternatives;       /* callers can reach other VMs */
	uint64_t sent;           /* as last reported */
	uint64_t updated_us;     /* when that was; 0: never */
	uint64_t received;       /* as last reported */
	uint64_t carrying;       /* sent bytes that the link may not have carried yet */
	uint64_t beside_control; /* received beyond their part while control data is */
};

struct comet_link_share *
comet_link_share_create(void *parent, uint64_t bytes_per_s)
{
	struct comet_link_share *link = talloc_zero(parent, struct comet_link_share);

	link->bytes_per_s = bytes_per_s;
	link->window_bytes = bytes_per_s * WINDOW_MS / 1000;
	return link;
}

uint64_t
comet_link_share_count(const struct comet_link_share *link, uint64_t received, uint64_t missing)
{
	uint64_t part = link->window_bytes /
			(received < link->window_bytes / BODY_PART ? BODY_PART : LONG_BODY_PART);

	return MIN(missing, part);
}

uint64_t
comet_link_share_slow_bytes(const struct comet_link_share *link, uint64_t for_us)
{
	return link->bytes_per_s * for_us / SECOND_US / SLOW_PART;
}

/* The kernel takes what is written, but the link carries no more than its rate. What peers do not
 * read is not sent, and does not count. */
void
comet_link_share_update(
	struct comet_link_share *link, uint64_t sent, uint64_t received, uint64_t now_us)
{
	if (link->updated_us != 0)
	{
		uint64_t passed_us = MIN(now_us - link->updated_us, HOUR_US);
		uint64_t carried = link->bytes_per_s * passed_us / SECOND_US;
		uint64_t used = (uint64_t)((double)carried * USED_SHARE);
		link->carrying += sent - link->sent;
		link->carrying -= MIN(used, link->carrying);
		link->carrying = MIN(link->carrying, CARRYING_WINDOWS_MAX * link->window_bytes);
		link->beside_control += link->control ? received - link->received : 0;
		link->beside_control -= MIN(carried / CONTROL_LINK_PART, link->beside_control);
	}
	link->sent = sent;
	link->received = received;
	link->updated_us = now_us;
}

void
comet_link_share_set_control(struct comet_link_share *link, bool receiving)
{
	link->control = receiving;
	if (!receiving)
		link->beside_control = 0;
}

void
comet_link_share_set_alternatives(struct comet_link_share *link, bool alternatives)
{
	link->alternatives = alternatives;
}

/* The longest wait tells that the link has been full, and the bytes that wait that it will be. */
bool
comet_link_share_refuses(const struct comet_link_share *link, uint32_t waiting, uint64_t waited_us)
{
	uint64_t max_us = link->control ? CONTROL_WAIT_MAX_US : WAIT_MAX_US;
	uint64_t waiting_bytes = (uint64_t)waiting * COMET_LINK_UNKNOWN_BODY_BYTES;

	return link->alternatives && waited_us >= max_us &&
	       waiting_bytes >= link->bytes_per_s * max_us / SECOND_US;
}

bool
comet_link_share_may_read(const struct comet_link_share *link, uint64_t counted)
{
	if (link->window_bytes == 0)
		return true;
	if (link->carrying >= link->window_bytes || link->beside_control > 0)
		return false;
	uint64_t window_bytes =
		link->control ? link->window_bytes / CONTROL_WINDOW_PART : link->window_bytes;

	return counted < MAX(window_bytes, 1);
}
