/*
 * datagram.c
 * encodes and decodes the datagrams between gateways
 */
#include <libcometspindle/gateway/messages/datagram.h>

#include <pb_decode.h>
#include <pb_encode.h>
#include <string.h>

size_t
comet_datagram_encode(const comet_Datagram *datagram, uint8_t data[COMET_DATAGRAM_BYTES_MAX])
{
	pb_ostream_t stream = pb_ostream_from_buffer(data, COMET_DATAGRAM_BYTES_MAX);

	return pb_encode(&stream, comet_Datagram_fields, datagram) ? stream.bytes_written : 0;
}

bool
comet_datagram_decode(const uint8_t *data, size_t length, comet_Datagram *datagram)
{
	pb_istream_t stream = pb_istream_from_buffer(data, length);

	memset(datagram, 0, sizeof *datagram);
	return pb_decode(&stream, comet_Datagram_fields, datagram) && datagram->which_body != 0;
}
