/*
 * http_loop.c
 * runs a libmicrohttpd daemon on a tevent loop
 */
#include <libcometspindle/adapters/callers/http_loop.h>

#include <arpa/inet.h>
#include <errno.h>
#include <libcometspindle/adapters/clock.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#define CONNECTION_MEMORY (16 * 1024)
#define BACKLOG 1024

struct comet_http_loop
{
	struct tevent_context *ev;
	struct MHD_Daemon *daemon;
	struct tevent_fd *event;
	struct tevent_timer *timer;
	struct tevent_immediate *soon;
	bool soon_scheduled;
	int listen_fd;
	uint16_t port;
};

static void
run(struct comet_http_loop *loop);

static void
on_timer(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
	struct comet_http_loop *loop = data;

	(void)ev;
	(void)timer;
	(void)now;
	loop->timer = NULL;
	run(loop);
}

static void
run(struct comet_http_loop *loop)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms = 0;

	MHD_run(loop->daemon);
	TALLOC_FREE(loop->timer);
	if (MHD_get_timeout(loop->daemon, &timeout_ms) == MHD_YES)
		loop->timer = tevent_add_timer(
			loop->ev, loop, comet_clock_after(timeout_ms * 1000), on_timer, loop);
}

static void
on_readable(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
	(void)ev;
	(void)fde;
	(void)flags;
	run(data);
}

static void
on_soon(struct tevent_context *ev, struct tevent_immediate *immediate, void *data)
{
	struct comet_http_loop *loop = data;

	(void)ev;
	(void)immediate;
	loop->soon_scheduled = false;
	run(loop);
}

void
comet_http_loop_resume(struct comet_http_loop *loop, struct MHD_Connection *connection)
{
	MHD_resume_connection(connection);
	if (loop->soon_scheduled)
		return;
	loop->soon_scheduled = true;
	tevent_schedule_immediate(loop->soon, loop->ev, on_soon, loop);
}

static int
loop_destructor(struct comet_http_loop *loop)
{
	TALLOC_FREE(loop->event);
	if (loop->daemon != NULL)
		MHD_stop_daemon(loop->daemon);
	return 0;
}

static int
open_listener(const struct comet_http_config *config, uint16_t *port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(config->port)};
	socklen_t length = sizeof address;
	int on = 1;

	if (inet_pton(AF_INET, config->address, &address.sin_addr) != 1)
	{
		errno = EINVAL;
		return -1;
	}
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
	if (bind(fd, (struct sockaddr *)&address, sizeof address) != 0 ||
		listen(fd, BACKLOG) != 0 ||
		getsockname(fd, (struct sockaddr *)&address, &length) != 0)
	{
		int failed = errno;
		close(fd);
		errno = failed;
		return -1;
	}
	*port = ntohs(address.sin_port);
	return fd;
}

struct comet_http_loop *
comet_http_loop_create(
	void *parent, struct tevent_context *ev, const struct comet_http_config *config)
{
	struct comet_http_loop *loop = talloc_zero(parent, struct comet_http_loop);

	talloc_set_destructor(loop, loop_destructor);
	loop->ev = ev;
	loop->soon = tevent_create_immediate(loop);
	loop->listen_fd = open_listener(config, &loop->port);
	if (loop->listen_fd < 0)
	{
		int failed = errno;
		talloc_free(loop);
		errno = failed;
		return NULL;
	}
	loop->daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		config->on_request, config->ctx, MHD_OPTION_LISTEN_SOCKET, loop->listen_fd,
		MHD_OPTION_CONNECTION_LIMIT, config->max_connections,
		MHD_OPTION_PER_IP_CONNECTION_LIMIT, config->max_per_ip,
		MHD_OPTION_CONNECTION_TIMEOUT, config->idle_timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
		MHD_OPTION_NOTIFY_COMPLETED, config->on_completed, config->ctx, MHD_OPTION_END);
	if (loop->daemon == NULL)
	{
		close(loop->listen_fd);
		talloc_free(loop);
		errno = EMFILE;
		return NULL;
	}
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(loop->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	loop->event = tevent_add_fd(ev, loop, info->epoll_fd, TEVENT_FD_READ, on_readable, loop);
	run(loop);
	return loop;
}

uint16_t
comet_http_loop_port(const struct comet_http_loop *loop)
{
	return loop->port;
}

void
comet_http_loop_quiesce(struct comet_http_loop *loop)
{
	int fd = MHD_quiesce_daemon(loop->daemon);

	if (fd >= 0)
		close(fd);
}

enum MHD_Result
comet_http_respond(struct MHD_Connection *connection, unsigned int status, const char *type,
	const char *body, size_t length)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		length, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);

	if (response == NULL)
		return MHD_NO;
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	enum MHD_Result result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}
