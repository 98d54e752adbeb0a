/*
 * sign.c
 * Ed25519 signatures of bundles (libsodium)
 */
#include <libcometspindle/sign.h>

#include <libcometspindle/error.h>
#include <sodium.h>
#include <string.h>

#define MAGIC "comet-bundle-1 "
#define MAGIC_LENGTH (sizeof MAGIC - 1)
#define SIGNATURE_HEX (2 * crypto_sign_BYTES)
#define HEADER_LENGTH (MAGIC_LENGTH + SIGNATURE_HEX + 1)

void
comet_sign_keypair(
	uint8_t public_key[COMET_SIGN_PUBLIC_BYTES], uint8_t secret_key[COMET_SIGN_SECRET_BYTES])
{
	crypto_sign_keypair(public_key, secret_key);
}

GBytes *
comet_sign_document(
	const char *text, size_t length, const uint8_t secret_key[COMET_SIGN_SECRET_BYTES])
{
	uint8_t signature[crypto_sign_BYTES];
	char hex[SIGNATURE_HEX + 1];
	GByteArray *out = g_byte_array_new();

	crypto_sign_detached(signature, NULL, (const uint8_t *)text, length, secret_key);
	sodium_bin2hex(hex, sizeof hex, signature, sizeof signature);
	g_byte_array_append(out, (const guint8 *)MAGIC, MAGIC_LENGTH);
	g_byte_array_append(out, (const guint8 *)hex, SIGNATURE_HEX);
	g_byte_array_append(out, (const guint8 *)"\n", 1);
	g_byte_array_append(out, (const guint8 *)text, (guint)length);
	return g_byte_array_free_to_bytes(out);
}

gboolean
comet_sign_open(GBytes *signed_document, const uint8_t public_key[COMET_SIGN_PUBLIC_BYTES],
	const char **text, size_t *length, GError **error)
{
	gsize size = 0;
	const char *data = g_bytes_get_data(signed_document, &size);
	uint8_t signature[crypto_sign_BYTES];

	if (size < HEADER_LENGTH || memcmp(data, MAGIC, MAGIC_LENGTH) != 0 ||
		data[HEADER_LENGTH - 1] != '\n' ||
		sodium_hex2bin(signature, sizeof signature, data + MAGIC_LENGTH, SIGNATURE_HEX,
			NULL, NULL, NULL) != 0)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_SIGNATURE,
			"first line: must be \"%sSIGNATURE\"", MAGIC);
		return FALSE;
	}
	*text = data + HEADER_LENGTH;
	*length = size - HEADER_LENGTH;
	if (crypto_sign_verify_detached(signature, (const uint8_t *)*text, *length, public_key) !=
		0)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_SIGNATURE,
			"signature: not made by this key over this document");
		return FALSE;
	}
	return TRUE;
}

gboolean
comet_sign_key_load(const char *path, uint8_t *key, size_t size, GError **error)
{
	char *text = NULL;
	size_t got = 0;

	if (!g_file_get_contents(path, &text, NULL, error))
		return FALSE;
	g_strstrip(text);
	int failed = sodium_hex2bin(key, size, text, strlen(text), NULL, &got, NULL);
	sodium_memzero(text, strlen(text));
	g_free(text);
	if (failed != 0 || got != size)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_SYNTAX, "%s: must be %zu bytes in hex",
			path, size);
		return FALSE;
	}
	return TRUE;
}
