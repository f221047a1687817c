#include "core/request_key.h"

#include <string.h>

#include "core/mem.h"

static bool copy_part(const char *from, size_t len, char *key, size_t cap)
{
	if (!len || len >= cap)
		return false;
	memcpy(key, from, len);
	key[len] = '\0';
	return true;
}

static bool key_from_path(const char *target, uint32_t segment, char *key,
			  size_t cap)
{
	size_t path_len = strcspn(target, "?");
	const char *end = target + path_len;
	const char *p = target;

	for (uint32_t i = 0;; i++) {
		size_t len;

		if (p >= end || *p != '/')
			return false;
		p++;
		len = strcspn(p, "/?");
		if (i == segment)
			return copy_part(p, len, key, cap);
		p += len;
	}
}

static bool key_from_query(const char *target, const char *name, char *key,
			   size_t cap)
{
	size_t name_len = strlen(name);
	const char *p = strchr(target, '?');

	while (p) {
		p++;
		if (!strncmp(p, name, name_len) && p[name_len] == '=') {
			p += name_len + 1;
			return copy_part(p, strcspn(p, "&"), key, cap);
		}
		p = strchr(p, '&');
	}
	return false;
}

bool request_key(const struct http_request *r, const struct key_rule *rule,
		 char *key, size_t cap)
{
	const char *value;

	switch (rule->source) {
	case KEY_HEADER:
		value = payload_header(&r->payload, rule->name);
		return value && copy_part(value, strlen(value), key, cap);
	case KEY_QUERY:
		return key_from_query(r->target, rule->name, key, cap);
	case KEY_PATH:
		return key_from_path(r->target, rule->segment, key, cap);
	}
	return false;
}

bool request_deadline(const struct http_request *r, uint64_t *ms)
{
	const char *p = payload_header(&r->payload, HEADER_DEADLINE_MS);

	*ms = 0;
	if (!p)
		return true;
	for (; *p >= '0' && *p <= '9'; p++) {
		*ms = *ms * 10 + (uint64_t)(*p - '0');
		if (*ms > DEADLINE_MAX_MS)
			return false;
	}
	return !*p && *ms;
}

void request_strip_reserved_headers(struct http_request *r)
{
	payload_remove_headers(&r->payload, "X-Jackdaw-");
	payload_remove_headers(&r->payload, "X-Request-Id");
	payload_remove_headers(&r->payload, "X-Deadline-Ms");
	payload_remove_headers(&r->payload, "X-Fence");
}

void answer_strip_reserved_headers(struct http_answer *a)
{
	payload_remove_headers(&a->payload, "X-Jackdaw-");
}
