/*
 * service.c
 * stand-in plain services: every call takes a while, and is noted in the file of runs
 */
#include "standin.h"

#include <glib.h>
#include <libcometspindle/adapters/clock.h>
#include <libcometspindle/adapters/callers/http_loop.h>
#include <string.h>

struct service
{
	struct tevent_context *ev;
	char *name;
	uint64_t delay_us;
	struct comet_http_loop *http;
};

struct visit
{
	struct service *service;
	struct MHD_Connection *connection; /* NULL: the caller left */
	GString *body;
	bool ready;
	bool waiting;
};

static void
on_ready(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
	struct visit *visit = data;

	(void)ev;
	(void)timer;
	(void)now;
	visit->waiting = false;
	visit->ready = true;
	comet_http_loop_resume(visit->service->http, visit->connection);
}

static enum MHD_Result
answer(struct visit *visit, struct MHD_Connection *connection, const char *url)
{
	const char *id = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Request-Id");
	char *text =
		g_strdup_printf("{\"service\":\"%s\",\"path\":\"%s\",\"id\":\"%s\",\"echo\":%s}",
			visit->service->name, url, id != NULL ? id : "",
			visit->body->len > 0 ? visit->body->str : "null");
	enum MHD_Result result =
		comet_http_respond(connection, MHD_HTTP_OK, "application/json", text, strlen(text));

	g_free(text);
	return result;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *connection, const char *url, const char *method,
	const char *version, const char *data, size_t *length, void **request_ctx)
{
	struct service *service = ctx;
	struct visit *visit = *request_ctx;
	const char *id = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Request-Id");

	(void)method;
	(void)version;
	if (visit == NULL)
	{
		visit = g_new0(struct visit, 1);
		visit->service = service;
		visit->connection = connection;
		visit->body = g_string_new(NULL);
		*request_ctx = visit;
		return MHD_YES;
	}
	if (*length > 0)
	{
		g_string_append_len(visit->body, data, (gssize)*length);
		*length = 0;
		return MHD_YES;
	}
	if (visit->ready)
		return answer(visit, connection, url);
	standin_note_run(id != NULL ? id : "?", service->name);
	visit->waiting = true;
	MHD_suspend_connection(connection);
	tevent_add_timer(
		service->ev, service->ev, comet_clock_after(service->delay_us), on_ready, visit);
	return MHD_YES;
}

static void
on_completed(void *ctx, struct MHD_Connection *connection, void **request_ctx,
	enum MHD_RequestTerminationCode code)
{
	struct visit *visit = *request_ctx;

	(void)ctx;
	(void)connection;
	(void)code;
	if (visit == NULL)
		return;
	g_string_free(visit->body, TRUE);
	g_free(visit);
	*request_ctx = NULL;
}

static bool
service_start(struct tevent_context *ev, struct json_object *config)
{
	struct service *service = g_new0(struct service, 1);
	struct comet_http_config http = {
		.address = standin_string(config, "address", "127.0.0.1"),
		.port = (uint16_t)standin_int(config, "port", 0),
		.max_connections = 1000,
		.on_request = on_request,
		.on_completed = on_completed,
		.ctx = service,
	};

	service->ev = ev;
	service->name = g_strdup(standin_string(config, "name", "service"));
	service->delay_us = (uint64_t)standin_int(config, "delay_ms", 5) * 1000;
	service->http = comet_http_loop_create(ev, ev, &http);
	if (service->http == NULL)
		g_printerr("service %s: port %u cannot be listened on\n", service->name, http.port);
	return service->http != NULL;
}

bool
standin_services_start(struct tevent_context *ev, struct json_object *config)
{
	struct json_object *list = NULL;

	json_object_object_get_ex(config, "services", &list);
	for (size_t i = 0; list != NULL && i < json_object_array_length(list); i++)
	{
		if (!service_start(ev, json_object_array_get_idx(list, i)))
			return false;
	}
	return true;
}
