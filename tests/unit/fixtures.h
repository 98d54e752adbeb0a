/*
 * fixtures.h
 * bundle documents shared by several tests
 */
#ifndef COMETSPINDLE_TESTS_FIXTURES_H
#define COMETSPINDLE_TESTS_FIXTURES_H

#include <string>

extern "C"
{
#include <libcometspindle/bundle.h>
}

/** Returns the text of a bundle with teams a and b, four tiers, model m and n endpoints. */
std::string
fixture_bundle_text(unsigned int version, unsigned int endpoints);

/** Returns the parsed bundle of fixture_bundle_text(). */
struct comet_bundle *
fixture_bundle(unsigned int version, unsigned int endpoints);

#endif
