/*
 * gateway_copy.c
 * what another VM knows more of the directory: reads a copy of it, or what has changed
 */
#include <libcometspindle/adapters/gateway/gateway_private.h>

#include <libcometspindle/log.h>
#include <string.h>

/* Another VM may be ahead for this long: our own read of the same change is under way. While the
 * directory answers us, its own word is waited for much longer: after a start of all VMs, hundreds
 * would else ask each other for what each is just reading. */
#define BEHIND_US 400000
#define BEHIND_ANSWERED_US 1500000

/* The first list goes on while its pages come at least this often: after a start of hundreds of VMs
 * the store refuses most calls, and copies of a large directory would fill their links instead. */
#define PROGRESS_US 1000000

/* What arrives from the directory itself is waited for: a copy of the same would share its link. */
#define ARRIVING_US 5000000

/* Until the answer of another VM begins: a connect and a round trip, behind other bytes of a slow
 * link. */
#define COPY_TIMEOUT_US 1000000

/* Readers are waited for so long before the directory itself is asked for a document that one of
 * them has told of: the one that has it may not have said so yet. After a failure they are left
 * alone for as long. */
#define READERS_US 300000

/* HTTP status of an answer that holds a copy. */
#define STATUS_GOOD 200

/* Takes what another VM answered. @return whether it could be read */
static bool
take_answer(struct comet_gateway *gateway, const struct comet_fetch_answer *answer)
{
	GError *error = NULL;

	if (answer->failure != NULL || answer->status != STATUS_GOOD)
	{
		comet_log(COMET_LOG_NOTICE, "event=copy_failed reason=%s status=%u",
			answer->failure != NULL ? answer->failure : "status", answer->status);
		return false;
	}
	if (gateway->directory->ops->offer(
		    gateway->directory, answer->body, answer->length, &error))
		return true;
	comet_log(COMET_LOG_WARNING, "event=copy_refused error=\"%s\"", error->message);
	g_clear_error(&error);
	return false;
}

static void
on_copy(void *ctx, const struct comet_fetch_answer *answer)
{
	struct comet_gateway *gateway = ctx;

	gateway->copying = NULL; /* frees itself after this */
	if (!take_answer(gateway, answer))
		comet_readers_failed(gateway->readers, comet_timers_now_us());
	comet_gateway_seek_document(gateway, comet_timers_now_us());
}

static void
on_document(void *ctx, const struct comet_fetch_answer *answer)
{
	struct comet_gateway *gateway = ctx;
	const struct comet_directory_ops *ops = gateway->directory->ops;

	gateway->documenting = NULL; /* frees itself after this */
	if (take_answer(gateway, answer) && ops->lacking(gateway->directory) == 0)
		return;
	gateway->document_failed_us = comet_timers_now_us();
	ops->read_document(gateway->directory);
}

static struct comet_fetch *
ask(struct comet_gateway *gateway, uint32_t vm, const char *target, comet_fetch_handler handler)
{
	char ip[COMET_VIEW_ADDRESS_MAX];
	const char *port = strrchr(gateway->settings->control, ':'); /* the same on all VMs */
	char *address = g_strconcat(comet_view_link_text(vm, ip), port, NULL);
	struct comet_fetch_request request = {
		.address = address,
		.target = target,
		.timeout_us = COPY_TIMEOUT_US,
		.counted = &gateway->bytes[COMET_GATEWAY_USE_PEERS],
	};
	struct comet_fetch *fetch = comet_fetch_start(
		gateway, gateway->upstream, gateway->timers, &request, handler, gateway);

	g_free(address);
	return fetch;
}

static void
ask_copy(struct comet_gateway *gateway, uint32_t vm)
{
	char ip[COMET_VIEW_ADDRESS_MAX];

	comet_log(COMET_LOG_NOTICE,
		"event=copy_asked vm=%s era=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT,
		comet_view_link_text(vm, ip), comet_directory_era(gateway->position),
		comet_directory_revision(gateway->position));
	gateway->copying = ask(gateway, vm, COMET_GATEWAY_COPY_PATH, on_copy);
}

void
comet_gateway_ask_entries(struct comet_gateway *gateway, uint32_t vm)
{
	if (gateway->copying != NULL)
		return;
	char *target = g_strdup_printf(
		COMET_GATEWAY_ENTRIES_PATH "%" G_GUINT64_FORMAT, gateway->endpoints_position);
	gateway->copying = ask(gateway, vm, target, on_copy);
	g_free(target);
}

static void
ask_document(struct comet_gateway *gateway, uint32_t vm)
{
	char *query = gateway->directory->ops->query(gateway->directory);
	char *target = g_strconcat(COMET_GATEWAY_DOCUMENT_PATH, query, NULL);

	gateway->documenting = ask(gateway, vm, target, on_document);
	g_free(target);
	g_free(query);
}

void
comet_gateway_seek_document(struct comet_gateway *gateway, uint64_t now_us)
{
	const struct comet_directory_ops *ops = gateway->directory->ops;

	uint64_t position = ops->lacking(gateway->directory);

	if (position == 0)
		gateway->lacking_us = 0;
	else if (gateway->lacking_us == 0)
		gateway->lacking_us = now_us;
	if (position == 0 || gateway->documenting != NULL || ops->is_arriving(gateway->directory) ||
		(gateway->document_failed_us != 0 &&
			now_us - gateway->document_failed_us < READERS_US))
		return;
	uint32_t vm = comet_readers_pick(gateway->readers, position, now_us);
	if (vm != 0)
		ask_document(gateway, vm);
	else if (now_us - gateway->lacking_us >= READERS_US)
		ops->read_document(gateway->directory);
}

/* A call that was asked in an outage is never answered, though its connection stands. The directory
 * is asked anew once for what others claim to have read: what was made up is looked for no more.
 * Without it a VM handles requests by old routes until its watch is given up. */
static bool
asked_anew(struct comet_gateway *gateway, uint64_t now_us)
{
	uint64_t newest = comet_views_newest(gateway->views);

	if (newest <= gateway->overtaken || now_us - gateway->behind_us < BEHIND_US ||
		!gateway->directory->ops->overtaken(gateway->directory, BEHIND_US))
		return false;
	gateway->overtaken = newest;
	return true;
}

void
comet_gateway_catch_up(struct comet_gateway *gateway, uint64_t now_us)
{
	uint32_t vm = comet_views_newer(
		gateway->views, gateway->position, comet_draw_u32(&gateway->draw));
	uint64_t patience_us = gateway->directory_lost ? BEHIND_US : BEHIND_ANSWERED_US;

	if (vm == 0)
	{
		gateway->behind_us = 0;
		return;
	}
	if (!gateway->listed && gateway->answered_us != 0 &&
		now_us - gateway->answered_us < PROGRESS_US)
		return;
	if (gateway->behind_us == 0)
		gateway->behind_us = now_us;
	if (gateway->directory->ops->is_arriving(gateway->directory) &&
		now_us - gateway->behind_us < ARRIVING_US)
		return;
	if (asked_anew(gateway, now_us))
	{
		gateway->behind_us = now_us; /* a copy waits for the answer */
		return;
	}
	if (gateway->copying != NULL || gateway->documenting != NULL ||
		now_us - gateway->behind_us < patience_us)
		return;
	gateway->behind_us = now_us;
	/* Who knows all endpoints lacks the document alone. */
	if (comet_views_newest(gateway->views) <= gateway->endpoints_position)
		ask_document(gateway, vm);
	else
		ask_copy(gateway, vm);
}
