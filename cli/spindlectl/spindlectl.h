/*
 * spindlectl.h
 * the operators' tool: subcommands and their exit codes
 */
#ifndef COMETSPINDLE_CLI_SPINDLECTL_H
#define COMETSPINDLE_CLI_SPINDLECTL_H

#include <glib.h>
#include <json-c/json.h>

#define PROGRAM "spindlectl"

/** Exit codes, as the man page lists them. */
enum spindlectl_exit
{
	SPINDLECTL_OK = 0,
	SPINDLECTL_FAILED = 1,  /**< the thing looked at is not good, or cannot be read */
	SPINDLECTL_USAGE = 2,   /**< the command line is wrong */
	SPINDLECTL_DIFFERS = 3, /**< bundle diff: the two differ */
};

/** argv[0] is the last word of the subcommand's name. */
int
spindlectl_bundle_check(int argc, char **argv);
int
spindlectl_bundle_sign(int argc, char **argv);
int
spindlectl_bundle_verify(int argc, char **argv);
int
spindlectl_bundle_diff(int argc, char **argv);
int
spindlectl_key_bundle(int argc, char **argv);
int
spindlectl_key_peer(int argc, char **argv);
int
spindlectl_key_hash(int argc, char **argv);
int
spindlectl_settings_check(int argc, char **argv);
int
spindlectl_status(int argc, char **argv);
int
spindlectl_explain(int argc, char **argv);
int
spindlectl_trace(int argc, char **argv);

/** Prints "program: place: message" and frees the error. */
int
spindlectl_fail(const char *place, GError *error);

/** GETs a page; NULL and error when it cannot be had. */
char *
spindlectl_fetch(const char *url, GError **error);

/**
 * Parses a subcommand's arguments: --json, --help and 1 or more operands
 * (exactly wanted of them when wanted > 0).
 * @return FALSE when the command is over, with *result as its exit code.
 */
gboolean
spindlectl_arguments(int argc, char **argv, const char *operand, int wanted, int at_least,
	gboolean *json, char ***operands, int *result);

#endif
