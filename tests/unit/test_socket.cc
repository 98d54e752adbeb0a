/*
 * test_socket.cc
 * what a connection tells of its end, as a kernel brings it about
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/adapters/socket.h>
}
#include <arpa/inet.h>
#include <cerrno>
#include <string>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

namespace
{

/* A connection over loopback: ours as a comet_socket, the other end as a descriptor. */
class Socket : public testing::Test
{
      protected:
	void
	SetUp() override
	{
		sockaddr_in address = {};
		socklen_t length = sizeof address;

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		int listener = comet_socket_listen(&address);
		ASSERT_GE(listener, 0);
		ASSERT_EQ(getsockname(listener, (sockaddr *)&address, &length), 0);
		peer = ::socket(AF_INET, SOCK_STREAM, 0);
		ASSERT_EQ(connect(peer, (sockaddr *)&address, sizeof address), 0);
		int ours = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
		ASSERT_GE(ours, 0);
		close(listener);
		ev = tevent_context_init(nullptr);
		socket = comet_socket_accepted(ev, ev, ours, &events, this);
	}

	void
	TearDown() override
	{
		talloc_free(ev);
		if (peer >= 0)
			close(peer);
	}

	/* The other side ends with a reset, as a process does that leaves bytes unread. */
	void
	reset()
	{
		linger at_once = {1, 0};

		setsockopt(peer, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
		close(peer);
		peer = -1;
	}

	static void
	on_data(void *ctx, const char *data, size_t length)
	{
		((Socket *)ctx)->text.append(data, length);
	}

	static void
	on_closed(void *ctx, bool orderly)
	{
		((Socket *)ctx)->ends += orderly ? "orderly " : "broken ";
	}

	static void
	on_drained(void *ctx)
	{
		((Socket *)ctx)->drains++;
	}

	static void
	on_turn_over(tevent_context *, tevent_timer *, timeval, void *)
	{
	}

	/* One turn of the loop, at most 100 ms. */
	void
	turn()
	{
		tevent_add_timer(
			ev, ev, tevent_timeval_current_ofs(0, 100000), on_turn_over, nullptr);
		tevent_loop_once(ev);
	}

	/* The bound only ends a test that has failed anyway. */
	void
	wait_for_end()
	{
		for (int i = 0; i < TURNS && ends.empty(); i++)
			turn();
	}

	static const int TURNS = 50;
	static const comet_socket_events events;
	tevent_context *ev = nullptr;
	comet_socket *socket = nullptr;
	int peer = -1;
	std::string text;
	std::string ends;
	int drains = 0;
};

const comet_socket_events Socket::events = {
	nullptr, on_data, on_closed, on_drained, nullptr, nullptr};

TEST_F(Socket, AnOrderlyEndIsTold)
{
	ASSERT_EQ(write(peer, "ab", 2), 2);
	close(peer);
	peer = -1;
	wait_for_end();
	EXPECT_EQ(text, "ab");
	EXPECT_EQ(ends, "orderly ");
}

TEST_F(Socket, AResetIsTold)
{
	reset();
	wait_for_end();
	EXPECT_EQ(ends, "broken ");
}

/* A kernel tells a reset once: to the write that meets it first. The read after it sees the end of
 * the stream, as if the other side had ended in order, and an answer without a length would count
 * as whole. */
TEST_F(Socket, AResetThatAWriteMetIsNoOrderlyEnd)
{
	reset();
	comet_socket_write(socket, "x", 1);
	wait_for_end();
	EXPECT_EQ(ends, "broken ");
}

/* What was queued is lost with a write that failed: nothing later may be put behind the gap. */
TEST_F(Socket, NothingFollowsAFailedWrite)
{
	reset();
	comet_socket_write(socket, "x", 1);
	comet_socket_write(socket, "y", 1);
	EXPECT_EQ(comet_socket_queued(socket), 0U);
	wait_for_end();
	EXPECT_EQ(ends, "broken ");
}

/* A connection that is not read for now is told of all the same: the run that it was for would go
 * on at its endpoint. */
TEST_F(Socket, AFailedWriteIsToldWhileReadingIsPaused)
{
	comet_socket_pause(socket, true);
	reset();
	comet_socket_write(socket, "x", 1);
	wait_for_end();
	EXPECT_EQ(ends, "broken ");
}

TEST_F(Socket, AFailedWriteIsToldWhenReadingIsPausedAfterIt)
{
	reset();
	comet_socket_write(socket, "x", 1);
	comet_socket_pause(socket, true);
	wait_for_end();
	EXPECT_EQ(ends, "broken ");
}

TEST_F(Socket, WhatCameBeforeAFailedWriteIsRead)
{
	ASSERT_EQ(write(peer, "ab", 2), 2);
	reset();
	comet_socket_write(socket, "x", 1);
	wait_for_end();
	EXPECT_EQ(text, "ab");
	EXPECT_EQ(ends, "broken ");
}

/* The queue may become empty within a write, not only when the loop finds room: who waits for that
 * hears of it. */
TEST_F(Socket, AQueueThatAWriteEmptiesIsDrained)
{
	std::string large(8 << 20, 'x');

	comet_socket_write(socket, large.data(), large.size());
	ASSERT_GT(comet_socket_queued(socket), 0U);
	for (size_t got = 0; got < large.size();)
	{
		/* The peer reads and the queue goes on by writes alone; the loop does not run. */
		char buffer[65536];
		ssize_t part = recv(peer, buffer, sizeof buffer, MSG_DONTWAIT);
		got += part > 0 ? (size_t)part : 0;
		if (comet_socket_queued(socket) > 0)
			comet_socket_write(socket, "", 0);
	}
	ASSERT_EQ(comet_socket_queued(socket), 0U);
	for (int i = 0; i < TURNS && drains == 0; i++)
		turn();
	EXPECT_EQ(drains, 1);
}

/* A connection that was refused was told to nobody: the loop tells an error only to who waits to
 * read, and a connection that is being opened waits to write. Whoever looked at its timeout whether
 * anything had come of it found that something had, and waited on. A request to an endpoint that
 * had just crashed stayed without a word until its caller left, 3.2 s later; of thirty crashes on a
 * day not one gave event=unreached.
 *
 * Loopback refuses within the call itself, unless the first packet finds a full queue: then the
 * next one, a second later, finds nobody listening. */
TEST_F(Socket, ARefusedConnectionIsTold)
{
	sockaddr_in address = {};
	socklen_t length = sizeof address;
	int listener = ::socket(AF_INET, SOCK_STREAM, 0);
	int waiting = ::socket(AF_INET, SOCK_STREAM, 0);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(bind(listener, (sockaddr *)&address, sizeof address), 0);
	ASSERT_EQ(listen(listener, 0), 0);
	ASSERT_EQ(getsockname(listener, (sockaddr *)&address, &length), 0);
	ASSERT_EQ(connect(waiting, (sockaddr *)&address, sizeof address), 0);

	comet_socket *refused = comet_socket_connect(ev, ev, &address, &events, this);
	ASSERT_NE(refused, nullptr);
	turn();
	ASSERT_EQ(ends, "");
	close(listener);
	wait_for_end();
	EXPECT_EQ(ends, "broken ");
	EXPECT_EQ(comet_socket_error(refused), ECONNREFUSED);
	close(waiting);
}

} // namespace
