/*
 * curl_loop.h
 * runs libcurl's multi interface on a tevent loop
 */
#ifndef COMETSPINDLE_ADAPTERS_CURL_LOOP_H
#define COMETSPINDLE_ADAPTERS_CURL_LOOP_H

#include <curl/curl.h>
#include <tevent.h>

struct comet_curl_loop;

/** A transfer ended; the handle is out of the loop and the callee's to clean up or reuse. */
typedef void (*comet_curl_done)(void *ctx, CURL *easy, CURLcode result);

struct comet_curl_loop *
comet_curl_loop_create(void *parent, struct tevent_context *ev);

/** Starts a transfer. */
void
comet_curl_loop_add(struct comet_curl_loop *loop, CURL *easy, comet_curl_done done, void *ctx);

/** Takes a transfer out; done is not called. Not from within a callback of libcurl. */
void
comet_curl_loop_remove(struct comet_curl_loop *loop, CURL *easy);

#endif
