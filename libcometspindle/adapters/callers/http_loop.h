/*
 * http_loop.h
 * runs a libmicrohttpd daemon on a tevent loop
 */
#ifndef COMETSPINDLE_ADAPTERS_HTTP_LOOP_H
#define COMETSPINDLE_ADAPTERS_HTTP_LOOP_H

#include <microhttpd.h>
#include <stdint.h>
#include <tevent.h>

struct comet_http_loop;

/** What a daemon is started with. */
struct comet_http_config
{
	const char *address; /**< IP number */
	uint16_t port;       /**< 0: the kernel chooses */
	unsigned int max_connections;
	unsigned int max_per_ip; /**< 0: no bound */
	unsigned int idle_timeout_s;
	MHD_AccessHandlerCallback on_request;
	MHD_RequestCompletedCallback on_completed;
	void *ctx;
};

/** Starts listening; several threads may share a port. NULL on failure, errno set. */
struct comet_http_loop *
comet_http_loop_create(
	void *parent, struct tevent_context *ev, const struct comet_http_config *config);

/** The port that is listened on. */
uint16_t
comet_http_loop_port(const struct comet_http_loop *loop);

/**
 * Resumes a suspended connection. libmicrohttpd does not wake an external loop
 * by itself, so this also schedules a run.
 */
void
comet_http_loop_resume(struct comet_http_loop *loop, struct MHD_Connection *connection);

/** Stops accepting; connections that are open go on. */
void
comet_http_loop_quiesce(struct comet_http_loop *loop);

/** Queues a small answer; the body is copied. */
enum MHD_Result
comet_http_respond(struct MHD_Connection *connection, unsigned int status, const char *type,
	const char *body, size_t length);

#endif
