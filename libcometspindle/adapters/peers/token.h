/*
 * token.h
 * sealed tokens with which a caller resumes its own cut stream at any VM
 */
#ifndef COMETSPINDLE_ADAPTERS_TOKEN_H
#define COMETSPINDLE_ADAPTERS_TOKEN_H

#include <stdbool.h>
#include <stdint.h>

#define COMET_TOKEN_KEY_BYTES 32
#define COMET_TOKEN_TEXT_MAX 256
#define COMET_REQUEST_ID_MAX 48

/** What a token names; bound to the team that it was given to. */
struct comet_token
{
	uint32_t team_id;
	uint32_t endpoint_id;
	char request_id[COMET_REQUEST_ID_MAX];
};

/** Derives the sealing key that all VMs share from the fleet's secret. */
void
comet_token_key(const char *fleet_secret, uint8_t key[COMET_TOKEN_KEY_BYTES]);

/** Seals a token to text. */
void
comet_token_seal(const struct comet_token *token, const uint8_t key[COMET_TOKEN_KEY_BYTES],
	char text[COMET_TOKEN_TEXT_MAX]);

/** @return false when it was not sealed with this key. */
bool
comet_token_open(
	const char *text, const uint8_t key[COMET_TOKEN_KEY_BYTES], struct comet_token *token);

#endif
