/*
 * fingerprint.c
 * identity of a request: its team, method, host, target and body
 */
#include <libcometspindle/gateway/admission/fingerprint.h>

#include <glib.h>
#include <libcometspindle/hash.h>
#include <sodium.h>
#include <string.h>

/* Hashes a part together with its length, so that two different lists of parts never give the same
 * input. */
static void
hash_part(crypto_generichash_state *state, const void *data, size_t length)
{
	uint64_t bytes = length;

	crypto_generichash_update(state, (const uint8_t *)&bytes, sizeof bytes);
	crypto_generichash_update(state, data, length);
}

static void
hash_text(crypto_generichash_state *state, const char *text)
{
	hash_part(state, text, strlen(text));
}

/* Returns the digest of what was hashed, as an identity of the team. */
static struct comet_fingerprint
finish(crypto_generichash_state *state, const char *team)
{
	uint8_t digest[crypto_generichash_BYTES_MIN];
	struct comet_fingerprint fingerprint = {0};

	crypto_generichash_final(state, digest, sizeof digest);
	memcpy(&fingerprint.digest, digest, sizeof fingerprint.digest);
	fingerprint.team = team != NULL ? comet_hash_name(team) : 0;
	return fingerprint;
}

/* Uses a cryptographic hash: on an open route any caller could otherwise construct a request that
 * collides with a request of another caller. A body of 2.5 KB takes some microseconds. */
struct comet_fingerprint
comet_fingerprint_compute(const struct comet_fingerprint_parts *parts)
{
	char *host = g_ascii_strdown(parts->host, -1);
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, crypto_generichash_BYTES_MIN);
	hash_text(&state, parts->team != NULL ? parts->team : "");
	hash_text(&state, parts->method);
	hash_text(&state, host);
	hash_text(&state, parts->target);
	hash_part(&state, parts->body, parts->body_bytes);
	g_free(host);
	return finish(&state, parts->team);
}

struct comet_fingerprint
comet_fingerprint_compute_part(const char *team, const char *id, size_t length)
{
	char *text = g_ascii_strdown(id, (gssize)length);
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, crypto_generichash_BYTES_MIN);
	hash_text(&state, team != NULL ? team : "");
	hash_text(&state, text);
	g_free(text);
	return finish(&state, team);
}
