/*
 * statements.h
 * what incarnations of endpoints have stated, kept while the directory does not list them
 *
 * An entry may be missing or unreadable for a while, although its process runs on.
 */
#ifndef COMETSPINDLE_GATEWAY_STATEMENTS_H
#define COMETSPINDLE_GATEWAY_STATEMENTS_H

#include <libcometspindle/gateway/endpoints/instance.h>
#include <stddef.h>
#include <stdint.h>

/** Incarnations that are kept at most; further ones are forgotten with their entries. */
#define COMET_STATEMENTS_MAX 4096

struct comet_statements;

struct comet_statements *
comet_statements_create(void *parent);

/** Keeps what an instance has stated, before it is removed. */
void
comet_statements_keep(struct comet_statements *statements, const struct comet_instance *instance);

/** Applies what the same incarnation has stated to an instance that is listed again. */
void
comet_statements_apply(struct comet_statements *statements, struct comet_instance *instance);

/** Forgets what no longer matters. @param max_age_us time after which a process that leaves has
 * ended */
void
comet_statements_expire(struct comet_statements *statements, uint64_t max_age_us, uint64_t now_us);

#endif
