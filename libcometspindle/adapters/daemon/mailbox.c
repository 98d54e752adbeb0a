/*
 * mailbox.c
 * a message queue to the event loop of one thread
 */
#include <libcometspindle/adapters/daemon/mailbox.h>

#include <glib.h>
#include <pthread.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <talloc.h>
#include <unistd.h>

struct comet_mailbox
{
	pthread_mutex_t lock;
	GQueue messages;
	int fd;
	struct tevent_fd *event;
	comet_mailbox_handler handler;
	void *ctx;
};

static void
on_readable(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *private_data)
{
	struct comet_mailbox *mailbox = private_data;
	uint64_t count = 0;
	GQueue batch = G_QUEUE_INIT;

	(void)ev;
	(void)fde;
	(void)flags;
	ssize_t got = read(mailbox->fd, &count, sizeof count);
	(void)got; /* a spurious wake-up finds an empty queue */
	pthread_mutex_lock(&mailbox->lock);
	batch = mailbox->messages;
	g_queue_init(&mailbox->messages);
	pthread_mutex_unlock(&mailbox->lock);
	for (void *message = g_queue_pop_head(&batch); message != NULL;
		message = g_queue_pop_head(&batch))
		mailbox->handler(mailbox->ctx, message);
	mailbox->handler(mailbox->ctx, NULL);
}

static int
mailbox_destructor(struct comet_mailbox *mailbox)
{
	talloc_free(mailbox->event);
	close(mailbox->fd);
	pthread_mutex_destroy(&mailbox->lock);
	g_queue_clear_full(&mailbox->messages, g_free);
	return 0;
}

struct comet_mailbox *
comet_mailbox_create(
	void *parent, struct tevent_context *ev, comet_mailbox_handler handler, void *ctx)
{
	struct comet_mailbox *mailbox = talloc_zero(parent, struct comet_mailbox);

	mailbox->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (mailbox->fd < 0)
	{
		talloc_free(mailbox);
		return NULL;
	}
	pthread_mutex_init(&mailbox->lock, NULL);
	g_queue_init(&mailbox->messages);
	mailbox->handler = handler;
	mailbox->ctx = ctx;
	mailbox->event =
		tevent_add_fd(ev, mailbox, mailbox->fd, TEVENT_FD_READ, on_readable, mailbox);
	talloc_set_destructor(mailbox, mailbox_destructor);
	return mailbox;
}

void
comet_mailbox_send(struct comet_mailbox *mailbox, void *message)
{
	uint64_t one = 1;

	pthread_mutex_lock(&mailbox->lock);
	g_queue_push_tail(&mailbox->messages, message);
	pthread_mutex_unlock(&mailbox->lock);
	ssize_t written = write(mailbox->fd, &one, sizeof one);
	(void)written; /* a full counter is readable already */
}
