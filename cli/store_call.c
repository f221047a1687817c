#include "cli/store_call.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "cli/http_call.h"
#include "io/base64.h"
#include "io/store_client.h"
#include "wire/codec.h"

#define STORE_TIMEOUT_MS 3000
#define KEY_MAX_BYTES	 96

static json_t *call(const char *addr, const char *path, json_t *in,
		    struct status *st)
{
	char *body = json_dumps(in, JSON_COMPACT);
	char *text = http_call(addr, path, body, STORE_TIMEOUT_MS, st);
	json_t *out = text ? json_loads(text, 0, NULL) : NULL;

	json_decref(in);
	free(body);
	if (text && !out)
		status_set(st, STATUS_UNKNOWN,
			   "%s did not answer with valid JSON", addr);
	free(text);
	return out;
}

/*
 * The document in an item of the store's answer; one without a value gives an
 * absent document. NULL with a status for an invalid item.
 */
static struct doc *doc_from_item(json_t *item, const struct doc_key *key,
				 struct status *st)
{
	const char *value = json_string_value(json_object_get(item, "value"));
	struct doc *d = NULL;

	if (value) {
		size_t len = 0;
		unsigned char *data = base64_decode(value, &len);

		if (data)
			d = wire_decode_doc(key, data, len, st);
		else
			status_set(st, STATUS_INVALID,
				   "a value is not valid base64");
		free(data);
	} else {
		d = doc_new(key->kind, key->name);
	}
	if (d)
		d->revision = (revision_t)json_integer_value(
			json_object_get(item, "revision"));
	return d;
}

struct doc *store_call_get(const char *addr, const struct doc_key *key,
			   struct status *st)
{
	char name[KEY_MAX_BYTES];
	struct doc *d;
	json_t *out;

	store_key(key, name, sizeof(name));
	out = call(addr, "/v1/get", json_pack("{s:s}", "key", name), st);
	if (!out)
		return NULL;
	d = doc_from_item(json_array_get(json_object_get(out, "items"), 0), key,
			  st);
	json_decref(out);
	return d;
}

enum status_code store_call_read_all(const char *addr, struct view *v,
				     struct status *st)
{
	json_t *out = call(addr, "/v1/list",
			   json_pack("{s:s}", "key", STORE_WATCH_PREFIX), st);
	json_t *item;
	size_t i;

	if (!out)
		return st->code;
	status_set(st, STATUS_OK, "read");
	json_array_foreach(json_object_get(out, "items"), i, item)
	{
		const char *name =
			json_string_value(json_object_get(item, "key"));
		struct doc_key key = {0};
		struct doc *d = NULL;

		if (name && store_key_parse(name, &key))
			d = doc_from_item(item, &key, st);
		if (d)
			view_apply(v, d);
	}
	json_decref(out);
	return st->code;
}

enum status_code store_call_cas(const char *addr, struct doc *d,
				struct status *st)
{
	char name[KEY_MAX_BYTES];
	struct wire_buf b;
	char *value;
	json_t *out;

	store_key(&d->key, name, sizeof(name));
	wire_encode_doc(d, &b);
	value = base64_encode(b.data, b.len);
	out = call(addr, "/v1/cas",
		   json_pack("{s:s,s:I,s:s}", "key", name, "revision",
			     (json_int_t)d->revision, "value", value),
		   st);
	free(value);
	free(b.data);
	if (!out)
		return st->code;
	if (json_is_true(json_object_get(out, "ok"))) {
		d->revision = (revision_t)json_integer_value(
			json_object_get(out, "revision"));
		status_set(st, STATUS_OK, "written");
	} else {
		status_set(st, STATUS_CONFLICT,
			   "the store has a newer revision");
	}
	json_decref(out);
	return st->code;
}
