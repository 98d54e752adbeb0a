/*
 * test_platform_http.cc
 * HTTP adapter of the platform on a link on which a response takes several seconds
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/adapters/clock.h>
#include <libcometspindle/adapters/platform/platform.h>
}
#include <chrono>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <talloc.h>
#include <thread>
#include <unistd.h>

namespace
{

/* Timeout of the test. */
const uint64_t TEST_TIMEOUT_US = 20000000;

const size_t VMS = 1000;
const int PIECES = 30;
const int PIECE_INTERVAL_MS = 100;

std::string
list_of_vms()
{
	std::string text = "{\"vms\":[";

	for (size_t i = 0; i < VMS; i++)
	{
		std::string number = std::to_string(i);
		text += i > 0 ? "," : "";
		text += "{\"name\":\"vm-" + number + "\",\"zone\":\"zone-a\",\"peer\":\"10.0.0." +
			number + ":7000\",\"caller\":\"10.0.0." + number +
			":8000\",\"leaving\":false}";
	}
	return text + "]}";
}

/* Sends one response in PIECES parts, PIECE_INTERVAL_MS apart. */
void
serve_in_pieces(int listener)
{
	std::string body = list_of_vms();
	std::string head =
		"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
	char request[4096];

	int fd = accept(listener, nullptr, nullptr);
	if (fd < 0 || recv(fd, request, sizeof request, 0) <= 0)
		return;
	send(fd, head.data(), head.size(), MSG_NOSIGNAL);
	size_t piece = body.size() / PIECES + 1;
	for (size_t at = 0; at < body.size(); at += piece)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(PIECE_INTERVAL_MS));
		send(fd, body.data() + at, std::min(piece, body.size() - at), MSG_NOSIGNAL);
	}
	close(fd);
}

struct reader
{
	size_t vms = 0;

	static void
	on_bundle(void *, GBytes *)
	{
	}

	static void
	on_vms(void *ctx, const comet_vm *, size_t count)
	{
		static_cast<reader *>(ctx)->vms = count;
	}

	static uint64_t
	version(void *)
	{
		return 0;
	}

	static bool
	is_reader(void *)
	{
		return false;
	}

	static size_t
	fleet_size(void *)
	{
		return VMS;
	}
};

const comet_platform_events events = {
	reader::on_bundle, reader::on_vms, reader::version, reader::is_reader, reader::fleet_size};

/* Guards against a total timeout of 2 s for the list of VMs. On a slow link the list takes longer
 * even though data arrives steadily, and the VM never learned of its peers. */
TEST(PlatformHttp, SlowButSteadyResponseIsReadCompletely)
{
	sockaddr_in address = {};
	socklen_t length = sizeof address;
	reader reader;

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ASSERT_EQ(bind(listener, reinterpret_cast<sockaddr *>(&address), length), 0);
	ASSERT_EQ(listen(listener, 16), 0);
	getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length);
	std::thread server(serve_in_pieces, listener);
	tevent_context *ev = tevent_context_init(nullptr);
	comet_curl_loop *loop = comet_curl_loop_create(ev, ev);
	std::string url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
	comet_platform *platform =
		comet_platform_http_create(ev, ev, loop, url.c_str(), &events, &reader);
	platform->ops->start(platform);
	uint64_t begin_us = comet_clock_now().mono_us;
	while (reader.vms == 0 && comet_clock_now().mono_us - begin_us < TEST_TIMEOUT_US)
		tevent_loop_once(ev);
	EXPECT_EQ(reader.vms, VMS);
	talloc_free(ev);
	shutdown(listener, SHUT_RDWR);
	server.join();
	close(listener);
}

} /* namespace */
