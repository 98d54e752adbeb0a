/*
 * suspend.c
 * preloaded by tests: a VM that was suspended
 *
 * While a VM is suspended CLOCK_MONOTONIC stands still and CLOCK_BOOTTIME goes on. Here
 * CLOCK_BOOTTIME jumps ahead instead, by as many microseconds as the file tells that
 * COMET_TEST_SUSPENDED names; a test stops the process, writes there and lets it go on. Timers on
 * that clock which were set before fire when they would have without it, up to which a gateway
 * wakes by its tick.
 */
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#define FDS_MAX 4096
#define SECOND_NS 1000000000

static char on_boottime[FDS_MAX]; /* timerfds */

static int64_t
suspended_ns(void)
{
	static volatile const int64_t *reported_us;
	static int opened;

	if (!opened)
	{
		const char *path = getenv("COMET_TEST_SUSPENDED");
		int fd = path != NULL ? open(path, O_RDONLY | O_CLOEXEC) : -1;
		opened = 1;
		void *at = fd >= 0 ? mmap(NULL, sizeof *reported_us, PROT_READ, MAP_SHARED, fd, 0)
				   : MAP_FAILED;
		reported_us = at != MAP_FAILED ? at : NULL;
		if (fd >= 0)
			close(fd);
	}
	return reported_us != NULL ? *reported_us * 1000 : 0;
}

static void
add(struct timespec *time, int64_t ns)
{
	int64_t all = (int64_t)time->tv_sec * SECOND_NS + time->tv_nsec + ns;

	time->tv_sec = all > 0 ? all / SECOND_NS : 0;
	time->tv_nsec = all > 0 ? all % SECOND_NS : 1;
}

int
clock_gettime(clockid_t clock, struct timespec *now)
{
	static int (*real)(clockid_t, struct timespec *);

	if (real == NULL)
		real = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
	int result = real(clock, now);
	if (result == 0 && clock == CLOCK_BOOTTIME)
		add(now, suspended_ns());
	return result;
}

int
timerfd_create(int clock, int flags)
{
	static int (*real)(int, int);

	if (real == NULL)
		real = (int (*)(int, int))dlsym(RTLD_NEXT, "timerfd_create");
	int fd = real(clock, flags);
	if (fd >= 0 && fd < FDS_MAX)
		on_boottime[fd] = clock == CLOCK_BOOTTIME;
	return fd;
}

int
timerfd_settime(int fd, int flags, const struct itimerspec *when, struct itimerspec *before)
{
	static int (*real)(int, int, const struct itimerspec *, struct itimerspec *);
	struct itimerspec moved = *when;

	if (real == NULL)
		real = (int (*)(int, int, const struct itimerspec *, struct itimerspec *))dlsym(
			RTLD_NEXT, "timerfd_settime");
	if ((flags & TFD_TIMER_ABSTIME) != 0 && fd < FDS_MAX && on_boottime[fd])
		add(&moved.it_value, -suspended_ns());
	return real(fd, flags, &moved, before);
}
