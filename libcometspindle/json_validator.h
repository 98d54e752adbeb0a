/*
 * json_validator.h
 * reads JSON objects field by field and collects every fault with its path
 */
#ifndef COMETSPINDLE_JSON_VALIDATOR_H
#define COMETSPINDLE_JSON_VALIDATOR_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/** Collects faults while a document is read. */
struct comet_json_validator;

/** One object being read: knows its path and which keys were asked for. */
struct comet_json_validator_object;

struct comet_json_validator *
comet_json_validator_create(void);

void
comet_json_validator_destroy(struct comet_json_validator *check);

/** Adds a fault: "path: rule". */
void
comet_json_validator_fault(struct comet_json_validator *check, const char *path, const char *format,
	...) __attribute__((format(printf, 3, 4)));

/** @return true when no fault was found; else sets error to all of them, one a line. */
bool
comet_json_validator_finish(
	struct comet_json_validator *check, GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** Parses text (comments allowed) to the root object; NULL and error when it is not one. */
struct json_object *
comet_json_validator_parse(
	const char *text, size_t length, GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** Starts reading value as an object; a value of another type is a fault. */
struct comet_json_validator_object *
comet_json_validator_object_begin(
	struct comet_json_validator *check, struct json_object *value, const char *path);

/** Ends it: every key that was never asked for is a fault. */
void
comet_json_validator_object_end(struct comet_json_validator_object *object);

const char *
comet_json_validator_object_path(const struct comet_json_validator_object *object);

/** Reads a string; fallback NULL means it must be there. Points into the document. */
const char *
comet_json_validator_string(
	struct comet_json_validator_object *object, const char *key, const char *fallback);

/** Reads a whole number within [min, max]; fallback < 0 means it must be there. */
int64_t
comet_json_validator_int(struct comet_json_validator_object *object, const char *key, int64_t min,
	int64_t max, int64_t fallback);

/** Reads a number, whole or not, within [min, max]; absent: fallback. */
double
comet_json_validator_number(struct comet_json_validator_object *object, const char *key, double min,
	double max, double fallback);

bool
comet_json_validator_bool(
	struct comet_json_validator_object *object, const char *key, bool fallback);

/** Reads an array (empty and missing alike when optional). @return NULL when absent. */
struct json_object *
comet_json_validator_array(
	struct comet_json_validator_object *object, const char *key, bool required);

/** Reads a member that is itself an object; NULL when absent. */
struct json_object *
comet_json_validator_member(
	struct comet_json_validator_object *object, const char *key, bool required);

#endif
