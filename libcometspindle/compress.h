/*
 * compress.h
 * compressed texts, whole or as deltas of an earlier version
 *
 * A digest names a version. The size of an unpacked text is bounded, and its
 * digest verified.
 */
#ifndef COMETSPINDLE_COMPRESS_H
#define COMETSPINDLE_COMPRESS_H

#include <glib.h>
#include <stddef.h>

/** Characters of a digest, with the final NUL. */
#define COMET_DIGEST_CHARS 33

/** A text of arbitrary bytes. */
struct comet_byte_span
{
	const char *data;
	size_t length;
};

/** Writes the digest of a text: 128 bits of BLAKE2b in hexadecimal. */
void
comet_digest(const struct comet_byte_span *text, char digest[COMET_DIGEST_CHARS]);

/** Compresses a text. base: a version that the receiver holds, or NULL. */
GBytes *
comet_compress(const struct comet_byte_span *text, const struct comet_byte_span *base);

/** Unpacks a text of at most max_bytes. base: as it was packed with. @return NULL and error if it
 * is damaged, too large, or has another digest. */
GBytes *
comet_decompress(const struct comet_byte_span *packed, const struct comet_byte_span *base,
	size_t max_bytes, const char *digest, GError **error) G_GNUC_WARN_UNUSED_RESULT;

#endif
