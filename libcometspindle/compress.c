/*
 * compress.c
 * compressed texts, whole or as deltas of an earlier version
 */
#include <libcometspindle/compress.h>

#include <libcometspindle/error.h>
#include <sodium.h>
#include <string.h>
#include <zstd.h>

#define DIGEST_BYTES 16

/* Packs a megabyte within milliseconds. */
#define LEVEL 3

/* Window sizes in bits; 16 MB exceeds any text with its base. */
#define WINDOW_BITS_MIN 10
#define WINDOW_BITS_MAX 24

void
comet_digest(const struct comet_byte_span *text, char digest[COMET_DIGEST_CHARS])
{
	unsigned char hash[DIGEST_BYTES];

	crypto_generichash(
		hash, sizeof hash, (const unsigned char *)text->data, text->length, NULL, 0);
	sodium_bin2hex(digest, COMET_DIGEST_CHARS, hash, sizeof hash);
}

/* @return the window that covers so many bytes. */
static int
window_bits(size_t bytes)
{
	int bits = WINDOW_BITS_MIN;

	while (bits < WINDOW_BITS_MAX && ((size_t)1 << bits) < bytes)
		bits++;
	return bits;
}

GBytes *
comet_compress(const struct comet_byte_span *text, const struct comet_byte_span *base)
{
	size_t reach = text->length + (base != NULL ? base->length : 0);
	size_t room = ZSTD_compressBound(text->length);
	char *packed = g_malloc(room);
	ZSTD_CCtx *context = ZSTD_createCCtx();

	ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, LEVEL);
	ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog, window_bits(reach));
	if (base != NULL)
	{
		ZSTD_CCtx_setParameter(context, ZSTD_c_enableLongDistanceMatching, 1);
		ZSTD_CCtx_refPrefix(context, base->data, base->length);
	}
	size_t length = ZSTD_compress2(context, packed, room, text->data, text->length);
	ZSTD_freeCCtx(context);
	g_assert(!ZSTD_isError(length)); /* the buffer fits any text */
	return g_bytes_new_take(g_realloc(packed, MAX(length, 1)), length);
}

static GBytes *
decompress(const struct comet_byte_span *packed, const struct comet_byte_span *base, size_t length)
{
	char *text = g_malloc(length + 1);
	ZSTD_DCtx *context = ZSTD_createDCtx();

	ZSTD_DCtx_setParameter(context, ZSTD_d_windowLogMax, WINDOW_BITS_MAX);
	if (base != NULL)
		ZSTD_DCtx_refPrefix(context, base->data, base->length);
	size_t done = ZSTD_decompressDCtx(context, text, length, packed->data, packed->length);
	ZSTD_freeDCtx(context);
	if (ZSTD_isError(done) || done != length)
	{
		g_free(text);
		return NULL;
	}
	text[length] = '\0';
	return g_bytes_new_take(text, length);
}

GBytes *
comet_decompress(const struct comet_byte_span *packed, const struct comet_byte_span *base,
	size_t max_bytes, const char *digest, GError **error)
{
	unsigned long long length = ZSTD_getFrameContentSize(packed->data, packed->length);
	char found[COMET_DIGEST_CHARS];

	/* Both error codes exceed any limit. */
	if (length > max_bytes)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_SYNTAX,
			"packed text of no or too great a length");
		return NULL;
	}
	GBytes *bytes = decompress(packed, base, (size_t)length);
	if (bytes == NULL)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_SYNTAX, "packed text is damaged");
		return NULL;
	}
	struct comet_byte_span text = {g_bytes_get_data(bytes, NULL), (size_t)length};
	comet_digest(&text, found);
	if (strcmp(found, digest) == 0)
		return bytes;
	g_set_error(error, COMET_ERROR, COMET_ERROR_INVALID, "text has digest %s, not %s", found,
		digest);
	g_bytes_unref(bytes);
	return NULL;
}
