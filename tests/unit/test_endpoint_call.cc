/*
 * test_endpoint_call.cc
 * one dispatch over real sockets: what a caller is passed when its run is cut, refused or replaced
 *
 * A stream that breaks goes on at the same endpoint, and the answer to that second request can be
 * anything: the rest, a refusal, an error page, the stream from its start, another run under the
 * same id. Only the rest may reach the caller. The endpoint here plays one script a connection.
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/adapters/clock.h>
#include <libcometspindle/adapters/endpoints/endpoint_call.h>
}
#include <algorithm>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <talloc.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

/* A test that hangs ends after so long. */
const uint64_t GUARD_US = 30000000;
/* More than an endpoint call is given where its hard end plays no part. */
const uint64_t LONG_MS = 20000;

/* What the endpoint does with one connection. */
struct Reply
{
	std::string bytes;
	bool hold = false; /* then stays open and silent until the test is over */
};

using Script = std::function<Reply(size_t connection, const std::string &request)>;

class Endpoint
{
      public:
	explicit Endpoint(Script play) : script(std::move(play))
	{
		sockaddr_in address = {};
		socklen_t length = sizeof address;
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		EXPECT_EQ(bind(listener, reinterpret_cast<sockaddr *>(&address), length), 0);
		EXPECT_EQ(listen(listener, 16), 0);
		getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length);
		port = ntohs(address.sin_port);
		thread = std::thread([this] { serve(); });
	}

	~Endpoint()
	{
		shutdown(listener, SHUT_RDWR);
		thread.join();
		for (int held_fd : held)
			close(held_fd);
		close(listener);
	}

	std::string
	url(const char *path) const
	{
		return "http://127.0.0.1:" + std::to_string(port) + path;
	}

	/* First lines of the requests, in their order. */
	std::vector<std::string>
	seen()
	{
		std::lock_guard<std::mutex> guard(lock);
		return requests;
	}

      private:
	void
	serve()
	{
		for (int fd; (fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
		{
			std::string request = read_request(fd);
			size_t connection;
			{
				std::lock_guard<std::mutex> guard(lock);
				connection = requests.size();
				requests.push_back(request.substr(0, request.find("\r\n")));
			}
			Reply reply = script(connection, request);
			send(fd, reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
			if (reply.hold)
				held.push_back(fd);
			else
				close(fd);
		}
	}

	static std::string
	read_request(int fd)
	{
		std::string request;
		char part[4096];
		for (ssize_t got; (got = recv(fd, part, sizeof part, 0)) > 0;)
		{
			request.append(part, static_cast<size_t>(got));
			size_t end = request.find("\r\n\r\n");
			size_t named = request.find("Content-Length: ");
			size_t body = named < end ? std::stoul(request.substr(named + 16)) : 0;
			if (end != std::string::npos && request.size() >= end + 4 + body)
				break;
		}
		return request;
	}

	Script script;
	int listener = -1;
	uint16_t port = 0;
	std::thread thread;
	std::mutex lock;
	std::vector<std::string> requests;
	std::vector<int> held;
};

size_t
offset_of(const std::string &request)
{
	size_t at = request.find("?offset=");

	return at == std::string::npos ? 0 : std::stoul(request.substr(at + 8));
}

std::string
head_of(const char *type)
{
	return std::string("HTTP/1.1 200 OK\r\nContent-Type: ") + type +
	       "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string
chunk_of(const std::string &body)
{
	char size[32];

	snprintf(size, sizeof size, "%zx\r\n", body.size());
	return size + body + "\r\n";
}

/* A chunked answer; one that is not ended is cut when the connection closes. */
std::string
chunked(const std::string &body, bool ended)
{
	std::string text = head_of("text/event-stream");

	if (!body.empty())
		text += chunk_of(body);
	return ended ? text + "0\r\n\r\n" : text;
}

std::string
sized(const char *status, const std::string &body, size_t length)
{
	return std::string("HTTP/1.1 ") + status + "\r\nContent-Type: application/json\r\n" +
	       "Content-Length: " + std::to_string(length) + "\r\n\r\n" + body;
}

/* The events of one run; its id stands in each of them. */
std::string
stream_of(const char *run, size_t tokens)
{
	std::string text;

	for (size_t i = 0; i < tokens; i++)
		text += std::string("data: {\"id\":\"cmpl-") + run +
			"\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\" "
			"t" +
			std::to_string(i % 7) + "\"}]}\n\n";
	return text + "data: [DONE]\n\n";
}

/* Cut after so many bytes at first, then whatever the rest of the test plays. */
Script
cut_then(const std::string &text, size_t at, Script then)
{
	return [=](size_t connection, const std::string &request) -> Reply
	{
		if (connection == 0)
			return {chunked(text.substr(0, at), false)};
		return then(connection, request);
	};
}

Reply
rest_of(const std::string &text, const std::string &request)
{
	return {chunked(text.substr(std::min(offset_of(request), text.size())), true)};
}

/* One call, run to its end. */
struct Call
{
	explicit Call(Endpoint &endpoint, uint64_t timeout_ms = LONG_MS)
	{
		ev = tevent_context_init(nullptr);
		loop = comet_curl_loop_create(ev, ev);
		std::string url = endpoint.url("/v1/completions");
		std::string resume_url = endpoint.url("/v1/streams/r1");
		comet_endpoint_request request = {};
		request.url = url.c_str();
		request.resume_url = resume_url.c_str();
		request.request_id = "r1";
		request.content_type = "application/json";
		request.body = "{}";
		request.length = 2;
		request.timeout_ms = timeout_ms;
		request.streaming = true;
		call = comet_endpoint_call_create(ev, ev, loop, &request, &events, this);
	}

	~Call()
	{
		talloc_free(ev);
	}

	void
	run()
	{
		tevent_add_timer(ev, ev, comet_clock_after(GUARD_US), on_guard, this);
		while (!ended && !hung)
			tevent_loop_once(ev);
		EXPECT_FALSE(hung);
	}

	static void
	on_guard(tevent_context *, tevent_timer *, timeval, void *ctx)
	{
		static_cast<Call *>(ctx)->hung = true;
	}

	static void
	on_head(void *ctx, unsigned int status, const char *type)
	{
		Call *self = static_cast<Call *>(ctx);
		self->heads++;
		self->status = status;
		self->type = type;
	}

	static bool
	on_data(void *ctx, const char *data, size_t length)
	{
		Call *self = static_cast<Call *>(ctx);
		if (self->blocked)
			return false;
		if (self->slow && !self->ready)
		{
			tevent_add_timer(
				self->ev, self->ev, comet_clock_after(20000), on_ready, self);
			return false;
		}
		self->ready = false;
		self->data.append(data, length);
		return true;
	}

	static void
	on_ready(tevent_context *, tevent_timer *, timeval, void *ctx)
	{
		Call *self = static_cast<Call *>(ctx);
		self->ready = true;
		comet_endpoint_call_resume(self->call);
	}

	static void
	on_slow(void *, uint32_t)
	{
	}

	static void
	on_end(void *ctx, comet_outcome outcome, bool whole, const comet_sample *)
	{
		Call *self = static_cast<Call *>(ctx);
		self->ended = true;
		self->outcome = outcome;
		self->whole = whole;
	}

	static const comet_endpoint_events events;
	tevent_context *ev = nullptr;
	comet_curl_loop *loop = nullptr;
	comet_endpoint_call *call = nullptr;
	bool slow = false;    /* takes each part a moment late */
	bool blocked = false; /* takes nothing */
	bool ready = false;
	bool ended = false;
	bool hung = false;
	unsigned int heads = 0;
	unsigned int status = 0;
	std::string type;
	std::string data;
	comet_outcome outcome = COMET_OUTCOME_RETURNED;
	bool whole = false;
};

const comet_endpoint_events Call::events = {
	Call::on_head, Call::on_data, Call::on_slow, Call::on_end};

TEST(EndpointCall, AStreamThatWasCutGoesOnWhereItBroke)
{
	std::string text = stream_of("a", 40);

	for (size_t at : {size_t(1), size_t(7), size_t(600), size_t(2000), text.size() - 1})
	{
		Endpoint endpoint(cut_then(text, at,
			[&](size_t, const std::string &request)
			{ return rest_of(text, request); }));
		Call call(endpoint);
		call.run();
		EXPECT_EQ(call.data, text) << at;
		EXPECT_TRUE(call.whole) << at;
		EXPECT_EQ(call.outcome, COMET_OUTCOME_SERVED) << at;
		EXPECT_EQ(call.heads, 1U) << at;
		EXPECT_EQ(endpoint.seen().size(), 2U) << at;
	}
}

TEST(EndpointCall, ACutMayFallAnywhereInTheFinalMark)
{
	std::string text = stream_of("a", 3);

	for (size_t left = 0; left <= 16; left++)
	{
		Endpoint endpoint(cut_then(text, text.size() - left,
			[&](size_t, const std::string &request)
			{ return rest_of(text, request); }));
		Call call(endpoint);
		call.run();
		EXPECT_EQ(call.data, text) << left;
		EXPECT_TRUE(call.whole) << left;
	}
}

TEST(EndpointCall, TheRestMayComeInPieces)
{
	std::string text = stream_of("a", 20);

	for (bool slow : {false, true})
	{
		Endpoint endpoint(cut_then(text, 1000,
			[&](size_t, const std::string &request) -> Reply
			{
				std::string rest = text.substr(offset_of(request));
				std::string bytes = head_of("text/event-stream");
				for (size_t at = 0; at < rest.size(); at += 100)
					bytes += chunk_of(rest.substr(at, 100));
				return {bytes + "0\r\n\r\n"};
			}));
		Call call(endpoint);
		call.slow = slow;
		call.run();
		EXPECT_EQ(call.data, text);
		EXPECT_TRUE(call.whole);
	}
}

TEST(EndpointCall, AStreamThatNamesNoTypeGoesOnToo)
{
	std::string text = stream_of("a", 20);
	Endpoint endpoint(
		[&](size_t connection, const std::string &request) -> Reply
		{
			size_t at = offset_of(request);
			std::string rest =
				text.substr(at, connection == 0 ? 700 : std::string::npos);
			return {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + rest};
		});
	Call call(endpoint);

	call.run();
	EXPECT_EQ(call.data, text);
	EXPECT_TRUE(call.whole);
}

/*
 * A streaming call that an endpoint answered with an error had no end in its final mark, and so
 * was taken for a cut stream: asked for again three times at an offset that was the error's
 * length, and ended before its caller as a broken answer.
 */
TEST(EndpointCall, AnErrorAnswerToAStreamingCallIsWhole)
{
	std::string body = "{\"error\":\"bad body\"}";
	Endpoint endpoint([&](size_t, const std::string &) -> Reply
		{ return {sized("400 Bad Request", body, body.size())}; });
	Call call(endpoint);

	call.run();
	EXPECT_EQ(call.status, 400U);
	EXPECT_EQ(call.data, body);
	EXPECT_TRUE(call.whole);
	EXPECT_EQ(endpoint.seen(), std::vector<std::string>{"POST /v1/completions HTTP/1.1"});
}

TEST(EndpointCall, BytesOfAStreamNeverFollowAnErrorThatBroke)
{
	std::string text = stream_of("a", 10);
	Endpoint endpoint(
		[&](size_t connection, const std::string &request) -> Reply
		{
			if (connection == 0)
				return {sized("500 Internal Server Error", "{\"error\":", 40)};
			return rest_of(text, request);
		});
	Call call(endpoint);

	call.run();
	EXPECT_EQ(call.status, 500U);
	EXPECT_EQ(call.data, "{\"error\":");
	EXPECT_FALSE(call.whole);
	EXPECT_EQ(endpoint.seen().size(), 1U);
}

TEST(EndpointCall, TheBodyOfARefusedResumeIsNotPassedOn)
{
	std::string text = stream_of("a", 20);
	Endpoint endpoint(cut_then(text, 500,
		[&](size_t connection, const std::string &request) -> Reply
		{
			if (connection == 1)
				return {sized("503 Service Unavailable", "busy", 4)};
			if (connection == 2)
				return {sized("404 Not Found", "none", 4)};
			return rest_of(text, request);
		}));
	Call call(endpoint);

	call.run();
	EXPECT_EQ(call.data, text);
	EXPECT_TRUE(call.whole);
}

/* It was sent and has begun: nothing may be told as not run, and no run may follow it. */
TEST(EndpointCall, AResumeThatIsRefusedToTheLastIsACut)
{
	std::string text = stream_of("a", 20);
	Endpoint endpoint(cut_then(text, 500,
		[&](size_t, const std::string &) -> Reply
		{ return {sized("503 Service Unavailable", "busy", 4)}; }));
	Call call(endpoint);

	call.run();
	EXPECT_EQ(call.data, text.substr(0, 500));
	EXPECT_FALSE(call.whole);
	EXPECT_EQ(call.outcome, COMET_OUTCOME_FAILED);
}

/*
 * The answer to a resume tells its status and type and nothing of where it begins. An endpoint
 * that starts the stream anew, or has run the request again under its id, sent the caller a piece
 * that no run made: bytes of the first run up to the cut, then the other's. With a stream cut at
 * 500 bytes and begun anew it read ... "choices":[{"indedata: {"id":"cmpl-a", and looked whole.
 */
TEST(EndpointCall, AStreamThatBeginsAnewIsNotTheRest)
{
	std::string text = stream_of("a", 20);

	for (size_t at : {size_t(3), size_t(40), size_t(500), size_t(1000), size_t(1400)})
	{
		Endpoint endpoint(cut_then(text, at,
			[&](size_t, const std::string &) -> Reply
			{ return {chunked(text, true)}; }));
		Call call(endpoint);
		call.run();
		/* near its start the whole stream may be asked for again, and is one run's then */
		EXPECT_TRUE(call.data == text.substr(0, at) || (at <= 500 && call.data == text))
			<< at << ": " << call.data;
		EXPECT_EQ(call.whole, call.data == text) << at;
	}
}

TEST(EndpointCall, AnotherRunUnderTheSameIdIsNotTheRest)
{
	std::string text = stream_of("first", 20);
	std::string other = stream_of("other", 20);

	for (size_t at : {size_t(40), size_t(100), size_t(500), size_t(1000)})
	{
		Endpoint endpoint(cut_then(text, at,
			[&](size_t, const std::string &request)
			{ return rest_of(other, request); }));
		Call call(endpoint);
		call.run();
		EXPECT_EQ(call.data, text.substr(0, at)) << at;
		EXPECT_FALSE(call.whole) << at;
	}
}

TEST(EndpointCall, AnAnswerOfAnotherKindIsNotTheRest)
{
	std::string text = stream_of("a", 20);
	Endpoint endpoint(cut_then(text, 500,
		[&](size_t, const std::string &) -> Reply
		{ return {sized("200 OK", "{\"error\":\"no such stream\"}", 26)}; }));
	Call call(endpoint);

	call.run();
	EXPECT_EQ(call.data, text.substr(0, 500));
	EXPECT_FALSE(call.whole);
}

/*
 * The final mark was looked for anywhere in the last bytes: a token that spells it out made a
 * stream look whole that had ended right after, without an error of its connection.
 */
TEST(EndpointCall, ATokenThatSpellsTheFinalMarkEndsNothing)
{
	std::string event = "data: {\"text\":\"data: [DONE]\"}\n\n";
	Endpoint endpoint(
		[&](size_t connection, const std::string &) -> Reply
		{
			if (connection == 0)
				return {chunked(event, true)};
			return {sized("404 Not Found", "none", 4)};
		});
	Call call(endpoint);

	call.run();
	EXPECT_EQ(call.data, event);
	EXPECT_FALSE(call.whole);
}

/*
 * The hard end of a call was counted anew by each resume, and its passing was itself taken for a
 * cut: a silent endpoint held a call, and its place, for up to four times its time (here
 * 1,804 ms for 600 ms, and four requests).
 */
TEST(EndpointCall, AResumeDoesNotPutOffTheHardEnd)
{
	std::string text = stream_of("a", 20);
	Endpoint endpoint(cut_then(text, 500,
		[&](size_t, const std::string &request) -> Reply
		{
			size_t at = offset_of(request);
			return {chunked(text.substr(at, 700 - at), false), true};
		}));
	Call call(endpoint, 600);

	call.run();
	EXPECT_EQ(call.data, text.substr(0, 700));
	EXPECT_FALSE(call.whole);
	EXPECT_EQ(call.outcome, COMET_OUTCOME_FAILED);
	EXPECT_EQ(endpoint.seen().size(), 2U);
}

TEST(EndpointCall, AConnectionMayBreakWhileItsCallerIsSlow)
{
	std::string text = stream_of("a", 2000);

	for (size_t at : {size_t(300), size_t(30000), size_t(100000)})
	{
		Endpoint endpoint(cut_then(text, at,
			[&](size_t, const std::string &request)
			{ return rest_of(text, request); }));
		Call call(endpoint);
		call.slow = true;
		call.run();
		EXPECT_TRUE(call.data == text) << at << ": " << call.data.size();
		EXPECT_TRUE(call.whole) << at;
	}
}

/* What was held back for its caller is of no use to anybody then. */
TEST(EndpointCall, ACallThatEndsWhileItsCallerTakesNothingIsOver)
{
	std::string text = stream_of("a", 20);
	Endpoint endpoint([&](size_t, const std::string &) -> Reply
		{ return {chunked(text.substr(0, 500), false)}; });
	Call call(endpoint, 300);

	call.blocked = true;
	call.run();
	EXPECT_EQ(call.data, "");
	EXPECT_FALSE(call.whole);
	EXPECT_EQ(call.outcome, COMET_OUTCOME_FAILED);
	EXPECT_EQ(endpoint.seen().size(), 1U);
}

} // namespace
