/*
 * daemon_private.h
 * what the daemon's files share
 */
#ifndef COMETSPINDLE_ADAPTERS_DAEMON_PRIVATE_H
#define COMETSPINDLE_ADAPTERS_DAEMON_PRIVATE_H

#include <libcometspindle/adapters/peers/peers.h>
#include <libcometspindle/adapters/platform/platform.h>
#include <libcometspindle/adapters/endpoints/load_poller.h>
#include <libcometspindle/adapters/callers/worker.h>
#include <libcometspindle/settings.h>
#include <stdbool.h>

struct comet_daemon
{
	const struct comet_settings *settings;
	struct tevent_context *ev;
	struct comet_node *node;
	struct comet_peers *peers;
	struct comet_curl_loop *curl;
	struct comet_platform *platform;
	struct comet_load_poller *load_poller;
	struct comet_mailbox *mailbox;
	struct comet_snapshot_publisher *snapshot_publisher;
	struct tevent_immediate *flush;
	struct comet_worker **worker;
	uint32_t n_workers;
	uint64_t self_id;
	uint64_t first_request;
	uint8_t token_key[COMET_TOKEN_KEY_BYTES];
	char *caller_address; /**< own, from the platform's list */
	bool flush_scheduled;
	bool publish_now;
	const char *not_ready; /**< at the last check; a constant text or NULL */
	uint64_t published_us;
	uint64_t reported_us;
	uint64_t cut_us;
	uint64_t stop_us; /**< when the stop began; 0: none */
	uint64_t quiesce_us;
	bool quiesced;
	bool over;
};

/** Builds and publishes a snapshot for the worker threads (daemon_snapshot.c). */
void
comet_daemon_publish(struct comet_daemon *daemon);

#endif
