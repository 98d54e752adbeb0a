/*
 * narrow_link.c
 * preloaded by tests: a process behind a narrow link
 *
 * All TCP connections of the process together receive at most as many bytes a second as
 * COMET_TEST_LINK_IN says, and send as many as COMET_TEST_LINK_OUT says (bytes/s; none: any
 * number); a call beyond that finds nothing to read, or no room to write.
 */
#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define SECOND_US 1000000

/* What the link holds for a process that has been idle. */
#define BURST_BYTES 16384

/* Pause of a call that the link does not carry yet: the caller's loop tries again at once. */
#define PAUSE_US 1000

/* One direction of the link. */
struct direction
{
	const char *setting;
	int64_t bytes_per_s; /* 0: not read yet; -1: not limited */
	int64_t bytes;       /* that it carries now */
	int64_t filled_us;
};

static struct direction incoming = {"COMET_TEST_LINK_IN", 0, BURST_BYTES, 0};
static struct direction outgoing = {"COMET_TEST_LINK_OUT", 0, BURST_BYTES, 0};

static int64_t
bytes_per_s(struct direction *direction)
{
	if (direction->bytes_per_s == 0)
	{
		const char *text = getenv(direction->setting);
		direction->bytes_per_s = text != NULL ? atoll(text) : -1;
	}
	return direction->bytes_per_s;
}

static int64_t
now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * SECOND_US + now.tv_nsec / 1000;
}

static int
is_limited(struct direction *direction, int fd, int flags)
{
	int type = 0;
	socklen_t length = sizeof type;

	return bytes_per_s(direction) > 0 && (flags & MSG_PEEK) == 0 &&
	       getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
}

/* @return how many of the bytes the link carries now; 0: none, after a pause */
static size_t
carried(struct direction *direction, size_t bytes)
{
	int64_t now = now_us();

	if (direction->filled_us == 0)
		direction->filled_us = now;
	int64_t more = (now - direction->filled_us) * bytes_per_s(direction) / SECOND_US;
	if (more > 0)
	{
		direction->filled_us = now;
		direction->bytes += more;
		if (direction->bytes > BURST_BYTES)
			direction->bytes = BURST_BYTES;
	}
	if (direction->bytes <= 0)
	{
		usleep(PAUSE_US);
		return 0;
	}
	return (int64_t)bytes < direction->bytes ? bytes : (size_t)direction->bytes;
}

ssize_t
recv(int fd, void *buffer, size_t length, int flags)
{
	static ssize_t (*real)(int, void *, size_t, int);

	if (real == NULL)
		real = (ssize_t(*)(int, void *, size_t, int))dlsym(RTLD_NEXT, "recv");
	if (!is_limited(&incoming, fd, flags))
		return real(fd, buffer, length, flags);
	size_t room = carried(&incoming, length);
	if (room == 0)
	{
		errno = EAGAIN;
		return -1;
	}
	ssize_t got = real(fd, buffer, room, flags);
	if (got > 0)
		incoming.bytes -= got;
	return got;
}

ssize_t
send(int fd, const void *buffer, size_t length, int flags)
{
	static ssize_t (*real)(int, const void *, size_t, int);

	if (real == NULL)
		real = (ssize_t(*)(int, const void *, size_t, int))dlsym(RTLD_NEXT, "send");
	if (!is_limited(&outgoing, fd, flags))
		return real(fd, buffer, length, flags);
	size_t room = carried(&outgoing, length);
	if (room == 0)
	{
		errno = EAGAIN;
		return -1;
	}
	ssize_t sent = real(fd, buffer, room, flags);
	if (sent > 0)
		outgoing.bytes -= sent;
	return sent;
}
