#include "fakes/doc_store.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "io/base64.h"
#include "io/store_client.h"
#include "wire/codec.h"

#define KEY_MAX_BYTES 96

void doc_store_init(struct doc_store *s)
{
	store_state_init(&s->state);
}

void doc_store_done(struct doc_store *s)
{
	store_state_done(&s->state);
}

static bool has_prefix(const struct store_item *it, const char *prefix)
{
	return !strncmp(it->key, prefix, strlen(prefix));
}

bool doc_store_has_changes(const struct doc_store *s, revision_t since)
{
	const struct list *l = s->state.items.prev;

	for (; l != &s->state.items; l = l->prev) {
		const struct store_item *it =
			list_entry(l, struct store_item, link);

		if (it->revision <= since)
			return false;
		if (has_prefix(it, STORE_WATCH_PREFIX))
			return true;
	}
	return false;
}

static struct doc *decode(const struct store_item *it)
{
	struct doc_key key = {0};
	unsigned char *data;
	struct status st;
	struct doc *d;
	size_t len = 0;

	if (!store_key_parse(it->key, &key))
		abort();
	if (!it->value) {
		d = doc_new(key.kind, key.name);
	} else {
		data = base64_decode(it->value, &len);
		d = wire_decode_doc(&key, data, len, &st);
		free(data);
	}
	if (!d)
		abort();
	d->revision = it->revision;
	return d;
}

static char *encode(const struct doc *d)
{
	struct wire_buf b;
	char *text;

	if (!d || doc_absent(d))
		return NULL;
	wire_encode_doc(d, &b);
	text = base64_encode(b.data, b.len);
	free(b.data);
	return text;
}

static void add_item(struct ev_store *ev, const struct store_item *it)
{
	struct doc *d = decode(it);

	list_push_back(&ev->docs, &d->link);
}

static void add_changes(struct doc_store *s, const char *prefix,
			revision_t since, struct ev_store *ev)
{
	const struct store_item *it;

	/* A listing, from revision 0, leaves removed documents out. */
	list_for_each_entry(it, &s->state.items, link)
		if (it->revision > since && has_prefix(it, prefix) &&
		    (since || it->value))
			add_item(ev, it);
}

static uint64_t lapse_at_ns(const struct act_store *a, uint64_t now_ns)
{
	return a->ttl_ms ? now_ns + a->ttl_ms * NS_PER_MS : 0;
}

static void write_doc(struct doc_store *s, const struct act_store *a,
		      const char *key, uint64_t now_ns, struct ev_store *ev)
{
	char *value = encode(a->doc);
	enum store_result r = store_state_cas(&s->state, key, a->revision,
					      value, lapse_at_ns(a, now_ns));
	const struct store_item *it = store_state_find(&s->state, key);

	free(value);
	s->state.writes++;
	if (r != STORE_WRITTEN)
		ev->status = STATUS_CONFLICT;
	if (it)
		add_item(ev, it);
}

static void renew_doc(struct doc_store *s, const struct act_store *a,
		      const char *key, uint64_t now_ns, struct ev_store *ev)
{
	const struct store_item *it = store_state_find(&s->state, key);

	s->state.writes++;
	if (store_state_renew(&s->state, key, a->revision,
			      lapse_at_ns(a, now_ns)) == STORE_WRITTEN)
		return;
	ev->status = STATUS_CONFLICT;
	if (it)
		add_item(ev, it);
}

void doc_store_call(struct doc_store *s, const struct act_store *a,
		    uint64_t now_ns, struct ev_store *ev)
{
	const struct store_item *it;
	char key[KEY_MAX_BYTES];

	memset(ev, 0, sizeof(*ev));
	list_init(&ev->docs);
	ev->op = a->op;
	ev->status = STATUS_OK;
	store_state_lapse(&s->state, now_ns);
	store_key(&a->key, key, sizeof(key));
	switch (a->kind) {
	case STORE_GET:
		s->state.reads++;
		it = store_state_find(&s->state, key);
		if (it)
			add_item(ev, it);
		break;
	case STORE_LIST:
		s->state.reads++;
		add_changes(s, key, 0, ev);
		break;
	case STORE_CAS:
		write_doc(s, a, key, now_ns, ev);
		break;
	case STORE_RENEW:
		renew_doc(s, a, key, now_ns, ev);
		break;
	case STORE_WATCH:
		s->state.watches++;
		add_changes(s, STORE_WATCH_PREFIX, a->revision, ev);
		break;
	}
	ev->revision = s->state.now;
}

struct doc *doc_store_read(struct doc_store *s, enum doc_kind kind,
			   const char *name)
{
	struct doc_key dk = {.kind = kind};
	const struct store_item *it;
	char key[KEY_MAX_BYTES];

	mem_copy_str(dk.name, name, sizeof(dk.name));
	store_key(&dk, key, sizeof(key));
	it = store_state_find(&s->state, key);
	return it ? decode(it) : NULL;
}
