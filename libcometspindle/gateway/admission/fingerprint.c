/*
 * fingerprint.c
 * what makes two requests the same one: their team, method, host, target and body
 */
#include <libcometspindle/gateway/admission/fingerprint.h>

#include <glib.h>
#include <libcometspindle/hash.h>
#include <sodium.h>
#include <string.h>

/* Adds a part with its length, so that no two lists of parts give the same bytes. */
static void
add(crypto_generichash_state *state, const void *data, size_t length)
{
	uint64_t bytes = length;

	crypto_generichash_update(state, (const uint8_t *)&bytes, sizeof bytes);
	crypto_generichash_update(state, data, length);
}

static void
add_text(crypto_generichash_state *state, const char *text)
{
	add(state, text, strlen(text));
}

/* A hash that nobody can steer: on an open route any caller could else make a request that counts
 * as another caller's. 2.5 KB of body take some microseconds. */
struct comet_fingerprint
comet_fingerprint_of(const struct comet_fingerprint_parts *parts)
{
	const char *team = parts->team != NULL ? parts->team : "";
	uint8_t digest[crypto_generichash_BYTES_MIN];
	struct comet_fingerprint fingerprint = {0};
	char *host = g_ascii_strdown(parts->host, -1);
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof digest);
	add_text(&state, team);
	add_text(&state, parts->method);
	add_text(&state, host);
	add_text(&state, parts->target);
	add(&state, parts->body, parts->body_bytes);
	crypto_generichash_final(&state, digest, sizeof digest);
	g_free(host);
	memcpy(&fingerprint.digest, digest, sizeof fingerprint.digest);
	fingerprint.team = parts->team != NULL ? comet_hash_name(team) : 0;
	return fingerprint;
}
