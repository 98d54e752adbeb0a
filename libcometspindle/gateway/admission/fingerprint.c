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

/* Uses a cryptographic hash: on an open route any caller could otherwise construct a request that
 * collides with a request of another caller. A body of 2.5 KB takes some microseconds. */
struct comet_fingerprint
comet_fingerprint_compute(const struct comet_fingerprint_parts *parts)
{
	const char *team = parts->team != NULL ? parts->team : "";
	uint8_t digest[crypto_generichash_BYTES_MIN];
	struct comet_fingerprint fingerprint = {0};
	char *host = g_ascii_strdown(parts->host, -1);
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof digest);
	hash_text(&state, team);
	hash_text(&state, parts->method);
	hash_text(&state, host);
	hash_text(&state, parts->target);
	hash_part(&state, parts->body, parts->body_bytes);
	crypto_generichash_final(&state, digest, sizeof digest);
	g_free(host);
	memcpy(&fingerprint.digest, digest, sizeof fingerprint.digest);
	fingerprint.team = parts->team != NULL ? comet_hash_name(team) : 0;
	return fingerprint;
}
