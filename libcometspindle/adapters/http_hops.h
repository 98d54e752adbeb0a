/*
 * http_hops.h
 * the headers of a head that concern one connection only
 *
 * The work is proportional to the bytes of the head, however its Connection headers are made up.
 */
#ifndef COMETSPINDLE_ADAPTERS_HTTP_HOPS_H
#define COMETSPINDLE_ADAPTERS_HTTP_HOPS_H

#include <libcometspindle/adapters/http_reader.h>

struct comet_http_hops;

/** Reads the Connection headers of a head. Freed with its parent. */
struct comet_http_hops *
comet_http_hops_create(void *parent, const struct comet_http_head *head);

/** @return whether a header of this name, in any case, is not to be passed on. */
bool
comet_http_hops_contain(const struct comet_http_hops *hops, const char *name);

#endif
