/*
 * redirect.c
 * preloaded by tests: a process whose connections to some loopback ports go to other ports
 *
 * COMET_TEST_REDIRECT holds pairs "port:other" separated by commas.
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

static uint16_t
redirected(uint16_t port)
{
	const char *at = getenv("COMET_TEST_REDIRECT");

	while (at != NULL && *at != '\0')
	{
		char *end = NULL;
		long from = strtol(at, &end, 10);
		long to = strtol(end + 1, &end, 10);
		if (from == port)
			return (uint16_t)to;
		at = *end == ',' ? end + 1 : NULL;
	}
	return port;
}

int
connect(int fd, const struct sockaddr *address, socklen_t length)
{
	static int (*real)(int, const struct sockaddr *, socklen_t);
	struct sockaddr_in changed;

	if (real == NULL)
		real = (int (*)(int, const struct sockaddr *, socklen_t))dlsym(
			RTLD_NEXT, "connect");
	if (address->sa_family != AF_INET || length < sizeof changed)
		return real(fd, address, length);
	memcpy(&changed, address, sizeof changed);
	changed.sin_port = htons(redirected(ntohs(changed.sin_port)));
	return real(fd, (const struct sockaddr *)&changed, sizeof changed);
}
