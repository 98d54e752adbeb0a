/*
 * forward_head.c
 * the head of a caller's request as an endpoint gets it
 */
#include <libcometspindle/adapters/gateway/forward_head.h>

#include <strings.h>

/* Does a caller's header go on to the endpoint? */
static bool
passes(const struct comet_http_head *head, const char *name, const struct comet_header_names *names,
	const struct comet_forward_params *forward)
{
	if (comet_header_is_reserved(names, name))
		return false;
	if (forward->team != NULL && strcasecmp(name, names->authorization) == 0)
		return false;
	if (forward->last_event != NULL && strcasecmp(name, names->last_event) == 0)
		return false;
	/* The id names the request along its whole way, whatever its caller says of connections. */
	return strcasecmp(name, names->request_id) == 0 || !comet_http_head_hop_by_hop(head, name);
}

void
comet_forward_write_head(GString *out, const struct comet_http_head *head,
	const struct comet_header_names *names, const struct comet_forward_params *forward)
{
	g_string_append_printf(out, "%s %s HTTP/1.1\r\n", head->method, head->target);
	for (size_t i = 0; i < head->n_headers; i++)
	{
		const struct comet_http_header *header = &head->headers[i];
		if (passes(head, header->name, names, forward))
			comet_http_write_header(out, header->name, header->value);
	}
	g_string_append_printf(
		out, "%s: %" G_GUINT64_FORMAT "\r\n", names->deadline_ms, forward->left_ms);
	comet_http_write_header(out, names->expect_instance, forward->instance);
	if (forward->team != NULL)
		comet_http_write_header(out, names->team, forward->team);
	if (forward->last_event != NULL)
		comet_http_write_header(out, names->last_event, forward->last_event);
	if (forward->body_bytes > 0 || head->has_body)
		g_string_append_printf(out, "Content-Length: %zu\r\n", forward->body_bytes);
	g_string_append(out, "\r\n");
}
