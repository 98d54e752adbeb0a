/*
 * test_http_server.cc
 * the caller side while connections are closed: no request is read that gets no response
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/adapters/callers/http_server.h>
#include <libcometspindle/adapters/socket.h>
}
#include <arpa/inet.h>
#include <cerrno>
#include <string>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>
#include <vector>

namespace
{

const char REQUEST[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/* A server on a loopback port of the kernel, and callers as plain descriptors. */
class HttpServer : public testing::Test
{
      protected:
	void
	SetUp() override
	{
		const comet_http_limits limits = {16384, 65536, 1000, IDLE_MS};

		ev = tevent_context_init(nullptr);
		timers = comet_timers_create(ev, ev);
		reserve_port();
		server = comet_http_server_create(
			ev, ev, timers, address.c_str(), &events, this, nullptr);
		ASSERT_NE(server, nullptr);
		comet_http_server_set_limits(server, &limits);
	}

	void
	TearDown() override
	{
		talloc_free(ev);
		for (int fd : {caller, reservation})
		{
			if (fd >= 0)
				close(fd);
		}
	}

	/* A bound socket that does not listen keeps the port for a listener with SO_REUSEADDR. */
	void
	reserve_port()
	{
		socklen_t length = sizeof at;
		int on = 1;

		reservation = ::socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(reservation, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		ASSERT_EQ(bind(reservation, (sockaddr *)&at, sizeof at), 0);
		ASSERT_EQ(getsockname(reservation, (sockaddr *)&at, &length), 0);
		address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
	}

	void
	connect_caller()
	{
		caller = ::socket(AF_INET, SOCK_STREAM, 0);
		ASSERT_EQ(connect(caller, (sockaddr *)&at, sizeof at), 0);
		run_until([this] { return comet_http_server_counts(server)->connections == 1; });
	}

	void
	send_request()
	{
		ASSERT_EQ(write(caller, REQUEST, sizeof REQUEST - 1), (ssize_t)sizeof REQUEST - 1);
	}

	static void
	on_request(void *ctx, comet_http_server_request *request)
	{
		HttpServer *self = (HttpServer *)ctx;

		self->requests++;
		if (self->held)
			self->open = request;
		else
			comet_http_server_respond(request, 200, nullptr, "ok", 2);
	}

	static void
	on_gone(void *, comet_http_server_request *)
	{
	}

	static void
	on_turn_over(tevent_context *, tevent_timer *, timeval, void *)
	{
	}

	/* The bound only ends a test that has failed anyway. */
	template <class Condition>
	bool
	run_until(Condition condition)
	{
		for (int i = 0; i < TURNS && !condition(); i++)
		{
			tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, 10000), on_turn_over,
				nullptr);
			tevent_loop_once(ev);
		}
		return condition();
	}

	/* Returns what the caller has received, with " end" or " reset" once its connection ended.
	 */
	std::string
	received()
	{
		char buffer[4096];
		ssize_t got = 0;

		while ((got = recv(caller, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
			text.append(buffer, (size_t)got);
		if (got == 0)
			return text + " end";
		return errno == EAGAIN ? text : text + " reset";
	}

	bool
	ends_with(const std::string &end)
	{
		std::string now = received();

		return now.size() >= end.size() &&
		       now.compare(now.size() - end.size(), end.size(), end) == 0;
	}

	/* Bytes of the caller that its kernel has sent and the server has not acknowledged. */
	bool
	is_delivered()
	{
		int unacknowledged = -1;

		return ioctl(caller, TIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
	}

	static const int TURNS = 500;
	static const uint32_t IDLE_MS = 60;
	static const comet_http_server_events events;
	tevent_context *ev = nullptr;
	comet_timers *timers = nullptr;
	comet_http_server *server = nullptr;
	sockaddr_in at = {};
	std::string address;
	std::string text;
	int reservation = -1;
	int caller = -1;
	int requests = 0;
	bool held = false; /* requests stay open */
	comet_http_server_request *open = nullptr;
};

const comet_http_server_events HttpServer::events = {on_request, on_gone, nullptr, nullptr};

/* A stop closes idle connections. A request that had arrived by then was read after the close,
 * discarded, and its caller got neither a response nor a refusal. */
TEST_F(HttpServer, RequestThatArrivedBeforeAnIdleCloseIsAnswered)
{
	connect_caller();
	send_request();
	while (!is_delivered())
		;
	comet_http_server_close_idle(server);
	ASSERT_TRUE(run_until([this] { return ends_with("ok") || ends_with(" end"); }));
	EXPECT_EQ(requests, 1);
	EXPECT_NE(received().find("HTTP/1.1 200"), std::string::npos);
}

/* A request that crosses the close of an idle connection must stay unread: the caller then learns
 * by a reset that it may send the request again. It was read and discarded, and the connection held
 * for a second. */
TEST_F(HttpServer, RequestThatCrossesAnIdleCloseIsNotRead)
{
	connect_caller();
	ASSERT_TRUE(run_until([this] { return ends_with(" end"); }));
	send_request();
	ASSERT_TRUE(
		run_until([this] { return comet_http_server_counts(server)->connections == 0; }));
	EXPECT_EQ(requests, 0);
	EXPECT_EQ(send(caller, REQUEST, 1, MSG_NOSIGNAL), -1);
}

/* The same behind a response that was started before a stop, so that it could not ask the caller to
 * close. The response is not lost by it. */
TEST_F(HttpServer, RequestBehindTheLastResponseIsNotRead)
{
	held = true;
	connect_caller();
	send_request();
	ASSERT_TRUE(run_until([this] { return open != nullptr; }));
	comet_http_server_start_response(open, 200, nullptr, nullptr, -1);
	comet_http_server_set_draining(server);
	comet_http_server_stop_listening(server);
	comet_http_server_send_body(open, "whole", 5);
	comet_http_server_finish_response(open);
	send_request();
	ASSERT_TRUE(
		run_until([this] { return comet_http_server_counts(server)->connections == 0; }));
	EXPECT_EQ(requests, 1);
	EXPECT_EQ(send(caller, REQUEST, 1, MSG_NOSIGNAL), -1);
	EXPECT_NE(received().find("whole\r\n0\r\n\r\n"), std::string::npos);
}

/* A further request that was read together with the first one gets a response, also during a stop.
 */
TEST_F(HttpServer, RequestReadBeforeAStopIsAnswered)
{
	held = true;
	connect_caller();
	send_request();
	send_request();
	ASSERT_TRUE(run_until([this] { return open != nullptr; }));
	comet_http_server_start_response(open, 200, nullptr, nullptr, 5);
	comet_http_server_set_draining(server);
	comet_http_server_stop_listening(server);
	held = false;
	comet_http_server_send_body(open, "whole", 5);
	comet_http_server_finish_response(open);
	ASSERT_TRUE(run_until([this] { return ends_with(" end"); }));
	EXPECT_EQ(requests, 2);
	EXPECT_NE(text.find("Connection: close\r\n\r\nok"), std::string::npos);
}

/* The same if the first response starts after the stop: it must not ask the caller to close. */
TEST_F(HttpServer, RequestBehindAnOpenOneIsAnsweredDuringAStop)
{
	held = true;
	connect_caller();
	send_request();
	send_request();
	ASSERT_TRUE(run_until([this] { return open != nullptr; }));
	comet_http_server_set_draining(server);
	held = false;
	comet_http_server_respond(open, 200, nullptr, "first", 5);
	ASSERT_TRUE(run_until([this] { return ends_with(" end"); }));
	EXPECT_EQ(requests, 2);
}

/* Callers that keep idle connections must not keep new ones out. */
TEST_F(HttpServer, NewConnectionReplacesTheLongestIdleOne)
{
	std::vector<int> others;

	comet_http_server_set_max_connections(server, 2);
	connect_caller();
	for (int i = 0; i < 2; i++)
	{
		others.push_back(::socket(AF_INET, SOCK_STREAM, 0));
		ASSERT_EQ(connect(others.back(), (sockaddr *)&at, sizeof at), 0);
		run_until([&] { return comet_http_server_counts(server)->accepted == i + 2U; });
	}
	EXPECT_EQ(received(), " end"); /* and not the newest one */
	EXPECT_EQ(comet_http_server_counts(server)->displaced, 1U);
	EXPECT_EQ(comet_http_server_counts(server)->connections, 2U);
	for (int other : others)
		close(other);
}

} // namespace
