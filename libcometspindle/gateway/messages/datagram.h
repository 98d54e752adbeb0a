/*
 * datagram.h
 * encodes and decodes the datagrams between gateways
 */
#ifndef COMETSPINDLE_GATEWAY_DATAGRAM_H
#define COMETSPINDLE_GATEWAY_DATAGRAM_H

#include <glib.h>
#include <libcometspindle/proto/view.pb.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum size of a datagram. It fits into one Ethernet frame, so no fragment can be lost alone.
 */
#define COMET_DATAGRAM_BYTES_MAX 1400

/** Kinds of datagrams; 0: not a datagram of this release. */
#define COMET_DATAGRAM_KINDS (comet_Datagram_refused_answer_tag + 1)

/** @return the kind of an encoded datagram: the tag of its body, or 0. */
uint32_t
comet_datagram_kind(const uint8_t *data, size_t length);

/** @return the name of a kind, for metrics. */
const char *
comet_datagram_kind_name(uint32_t kind);

/** @return the encoded length, or 0 when the datagram exceeds COMET_DATAGRAM_BYTES_MAX. */
size_t
comet_datagram_encode(const comet_Datagram *datagram,
	uint8_t data[COMET_DATAGRAM_BYTES_MAX]) G_GNUC_WARN_UNUSED_RESULT;

/** Encodes a view, and leaves out entries until it fits: first all but one record of crashes of
 * either kind, then loads of endpoints, limits, and at last spending. The first entries of each
 * kind stay.
 * @return the encoded length; 0 only if not even the fields without entries fit */
size_t
comet_datagram_encode_view(
	comet_Datagram *datagram, uint8_t data[COMET_DATAGRAM_BYTES_MAX]) G_GNUC_WARN_UNUSED_RESULT;

/** @return false when the data is not a valid Datagram message. */
bool
comet_datagram_decode(
	const uint8_t *data, size_t length, comet_Datagram *datagram) G_GNUC_WARN_UNUSED_RESULT;

#endif
