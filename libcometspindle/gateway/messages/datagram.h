/*
 * datagram.h
 * what gateways send each other, as bytes
 */
#ifndef COMETSPINDLE_GATEWAY_DATAGRAM_H
#define COMETSPINDLE_GATEWAY_DATAGRAM_H

#include <glib.h>
#include <libcometspindle/proto/view.pb.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Largest datagram: one Ethernet frame, so that no part of it can be lost alone. */
#define COMET_DATAGRAM_BYTES_MAX 1400

/** @return the length; 0 when it does not fit. */
size_t
comet_datagram_encode(const comet_Datagram *datagram,
	uint8_t data[COMET_DATAGRAM_BYTES_MAX]) G_GNUC_WARN_UNUSED_RESULT;

/** @return false when the bytes are not a datagram of ours. */
bool
comet_datagram_decode(
	const uint8_t *data, size_t length, comet_Datagram *datagram) G_GNUC_WARN_UNUSED_RESULT;

#endif
