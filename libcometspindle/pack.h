/*
 * pack.h
 * compressed texts, whole or as deltas of an earlier version
 *
 * A digest names a version. The size of an unpacked text is bounded, and its
 * digest verified.
 */
#ifndef COMETSPINDLE_PACK_H
#define COMETSPINDLE_PACK_H

#include <glib.h>
#include <stddef.h>

/** Characters of a digest, with the final NUL. */
#define COMET_DIGEST_CHARS 33

/** A text of arbitrary bytes. */
struct comet_text
{
	const char *data;
	size_t length;
};

/** Writes the digest of a text: 128 bits of BLAKE2b in hexadecimal. */
void
comet_digest(const struct comet_text *text, char digest[COMET_DIGEST_CHARS]);

/** Compresses a text. base: a version that the receiver holds, or NULL. */
GBytes *
comet_pack(const struct comet_text *text, const struct comet_text *base);

/** Unpacks a text of at most max_bytes. base: as it was packed with. @return NULL and error if it
 * is damaged, too large, or has another digest. */
GBytes *
comet_unpack(const struct comet_text *packed, const struct comet_text *base, size_t max_bytes,
	const char *digest, GError **error) G_GNUC_WARN_UNUSED_RESULT;

#endif
