/*
 * event_stream.h
 * splits a stream of server-sent events into complete events
 *
 * A client never receives part of an event: an event that a broken endpoint left
 * unfinished is dropped, and another endpoint can resume after the last complete one.
 * The exception is an event that is too large to buffer. It is passed on in parts,
 * and the stream cannot be resumed within it.
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

/** Appends bytes. @return the number of bytes that can be passed on: complete events, or parts of a
 * large one. */
size_t
comet_event_stream_add(struct comet_event_stream *stream, const char *data, size_t length);

/** @return the bytes that can be passed on. */
const char *
comet_event_stream_ready(const struct comet_event_stream *stream);

/** Removes the bytes that can be passed on, and records the last event id in them. */
void
comet_event_stream_consume(struct comet_event_stream *stream);

/** Discards an unfinished event; the next bytes come from another endpoint or attempt. @return the
 * number of bytes discarded. */
size_t
comet_event_stream_restart(struct comet_event_stream *stream);

/** @return the number of buffered bytes of an unfinished event. */
size_t
comet_event_stream_unfinished(const struct comet_event_stream *stream);

/** @return the event id after which another endpoint can resume, or NULL if there is none. */
const char *
comet_event_stream_last_id(const struct comet_event_stream *stream);

/** @return the number of complete events so far. */
uint32_t
comet_event_stream_count(const struct comet_event_stream *stream);

#endif
