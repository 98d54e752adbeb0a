/*
 * mailbox.h
 * a message queue to the event loop of one thread
 */
#ifndef COMETSPINDLE_ADAPTERS_MAILBOX_H
#define COMETSPINDLE_ADAPTERS_MAILBOX_H

#include <tevent.h>

struct comet_mailbox;

/** Called in the owning thread for each message, then with NULL once the batch is done. */
typedef void (*comet_mailbox_handler)(void *ctx, void *message);

/** Creates a mailbox, before its thread runs or in that thread. @return NULL if no eventfd can be
 * created. */
struct comet_mailbox *
comet_mailbox_create(
	void *parent, struct tevent_context *ev, comet_mailbox_handler handler, void *ctx);

/** Sends a message from any thread; the handler frees it. */
void
comet_mailbox_send(struct comet_mailbox *mailbox, void *message);

#endif
