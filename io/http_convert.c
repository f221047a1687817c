#include "io/http_convert.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core/text.h"

#define HTTP_CONTINUE 100

static const struct {
	const char *name;
	enum evhttp_cmd_type type;
} methods[] = {
	{"GET", EVHTTP_REQ_GET},	 {"HEAD", EVHTTP_REQ_HEAD},
	{"POST", EVHTTP_REQ_POST},	 {"PUT", EVHTTP_REQ_PUT},
	{"DELETE", EVHTTP_REQ_DELETE},	 {"PATCH", EVHTTP_REQ_PATCH},
	{"OPTIONS", EVHTTP_REQ_OPTIONS},
};

/* Hop-by-hop headers, and those that are set anew on each hop. */
static const char *const hop_headers[] = {
	"Connection", "Keep-Alive",	   "Proxy-Connection",
	"TE",	      "Transfer-Encoding", "Content-Length",
	"Upgrade",    "Trailer",	   "Host",
	"Expect",
};

static bool is_hop_header(const char *name)
{
	const size_t n = sizeof(hop_headers) / sizeof(*hop_headers);

	for (size_t i = 0; i < n; i++)
		if (!strcasecmp(hop_headers[i], name))
			return true;
	return false;
}

/* True if the Connection header lists @name as a hop-by-hop header. */
static bool is_listed_in_connection(struct evhttp_request *req,
				    const char *name)
{
	const char *p = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Connection");
	size_t len = strlen(name);

	while (p && *p) {
		size_t part;

		p += strspn(p, ", \t");
		part = strcspn(p, ", \t");
		if (part == len && !strncasecmp(p, name, len))
			return true;
		p += part;
	}
	return false;
}

static void payload_from_evhttp(struct payload *p, struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	struct evkeyval *kv;

	for (kv = evhttp_request_get_input_headers(req)->tqh_first; kv;
	     kv = kv->next.tqe_next)
		if (!is_hop_header(kv->key) &&
		    !is_listed_in_connection(req, kv->key))
			payload_add_header(p, kv->key,
					   kv->value +
						   strspn(kv->value, " \t"));
	payload_set_body(p, len ? evbuffer_pullup(in, -1) : NULL, len);
	evbuffer_drain(in, len); /* the payload has its copy */
}

bool http_method_to_evhttp(const char *name, enum evhttp_cmd_type *type)
{
	for (size_t i = 0; i < sizeof(methods) / sizeof(*methods); i++) {
		if (strcmp(methods[i].name, name) != 0)
			continue;
		*type = methods[i].type;
		return true;
	}
	return false;
}

struct http_request *http_request_from_evhttp(struct evhttp_request *req)
{
	enum evhttp_cmd_type type = evhttp_request_get_command(req);

	for (size_t i = 0; i < sizeof(methods) / sizeof(*methods); i++) {
		struct http_request *r;
		char *target;

		if (methods[i].type != type)
			continue;
		target = http_target_path(evhttp_request_get_uri(req));
		r = http_request_new(methods[i].name, target);
		free(target);
		payload_from_evhttp(&r->payload, req);
		return r;
	}
	return NULL;
}

struct http_answer *http_answer_from_evhttp(struct evhttp_request *req)
{
	struct http_answer *a =
		http_answer_new(evhttp_request_get_response_code(req));

	payload_from_evhttp(&a->payload, req);
	return a;
}

/*
 * False if evhttp would take the body for empty, because of a Connection header
 * other than "close", or would return the framing of a transfer coding.
 */
static bool is_body_length_known(struct evhttp_request *req)
{
	const struct evkeyvalq *h = evhttp_request_get_input_headers(req);
	const char *coding = evhttp_find_header(h, "Transfer-Encoding");
	const char *connection = evhttp_find_header(h, "Connection");
	int code = evhttp_request_get_response_code(req);

	if (evhttp_request_get_command(req) == EVHTTP_REQ_HEAD ||
	    code == HTTP_NOCONTENT || code == HTTP_NOTMODIFIED)
		return true;
	if (coding)
		return !strcasecmp(coding, "chunked");
	return evhttp_find_header(h, "Content-Length") || !connection ||
	       !strcasecmp(connection, "close");
}

bool http_check_answer_head(struct evhttp_request *req)
{
	int code = evhttp_request_get_response_code(req);

	if (code == HTTP_CONTINUE) {
		evhttp_clear_headers(evhttp_request_get_input_headers(req));
		return true;
	}
	return http_status_is_final(code) && is_body_length_known(req);
}

void payload_to_evhttp(const struct payload *p, struct evhttp_request *req)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	const struct header *h;

	list_for_each_entry(h, &p->headers, link)
		if (!is_hop_header(h->name))
			evhttp_add_header(out, h->name, h->value);
	if (p->body_len)
		evbuffer_add(evhttp_request_get_output_buffer(req), p->body,
			     p->body_len);
}
