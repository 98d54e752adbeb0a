/*
 * resync_cache.c
 * packed snapshots and deltas that this VM has lately built for its peers
 */
#include <libcometspindle/adapters/gateway/resync_cache.h>

#include <libcometspindle/compress.h>
#include <libcometspindle/error.h>
#include <string.h>
#include <talloc.h>

/* Responses are dropped after this time, because few peers request them later. */
#define EXPIRY_US 1000000

/* Bound on the responses. Followers have only few different positions. */
#define RESPONSES_MAX 64

/* A shorter text is not packed. */
#define PACKED_BYTES_MIN 1024

/* Bound of an unpacked text: about 10,000 endpoints and a large routing document. */
#define TEXT_BYTES_MAX (16 * 1024 * 1024)

/* Texts are JSON objects, and a digest contains no brace. */
#define TEXT_FIRST_BYTE '{'

struct comet_resync_cache
{
	GHashTable *responses; /* target -> GBytes */
	uint64_t built_us;     /* when the oldest was built */
};

static void
free_bytes(gpointer data)
{
	g_bytes_unref(data);
}

static int
cache_destroy(struct comet_resync_cache *cache)
{
	g_hash_table_destroy(cache->responses);
	return 0;
}

struct comet_resync_cache *
comet_resync_cache_create(void *parent)
{
	struct comet_resync_cache *cache = talloc_zero(parent, struct comet_resync_cache);

	cache->responses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_bytes);
	talloc_set_destructor(cache, cache_destroy);
	return cache;
}

GBytes *
comet_resync_cache_find(struct comet_resync_cache *cache, const char *target)
{
	GBytes *response = g_hash_table_lookup(cache->responses, target);

	return response != NULL ? g_bytes_ref(response) : NULL;
}

void
comet_resync_cache_add(
	struct comet_resync_cache *cache, const char *target, GBytes *response, uint64_t now_us)
{
	if (g_hash_table_size(cache->responses) >= RESPONSES_MAX)
		comet_resync_cache_clear(cache);
	if (g_hash_table_size(cache->responses) == 0)
		cache->built_us = now_us;
	g_hash_table_insert(cache->responses, g_strdup(target), g_bytes_ref(response));
}

void
comet_resync_cache_clear(struct comet_resync_cache *cache)
{
	g_hash_table_remove_all(cache->responses);
}

void
comet_resync_cache_tick(struct comet_resync_cache *cache, uint64_t now_us)
{
	if (g_hash_table_size(cache->responses) > 0 && now_us - cache->built_us >= EXPIRY_US)
		comet_resync_cache_clear(cache);
}

GBytes *
comet_resync_pack(GBytes *text)
{
	struct comet_byte_span span = {0};
	char digest[COMET_DIGEST_CHARS];
	gsize length = 0;

	span.data = g_bytes_get_data(text, &span.length);
	if (span.length < PACKED_BYTES_MIN)
		return g_bytes_ref(text);
	comet_digest(&span, digest);
	GBytes *compressed = comet_compress(&span, NULL);
	const void *data = g_bytes_get_data(compressed, &length);
	GByteArray *packed = g_byte_array_new();
	g_byte_array_append(packed, (const guint8 *)digest, COMET_DIGEST_CHARS - 1);
	g_byte_array_append(packed, data, (guint)length);
	g_bytes_unref(compressed);
	return g_byte_array_free_to_bytes(packed);
}

GBytes *
comet_resync_unpack(const char *body, size_t length, GError **error)
{
	const size_t digest_length = COMET_DIGEST_CHARS - 1;
	char digest[COMET_DIGEST_CHARS];

	if (length > 0 && body[0] == TEXT_FIRST_BYTE)
		return g_bytes_new(body, length);
	if (length < digest_length)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_INVALID, "too short");
		return NULL;
	}
	memcpy(digest, body, digest_length);
	digest[digest_length] = '\0';
	const struct comet_byte_span packed = {body + digest_length, length - digest_length};
	return comet_decompress(&packed, NULL, TEXT_BYTES_MAX, digest, error);
}
