#include "core/http.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core/mem.h"
#include "core/text.h"

#define INTERIM_STATUS_MIN  100
#define SWITCHING_PROTOCOLS 101
#define FINAL_STATUS_MIN    200
#define FINAL_STATUS_MAX    599

void payload_init(struct payload *p)
{
	list_init(&p->headers);
	p->body_len = 0;
	p->body = NULL;
}

static void header_delete(struct header *h)
{
	list_remove(&h->link);
	free(h->name);
	free(h->value);
	free(h);
}

void payload_remove_headers(struct payload *p, const char *prefix)
{
	struct header *h, *tmp;

	list_for_each_entry_safe(h, tmp, &p->headers, link)
		if (!strncasecmp(h->name, prefix, strlen(prefix)))
			header_delete(h);
}

void payload_drop_header(struct payload *p, const char *name)
{
	struct header *h, *tmp;

	list_for_each_entry_safe(h, tmp, &p->headers, link)
		if (!strcasecmp(h->name, name))
			header_delete(h);
}

void payload_done(struct payload *p)
{
	struct header *h, *tmp;

	list_for_each_entry_safe(h, tmp, &p->headers, link)
		header_delete(h);
	free(p->body);
	p->body = NULL;
	p->body_len = 0;
}

void payload_add_header(struct payload *p, const char *name, const char *value)
{
	struct header *h = mem_new(struct header);

	h->name = mem_dup(name, strlen(name));
	h->value = mem_dup(value, strlen(value));
	list_push_back(&p->headers, &h->link);
}

const char *payload_header(const struct payload *p, const char *name)
{
	const struct header *h;

	list_for_each_entry(h, &p->headers, link)
		if (!strcasecmp(h->name, name))
			return h->value;
	return NULL;
}

void payload_set_body(struct payload *p, const void *body, size_t len)
{
	free(p->body);
	p->body = mem_dup(body, len);
	p->body_len = len;
}

void payload_copy(struct payload *to, const struct payload *from)
{
	const struct header *h;

	list_for_each_entry(h, &from->headers, link)
		payload_add_header(to, h->name, h->value);
	payload_set_body(to, from->body, from->body_len);
}

const char *http_target_authority(const char *target)
{
	static const char *const schemes[] = {"http://", "https://"};

	for (size_t i = 0; i < sizeof(schemes) / sizeof(*schemes); i++)
		if (!strncasecmp(target, schemes[i], strlen(schemes[i])))
			return target + strlen(schemes[i]);
	return NULL;
}

char *http_target_path(const char *target)
{
	const char *path = http_target_authority(target);

	if (!path)
		return text_new("%s", target);
	path += strcspn(path, "/?#");
	return text_new("%s%s", *path == '/' ? "" : "/", path);
}

struct http_request *http_request_new(const char *method, const char *target)
{
	struct http_request *r = mem_new(struct http_request);

	r->refs = 1;
	mem_copy_str(r->method, method, sizeof(r->method));
	r->target = mem_dup(target, strlen(target));
	payload_init(&r->payload);
	return r;
}

void http_request_unref(struct http_request *r)
{
	if (!r || --r->refs)
		return;
	payload_done(&r->payload);
	free(r->target);
	free(r);
}

struct http_request *http_request_ref(struct http_request *r)
{
	r->refs++;
	return r;
}

bool http_is_token_char(char c)
{
	return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
	       (c >= 'a' && c <= 'z') ||
	       (c && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

bool http_is_token(const char *name)
{
	const char *p = name;

	while (http_is_token_char(*p))
		p++;
	return p > name && !*p;
}

bool http_status_is_final(int code)
{
	return code >= FINAL_STATUS_MIN && code <= FINAL_STATUS_MAX;
}

bool http_status_is_interim(int code)
{
	return code >= INTERIM_STATUS_MIN && code < FINAL_STATUS_MIN &&
	       code != SWITCHING_PROTOCOLS;
}

struct http_answer *http_answer_new(int code)
{
	struct http_answer *a = mem_new(struct http_answer);

	a->code = code;
	payload_init(&a->payload);
	return a;
}

void http_answer_delete(struct http_answer *a)
{
	if (!a)
		return;
	payload_done(&a->payload);
	free(a);
}

bool http_answer_is_valid(const struct http_answer *a)
{
	const struct header *h;

	list_for_each_entry(h, &a->payload.headers, link)
		if (!http_is_token(h->name))
			return false;
	return http_status_is_final(a->code);
}

struct http_answer *http_answer_copy(const struct http_answer *a)
{
	struct http_answer *c = http_answer_new(a->code);

	payload_copy(&c->payload, &a->payload);
	return c;
}
