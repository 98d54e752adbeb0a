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

#define SECOND_US 1000000

/* A body counts for at most this part of the window, and for less once that much has arrived. */
#define BODY_PART 4
#define LONG_BODY_PART 16

struct comet_link_share
{
	uint64_t bytes_per_s;  /* 0: unknown */
	uint64_t window_bytes; /* 0: not limited */
	bool control;          /* control data is being received */
	uint64_t sent;         /* as last reported */
	uint64_t updated_us;   /* when that was; 0: never */
	uint64_t carrying;     /* sent bytes that the link cannot have carried yet */
	uint64_t backlog;      /* these and the queued ones */
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

/* The kernel takes what is written, but the link carries no more than its rate. */
void
comet_link_share_update(
	struct comet_link_share *link, uint64_t sent, uint64_t queued, uint64_t now_us)
{
	if (link->updated_us != 0)
	{
		uint64_t carried = link->bytes_per_s * (now_us - link->updated_us) / SECOND_US;
		link->carrying += sent - link->sent;
		link->carrying -= MIN(carried, link->carrying);
	}
	link->sent = sent;
	link->updated_us = now_us;
	link->backlog = link->carrying + queued;
}

void
comet_link_share_set_control(struct comet_link_share *link, bool receiving)
{
	link->control = receiving;
}

bool
comet_link_share_may_read(const struct comet_link_share *link, uint64_t counted)
{
	if (link->window_bytes == 0)
		return true;
	if (link->backlog >= link->window_bytes)
		return false;
	return counted < (link->control ? 1 : link->window_bytes);
}
