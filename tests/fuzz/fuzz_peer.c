/*
 * fuzz_peer.c
 * libFuzzer target: the decoder of messages between VMs
 */
#include <libcometspindle/adapters/peers/peers.h>

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static comet_Packet packet;

	comet_peers_decode(data, size, &packet);
	return 0;
}
