/*
 * daemon.h
 * the daemon: a control thread that runs a node, and worker threads
 */
#ifndef COMETSPINDLE_ADAPTERS_DAEMON_H
#define COMETSPINDLE_ADAPTERS_DAEMON_H

#include <glib.h>
#include <libcometspindle/settings.h>

struct comet_daemon;

/** Opens sockets and starts threads. @return NULL with error set on failure. */
struct comet_daemon *
comet_daemon_create(
	const struct comet_settings *settings, GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** Runs the control thread in the caller until a stop (SIGTERM, SIGINT) is complete. */
void
comet_daemon_run(struct comet_daemon *daemon);

void
comet_daemon_destroy(struct comet_daemon *daemon);

#endif
