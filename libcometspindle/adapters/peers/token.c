/*
 * token.c
 * sealed tokens with which a caller resumes its own cut stream at any VM
 */
#include <libcometspindle/adapters/peers/token.h>

#include <sodium.h>
#include <string.h>

/* Separates this key from other uses of the fleet's secret. */
#define KEY_CONTEXT "comet-resume-token-1"

struct sealed
{
	uint8_t nonce[crypto_secretbox_NONCEBYTES];
	uint8_t box[crypto_secretbox_MACBYTES + sizeof(struct comet_token)];
};

void
comet_token_key(const char *fleet_secret, uint8_t key[COMET_TOKEN_KEY_BYTES])
{
	crypto_generichash(key, COMET_TOKEN_KEY_BYTES, (const uint8_t *)fleet_secret,
		strlen(fleet_secret), (const uint8_t *)KEY_CONTEXT, sizeof KEY_CONTEXT - 1);
}

void
comet_token_seal(const struct comet_token *token, const uint8_t key[COMET_TOKEN_KEY_BYTES],
	char text[COMET_TOKEN_TEXT_MAX])
{
	struct sealed sealed;
	struct comet_token plain;

	memset(&plain, 0, sizeof plain);
	plain.team_id = token->team_id;
	plain.endpoint_id = token->endpoint_id;
	memcpy(plain.request_id, token->request_id, sizeof plain.request_id);
	plain.request_id[sizeof plain.request_id - 1] = '\0';
	randombytes_buf(sealed.nonce, sizeof sealed.nonce);
	crypto_secretbox_easy(sealed.box, (const uint8_t *)&plain, sizeof plain, sealed.nonce, key);
	sodium_bin2hex(text, COMET_TOKEN_TEXT_MAX, (const uint8_t *)&sealed, sizeof sealed);
}

bool
comet_token_open(
	const char *text, const uint8_t key[COMET_TOKEN_KEY_BYTES], struct comet_token *token)
{
	struct sealed sealed;
	size_t got = 0;

	if (sodium_hex2bin(
		    (uint8_t *)&sealed, sizeof sealed, text, strlen(text), NULL, &got, NULL) != 0 ||
		got != sizeof sealed)
		return false;
	if (crypto_secretbox_open_easy(
		    (uint8_t *)token, sealed.box, sizeof sealed.box, sealed.nonce, key) != 0)
		return false;
	token->request_id[sizeof token->request_id - 1] = '\0';
	return true;
}
