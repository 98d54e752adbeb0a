/*
 * test_fetch.cc
 * fetches over a real socket, while the process does not run for a time
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/adapters/endpoints/fetch.h>
}
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

namespace
{

constexpr uint64_t timeout_us = 30000;

struct result
{
	bool ended = false;
	std::string failure;
	std::string body;
};

void
on_fetched(void *ctx, const struct comet_fetch_response *answer)
{
	auto *one = static_cast<result *>(ctx);
	one->ended = true;
	one->failure = answer->failure != nullptr ? answer->failure : "";
	one->body.assign(answer->body, answer->length);
}

void
on_idle(struct tevent_context *, struct tevent_timer *, struct timeval, void *idle)
{
	*static_cast<bool *>(idle) = true;
}

/* Starts a fetch and lets its time end while the process does not run. Then the response arrives,
 * before the process runs again. */
result
fetch_late(const std::string &response)
{
	struct sockaddr_in address = {};
	socklen_t length = sizeof address;
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	EXPECT_EQ(bind(listener, reinterpret_cast<sockaddr *>(&address), length), 0);
	EXPECT_EQ(listen(listener, 1), 0);
	getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length);
	std::string name = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));

	struct tevent_context *ev = tevent_context_init(nullptr);
	struct comet_timers *timers = comet_timers_create(ev, ev);
	struct comet_upstream *upstream = comet_upstream_create(ev, ev, timers);
	result one;
	comet_fetch_request request = {
		name.c_str(), "/document", timeout_us, 100, nullptr, nullptr};
	comet_fetch_start(ev, upstream, timers, &request, on_fetched, &one);
	int server = accept(listener, nullptr, nullptr);
	char head[1000];
	while (!one.ended && recv(server, head, sizeof head, MSG_DONTWAIT) <= 0)
		tevent_loop_once(ev);
	/* Passes the events that are left of the connection: the timeout shall be the first one. */
	bool idle = false;
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, 1000), on_idle, &idle);
	while (!idle)
		tevent_loop_once(ev);
	usleep(2 * timeout_us);
	EXPECT_EQ(send(server, response.data(), response.size(), 0), (ssize_t)response.size());
	while (!one.ended)
		tevent_loop_once(ev);
	close(server);
	close(listener);
	talloc_free(ev);
	return one;
}

/* A response that arrived in time was lost when the process was slow: event=directory_lost
 * reason=timeout. */
TEST(Fetch, AResponseThatHasArrivedPrecedesTheTimeout)
{
	result one = fetch_late("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
	EXPECT_EQ(one.failure, "");
	EXPECT_EQ(one.body, "body");
	EXPECT_EQ(
		fetch_late("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n").failure, "too_large");
}

/* An incomplete head must not extend the time again and again. */
TEST(Fetch, AnIncompleteResponseEndsWithTheTimeout)
{
	EXPECT_EQ(fetch_late("HTTP/1.1 200 OK\r\n").failure, "timeout");
}

} // namespace
