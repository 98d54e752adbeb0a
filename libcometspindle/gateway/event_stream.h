/*
 * event_stream.h
 * cuts a stream of server-sent events into whole events
 *
 * A reader of ours never sees part of an event: what a broken endpoint left
 * unfinished is dropped, and another may go on after the last whole one. One that
 * is too large to be held is passed on in parts, and none goes on after these.
 */
#ifndef COMETSPINDLE_GATEWAY_EVENT_STREAM_H
#define COMETSPINDLE_GATEWAY_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct comet_event_stream;

struct comet_event_stream *
comet_event_stream_create(void *parent);

/** Adds bytes. @return the length of what lies ready: whole events, or parts of a large one. */
size_t
comet_event_stream_add(struct comet_event_stream *stream, const char *data, size_t length);

/** What lies ready. */
const char *
comet_event_stream_ready(const struct comet_event_stream *stream);

/** Removes it; takes over the last id. */
void
comet_event_stream_consume(struct comet_event_stream *stream);

/** Forgets an unfinished event; what comes next is from another run. @return its bytes. */
size_t
comet_event_stream_restart(struct comet_event_stream *stream);

/** @return bytes of an unfinished event that lie here. */
size_t
comet_event_stream_unfinished(const struct comet_event_stream *stream);

/** Id after which another endpoint may go on; NULL when there is none. */
const char *
comet_event_stream_last_id(const struct comet_event_stream *stream);

/** Events taken so far. */
uint32_t
comet_event_stream_count(const struct comet_event_stream *stream);

#endif
