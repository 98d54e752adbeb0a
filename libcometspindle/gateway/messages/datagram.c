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

/* Loads that are kept in a view while it holds other entries that can be left out. */
#define VIEW_BUSY_MIN 16

/* Leaves out some entries of a view. @return false if there is nothing left to leave out */
static bool
shrink_view(comet_View *view)
{
	if (view->crashed_count > 1)
		view->crashed_count--;
	else if (view->crashed_parts_count > 1)
		view->crashed_parts_count--;
	else if (view->busy_count > VIEW_BUSY_MIN)
		view->busy_count /= 2;
	else if (view->limits_count > 0)
		view->limits_count /= 2;
	else if (view->spent_count > 0)
		view->spent_count /= 2;
	else if (view->busy_count > 0)
		view->busy_count /= 2;
	else
		return false;
	return true;
}

size_t
comet_datagram_encode_view(comet_Datagram *datagram, uint8_t data[COMET_DATAGRAM_BYTES_MAX])
{
	size_t length = 0;

	while ((length = comet_datagram_encode(datagram, data)) == 0 &&
		shrink_view(&datagram->body.view))
		;
	return length;
}

bool
comet_datagram_decode(const uint8_t *data, size_t length, comet_Datagram *datagram)
{
	pb_istream_t stream = pb_istream_from_buffer(data, length);

	memset(datagram, 0, sizeof *datagram);
	return pb_decode(&stream, comet_Datagram_fields, datagram) && datagram->which_body != 0;
}

uint32_t
comet_datagram_kind(const uint8_t *data, size_t length)
{
	/* The body is the only field of the message, and its key fits into one byte. */
	uint32_t tag = length > 0 ? data[0] >> 3 : 0;

	return tag < COMET_DATAGRAM_KINDS ? tag : 0;
}

const char *
comet_datagram_kind_name(uint32_t kind)
{
	static const char *const names[COMET_DATAGRAM_KINDS] = {
		[0] = "unknown",
		[comet_Datagram_view_tag] = "gossip",
		[comet_Datagram_ask_tag] = "slot_request",
		[comet_Datagram_answer_tag] = "slot_answer",
		[comet_Datagram_freed_tag] = "slot_release",
		[comet_Datagram_charge_tag] = "quota_request",
		[comet_Datagram_charged_tag] = "quota_answer",
		[comet_Datagram_returned_tag] = "quota_refund",
		[comet_Datagram_news_tag] = "reader_report",
		[comet_Datagram_streams_tag] = "stream_versions",
		[comet_Datagram_stream_ask_tag] = "stream_request",
		[comet_Datagram_stream_answer_tag] = "stream_answer",
		[comet_Datagram_refused_tag] = "refusal",
		[comet_Datagram_refused_ask_tag] = "refusal_request",
		[comet_Datagram_refused_answer_tag] = "refusal_answer",
	};

	return names[kind];
}
