/*
 * fixtures.cc
 * bundle documents shared by several tests
 */
#include "fixtures.h"

#include <sodium.h>

static std::string
hex_key_hash(const char *key)
{
	uint8_t hash[COMET_KEY_HASH_BYTES];
	char hex[2 * COMET_KEY_HASH_BYTES + 1];

	comet_bundle_hash_key(key, hash);
	return sodium_bin2hex(hex, sizeof hex, hash, sizeof hash);
}

std::string
fixture_bundle_text(unsigned int version, unsigned int endpoints)
{
	std::string tiers = "[\"urgent\",\"prompt\",\"normal\",\"patient\"]";
	std::string text = "{\"version\":" + std::to_string(version) +
			   ",\"tiers\":[{\"name\":\"urgent\",\"deadline_ms\":3000},"
			   "{\"name\":\"prompt\",\"deadline_ms\":6000},"
			   "{\"name\":\"normal\",\"deadline_ms\":12000},"
			   "{\"name\":\"patient\",\"deadline_ms\":30000}],\"teams\":["
			   "{\"name\":\"a\",\"weight\":1,\"tiers\":" +
			   tiers + ",\"key_hash\":\"" + hex_key_hash("key-a") +
			   "\"},{\"name\":\"b\",\"tiers\":" + tiers + ",\"key_hash\":\"" +
			   hex_key_hash("key-b") +
			   "\",\"quota\":{\"tokens_per_s\":1000}}],\"models\":[{\"name\":\"m\"}],"
			   "\"endpoints\":[";

	for (unsigned int i = 0; i < endpoints; i++)
	{
		std::string n = std::to_string(i + 1);
		text += std::string(i > 0 ? "," : "") + "{\"name\":\"e" + n +
			"\",\"url\":\"http://127.0.0.1:1\",\"zone\":\"z1\",\"serves\":[\"m\"],"
			"\"batch\":4}";
	}
	return text + "]}";
}

struct comet_bundle *
fixture_bundle(unsigned int version, unsigned int endpoints)
{
	std::string text = fixture_bundle_text(version, endpoints);

	return comet_bundle_parse(text.data(), text.size(), nullptr);
}
