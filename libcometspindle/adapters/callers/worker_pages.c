/*
 * worker_pages.c
 * the pages that are read from the published view
 */
#include <libcometspindle/adapters/callers/worker_private.h>

#include <libcometspindle/log.h>
#include <string.h>

#define JSON "application/json"
#define TEXT "text/plain; charset=utf-8"
/* Prometheus' text format. */
#define METRICS "text/plain; version=0.0.4"

static enum MHD_Result
answer_text(
	struct MHD_Connection *connection, unsigned int status, const char *type, const char *body)
{
	return comet_http_respond(connection, status, type, body, strlen(body));
}

static enum MHD_Result
answer_ready(struct MHD_Connection *connection, const struct comet_state_snapshot *view)
{
	if (view == NULL)
		return answer_text(connection, MHD_HTTP_SERVICE_UNAVAILABLE, TEXT, "starting\n");
	if (view->not_ready != NULL)
		return answer_text(connection, MHD_HTTP_SERVICE_UNAVAILABLE, TEXT, view->not_ready);
	return answer_text(connection, MHD_HTTP_OK, TEXT, "ready\n");
}

static enum MHD_Result
answer_view(struct MHD_Connection *connection, const char *type, const char *body)
{
	if (body == NULL)
		return answer_text(connection, MHD_HTTP_SERVICE_UNAVAILABLE, TEXT, "starting\n");
	return answer_text(connection, MHD_HTTP_OK, type, body);
}

enum MHD_Result
comet_worker_respond_page(
	struct comet_worker *worker, struct MHD_Connection *connection, const char *url)
{
	struct comet_state_snapshot *view =
		comet_state_snapshot_acquire(worker->config.snapshot_publisher);
	enum MHD_Result result = MHD_NO;

	if (strcmp(url, "/healthz") == 0)
		result = answer_text(connection, MHD_HTTP_OK, TEXT, "ok\n");
	else if (strcmp(url, "/readyz") == 0)
		result = answer_ready(connection, view);
	else if (strcmp(url, "/v1/entries") == 0)
		result = answer_view(connection, JSON, view != NULL ? view->entries : NULL);
	else if (strcmp(url, "/status") == 0)
		result = answer_view(connection, JSON, view != NULL ? view->status : NULL);
	else if (strcmp(url, "/metrics") == 0)
		result = answer_view(connection, METRICS, view != NULL ? view->metrics : NULL);
	else
		result = answer_text(connection, MHD_HTTP_NOT_FOUND, JSON,
			"{\"error\":{\"code\":\"not_found\",\"message\":\"there is nothing at this "
			"path\","
			"\"verdict\":\"not_run\"}}\n");
	comet_state_snapshot_release(view);
	return result;
}
