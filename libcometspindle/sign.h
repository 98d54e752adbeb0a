/*
 * sign.h
 * Ed25519 signatures of bundles (libsodium)
 *
 * A signed document is one line "comet-bundle-1 SIGNATURE-HEX" followed by
 * the document's bytes, which the signature covers.
 */
#ifndef COMETSPINDLE_SIGN_H
#define COMETSPINDLE_SIGN_H

#include <glib.h>
#include <stdint.h>

#define COMET_SIGN_PUBLIC_BYTES 32
#define COMET_SIGN_SECRET_BYTES 64

/** Makes a key pair. */
void
comet_sign_keypair(
	uint8_t public_key[COMET_SIGN_PUBLIC_BYTES], uint8_t secret_key[COMET_SIGN_SECRET_BYTES]);

/** @return the signed document; never NULL. */
GBytes *
comet_sign_document(
	const char *text, size_t length, const uint8_t secret_key[COMET_SIGN_SECRET_BYTES]);

/** Checks the signature; sets text and length to the document inside signed_document. */
gboolean
comet_sign_open(GBytes *signed_document, const uint8_t public_key[COMET_SIGN_PUBLIC_BYTES],
	const char **text, size_t *length, GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** Reads a hex key of exactly size bytes from a file. */
gboolean
comet_sign_key_load(
	const char *path, uint8_t *key, size_t size, GError **error) G_GNUC_WARN_UNUSED_RESULT;

#endif
