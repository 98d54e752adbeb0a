/*
 * forward_head.c
 * writes the request head that is forwarded to an endpoint
 */
#include <libcometspindle/adapters/gateway/forward_head.h>

#include <libcometspindle/adapters/http_hops.h>
#include <strings.h>
#include <talloc.h>

/* Returns whether a header of the caller's request is forwarded to the endpoint. */
static bool
should_forward(const struct comet_http_hops *hops, const char *name,
	const struct comet_header_names *names, const struct comet_forward_params *params)
{
	if (comet_header_is_reserved(names, name) ||
		strcasecmp(name, COMET_HEADER_THROUGH_VM) == 0 ||
		strcasecmp(name, COMET_HEADER_STREAM_VERSION) == 0)
		return false;
	if (params->team != NULL && strcasecmp(name, names->authorization) == 0)
		return false;
	if (params->last_event != NULL && strcasecmp(name, names->last_event) == 0)
		return false;
	/* The request id is forwarded even if the caller's Connection header lists it as
	 * hop-by-hop, because it identifies the request end to end. */
	return strcasecmp(name, names->request_id) == 0 || !comet_http_hops_contain(hops, name);
}

uint32_t
comet_forward_read_version(const struct comet_http_head *head)
{
	const char *text = comet_http_head_get(head, COMET_HEADER_STREAM_VERSION);

	return text != NULL ? comet_header_parse_stream_version(text) : 0;
}

void
comet_forward_write_head(GString *out, const struct comet_http_head *head,
	const struct comet_header_names *names, const struct comet_forward_params *params)
{
	struct comet_http_hops *hops = comet_http_hops_create(NULL, head);
	struct comet_http_header header = {0};

	g_string_append_printf(out, "%s %s HTTP/1.1\r\n", head->method, head->target);
	while (comet_http_head_next(head, &header))
	{
		if (should_forward(hops, header.name, names, params))
			comet_http_write_header(out, header.name, header.value);
	}
	talloc_free(hops);
	g_string_append_printf(
		out, "%s: %" G_GUINT64_FORMAT "\r\n", names->deadline_ms, params->remaining_ms);
	if (params->to_peer)
	{
		comet_http_write_header(out, COMET_HEADER_THROUGH_VM, "1");
		comet_http_write_header(out, "Connection", "close");
		if (params->version_id != 0)
			g_string_append_printf(out, "%s: %08x\r\n", COMET_HEADER_STREAM_VERSION,
				params->version_id);
	}
	else
		comet_http_write_header(out, names->expect_instance, params->instance);
	if (params->team != NULL)
		comet_http_write_header(out, names->team, params->team);
	if (params->last_event != NULL)
		comet_http_write_header(out, names->last_event, params->last_event);
	if (params->body_bytes > 0 || head->has_body)
		g_string_append_printf(out, "Content-Length: %zu\r\n", params->body_bytes);
	g_string_append(out, "\r\n");
}
