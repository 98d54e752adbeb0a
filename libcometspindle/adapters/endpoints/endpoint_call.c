/*
 * endpoint_call.c
 * one dispatch to an endpoint over HTTP, sent at most once and resumed after an interruption
 *
 * Our assumption of the wire form: the answer of an OpenAI-style server. 429
 * and 503 are the documented refusals: the request was not run. A stream ends
 * with "data: [DONE]"; one that was cut goes on at resume_url?offset=BYTES. The
 * answer to that does not say where it begins or of which run it is, so the
 * last bytes that came are asked for once more, and must come first.
 *
 * Every dispatch opens its own connection: libcurl sends a request again by
 * itself when a kept connection turns out dead, and that could run it twice.
 */
#include <libcometspindle/adapters/endpoints/endpoint_call.h>

#include <glib.h>
#include <libcometspindle/adapters/clock.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

#define CONNECT_TIMEOUT_MS 1000L
#define RESUMES_MAX 3
#define WATCH_PERIOD_US 250000ULL
/* A stream is silent after this time without data. */
#define SILENT_US 1000000ULL
/* A stream is reported as slow when its recent speed is below the mean by this factor. */
#define SLOW_FACTOR 2
#define SLOW_EVENTS_MIN 2
#define STREAM_STATUS 200
#define DONE_MARK "data: [DONE]"
#define EVENT_MARK "data:"
/* Last bytes of a stream, by which the done event and the run are recognized. */
#define TAIL_BYTES COMET_STREAM_OVERLAP_BYTES

struct comet_endpoint_call
{
	struct comet_curl_loop *loop;
	struct tevent_context *ev;
	const struct comet_endpoint_events *events;
	void *ctx;
	CURL *easy;
	struct curl_slist *headers;
	char *url;
	char *resume_url;
	char *body;
	char *type; /* of the first answer */
	struct tevent_timer *watch;
	bool running;
	bool streaming;
	bool told_head;
	bool paused;
	bool refused;
	bool is_error; /* a stream was asked for, and an error is the answer */
	bool is_other; /* a resume was answered with another run's bytes */
	bool told_silent;
	uint32_t resumes;
	uint64_t received; /* bytes, with those of earlier connections */
	size_t overlap;    /* of this connection's answer, still to come: the caller has it */
	uint64_t started_us;
	uint64_t ends_us; /* hard end, over all connections */
	uint64_t first_us;
	uint64_t last_us;
	uint32_t n_events;
	uint32_t events_at_watch;
	uint64_t watched_us;
	bool line_start;
	char tail[TAIL_BYTES + 1];
	size_t tail_length;
};

static uint64_t
now_us(void)
{
	return comet_clock_now().mono_us;
}

static void
start(struct comet_endpoint_call *call);

/* Counts events by their lines, also where a line is cut between two parts. */
static void
count_events(struct comet_endpoint_call *call, const char *data, size_t length)
{
	for (size_t i = 0; i < length; i++)
	{
		if (call->line_start && data[i] == EVENT_MARK[0])
			call->n_events++;
		call->line_start = data[i] == '\n';
	}
}

static void
keep_tail(struct comet_endpoint_call *call, const char *data, size_t length)
{
	if (length >= TAIL_BYTES)
	{
		memcpy(call->tail, data + length - TAIL_BYTES, TAIL_BYTES);
		call->tail_length = TAIL_BYTES;
		return;
	}
	size_t keep =
		call->tail_length + length > TAIL_BYTES ? TAIL_BYTES - length : call->tail_length;
	memmove(call->tail, call->tail + call->tail_length - keep, keep);
	memcpy(call->tail + keep, data, length);
	call->tail_length = keep + length;
}

static bool
is_line_end(char byte)
{
	return byte == '\r' || byte == '\n';
}

/* The done event is a line of its own and the last: a token may spell it out within its event. */
static bool
ends_done(const struct comet_endpoint_call *call)
{
	const char *end = call->tail + call->tail_length;
	const char *mark = g_strrstr_len(call->tail, (gssize)call->tail_length, DONE_MARK);

	if (mark == NULL || (mark > call->tail && !is_line_end(mark[-1])))
		return false;
	mark += strlen(DONE_MARK);
	while (mark < end && is_line_end(*mark))
		mark++;
	return mark == end;
}

static const char *
answer_type(const struct comet_endpoint_call *call)
{
	const char *type = NULL;

	curl_easy_getinfo(call->easy, CURLINFO_CONTENT_TYPE, &type);
	return type != NULL ? type : "text/plain";
}

static void
tell_head(struct comet_endpoint_call *call)
{
	long status = 0;

	if (call->told_head)
		return;
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status == 429 || status == 503)
	{
		call->refused = true;
		return;
	}
	call->told_head = true;
	call->is_error = call->streaming && status != STREAM_STATUS;
	if (call->is_error)
		call->overlap = 0; /* the response contains no part of the stream */
	call->type = talloc_strdup(call, answer_type(call));
	call->events->head(call->ctx, (unsigned int)status, call->type);
}

/* A response to a resume continues the stream only if it is of the same run. */
static bool
resume_accepted(const struct comet_endpoint_call *call)
{
	long status = 0;

	if (call->resumes == 0)
		return true;
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	return status == STREAM_STATUS && strcmp(answer_type(call), call->type) == 0;
}

/* @return whether a resumed stream begins with the last bytes received. One that starts over or
 * belongs to another run does not. The bytes of a caller that resumes are unknown here. */
static bool
is_same_run(const struct comet_endpoint_call *call, const char *data, size_t length)
{
	if (call->resumes == 0)
		return true;
	return memcmp(call->tail + call->tail_length - call->overlap, data, length) == 0;
}

static void
take(struct comet_endpoint_call *call, const char *data, size_t length)
{
	uint64_t now = now_us();

	if (call->first_us == 0)
		call->first_us = now;
	call->last_us = now;
	call->told_silent = false;
	call->received += length;
	count_events(call, data, length);
	keep_tail(call, data, length);
}

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct comet_endpoint_call *call = ctx;
	size_t length = size * count;

	tell_head(call);
	size_t known = MIN(call->overlap, length);
	if (call->refused || !resume_accepted(call))
		return length;
	if (!is_same_run(call, data, known))
	{
		call->is_other = true;
		return 0; /* an error to libcurl, which ends the transfer */
	}
	if (length > known && !call->events->data(call->ctx, data + known, length - known))
	{
		call->paused = true;
		return CURL_WRITEFUNC_PAUSE; /* libcurl passes the same part again */
	}
	if (call->resumes == 0)
		keep_tail(call, data, known);
	call->overlap -= known;
	if (length > known)
		take(call, data + known, length - known);
	return length;
}

/* Checks the progress regularly, so that a slowdown is reported while the stream runs. */
static void
on_watch(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
	struct comet_endpoint_call *call = data;
	uint64_t at = now_us();
	uint64_t last = call->last_us != 0 ? call->last_us : call->started_us;
	uint32_t fresh = call->n_events - call->events_at_watch;

	(void)ev;
	(void)timer;
	(void)now;
	if (!call->paused && call->streaming && call->first_us != 0)
	{
		if (at - last > SILENT_US && !call->told_silent)
		{
			call->told_silent = true;
			call->events->slow(call->ctx, 0);
		}
		else if (fresh >= SLOW_EVENTS_MIN && call->n_events > fresh + SLOW_EVENTS_MIN)
		{
			uint64_t step = (at - call->watched_us) / fresh;
			uint64_t before =
				(call->watched_us - call->first_us) / (call->n_events - fresh);
			if (step > before * SLOW_FACTOR)
				call->events->slow(call->ctx, (uint32_t)step);
		}
	}
	call->events_at_watch = call->n_events;
	call->watched_us = at;
	call->watch = tevent_add_timer(
		call->ev, call, comet_clock_after(WATCH_PERIOD_US), on_watch, call);
}

static void
fill_sample(const struct comet_endpoint_call *call, struct comet_sample *sample)
{
	memset(sample, 0, sizeof *sample);
	if (call->first_us == 0)
		return;
	sample->first_token_us = (uint32_t)(call->first_us - call->started_us);
	/* the done event is not a token */
	uint32_t tokens = call->n_events > 0 ? call->n_events - 1 : 0;
	sample->output_tokens = tokens;
	if (tokens > 1)
		sample->step_us = (uint32_t)((call->last_us - call->first_us) / (tokens - 1));
}

/* An error has no done event: it ends with its bytes, and there is no stream to go on with. */
static bool
ended_whole(const struct comet_endpoint_call *call)
{
	if (call->refused)
		return false;
	return !call->streaming || call->is_error || ends_done(call);
}

/* Of the whole call: a resume must not put off its hard end. */
static long
left_ms(const struct comet_endpoint_call *call)
{
	uint64_t now = now_us();

	return now < call->ends_us ? (long)((call->ends_us - now) / 1000) : 0;
}

static bool
can_resume(const struct comet_endpoint_call *call)
{
	return call->streaming && !call->is_error && !call->is_other && call->resume_url != NULL &&
	       call->resumes < RESUMES_MAX && call->told_head && left_ms(call) > 0;
}

static enum comet_outcome
outcome_of(const struct comet_endpoint_call *call, bool whole)
{
	long request_bytes = 0;

	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
	if (call->refused)
		return COMET_OUTCOME_REFUSED;
	if (whole && !call->is_error)
		return COMET_OUTCOME_SERVED;
	if (request_bytes == 0 && call->received == 0 && call->resumes == 0)
		return COMET_OUTCOME_UNREACHED;
	return COMET_OUTCOME_FAILED;
}

static void
log_resume_failed(const struct comet_endpoint_call *call, CURLcode result)
{
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	comet_log(COMET_LOG_NOTICE,
		"event=resume_failed url=%s offset=%" G_GUINT64_FORMAT
		" status=%ld result=%d reason=%s",
		call->resume_url, call->received, status, (int)result,
		call->is_other           ? "other_run"
		: !resume_accepted(call) ? "no_stream"
					 : "cut");
}

static void
on_done(void *ctx, CURL *easy, CURLcode result)
{
	struct comet_endpoint_call *call = ctx;
	struct comet_sample sample;

	(void)easy;
	call->running = false;
	if (result == CURLE_OK)
		tell_head(call);
	bool whole = result == CURLE_OK && ended_whole(call);
	if (!whole && call->resumes > 0)
		log_resume_failed(call, result);
	if (!whole && can_resume(call))
	{
		call->resumes++;
		comet_log(COMET_LOG_NOTICE, "event=resume url=%s offset=%" G_GUINT64_FORMAT,
			call->resume_url, call->received);
		start(call);
		return;
	}
	TALLOC_FREE(call->watch);
	fill_sample(call, &sample);
	call->events->end(call->ctx, outcome_of(call, whole), whole, &sample);
}

static void
start(struct comet_endpoint_call *call)
{
	if (call->resumes > 0)
	{
		call->overlap = call->tail_length;
		char *url = talloc_asprintf(call, "%s?offset=%" G_GUINT64_FORMAT, call->resume_url,
			call->received - call->overlap);
		curl_easy_setopt(call->easy, CURLOPT_HTTPGET, 1L);
		curl_easy_setopt(call->easy, CURLOPT_URL, url);
		/* libcurl takes 0 as no timeout */
		curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, MAX(left_ms(call), 1L));
		talloc_free(url);
	}
	else
		curl_easy_setopt(call->easy, CURLOPT_URL, call->url);
	call->running = true;
	comet_curl_loop_add(call->loop, call->easy, on_done, call);
}

static int
call_destructor(struct comet_endpoint_call *call)
{
	if (call->running)
		comet_curl_loop_remove(call->loop, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	return 0;
}

static void
add_header(struct comet_endpoint_call *call, const char *name, const char *value)
{
	char *line = talloc_asprintf(call, "%s: %s", name, value);

	call->headers = curl_slist_append(call->headers, line);
	talloc_free(line);
}

static void
set_options(struct comet_endpoint_call *call, const struct comet_endpoint_request *request)
{
	CURL *easy = call->easy;

	add_header(call, "Request-Id", request->request_id);
	if (request->body != NULL)
	{
		add_header(call, "Content-Type", request->content_type);
		call->headers = curl_slist_append(call->headers, "Expect:");
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)request->length);
	}
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
}

struct comet_endpoint_call *
comet_endpoint_call_create(void *parent, struct tevent_context *ev, struct comet_curl_loop *loop,
	const struct comet_endpoint_request *request, const struct comet_endpoint_events *events,
	void *ctx)
{
	struct comet_endpoint_call *call = talloc_zero(parent, struct comet_endpoint_call);

	call->loop = loop;
	call->ev = ev;
	call->events = events;
	call->ctx = ctx;
	call->streaming = request->streaming;
	call->overlap = request->overlap;
	call->line_start = true;
	call->url = talloc_strdup(call, request->url);
	call->resume_url = talloc_strdup(call, request->resume_url);
	if (request->body != NULL)
		call->body = talloc_memdup(call, request->body, request->length + 1);
	call->easy = curl_easy_init();
	talloc_set_destructor(call, call_destructor);
	set_options(call, request);
	call->started_us = now_us();
	call->ends_us = call->started_us + request->timeout_ms * 1000;
	call->watched_us = call->started_us;
	call->watch =
		tevent_add_timer(ev, call, comet_clock_after(WATCH_PERIOD_US), on_watch, call);
	start(call);
	return call;
}

void
comet_endpoint_call_resume(struct comet_endpoint_call *call)
{
	if (!call->paused)
		return;
	call->paused = false;
	curl_easy_pause(call->easy, CURLPAUSE_CONT);
}
