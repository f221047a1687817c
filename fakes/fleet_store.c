#include "fakes/fleet_store.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "wire/codec.h"

void fleet_store_init(struct fleet_store *s)
{
	memset(s, 0, sizeof(*s));
	list_init(&s->items);
	s->now = 1;
}

void fleet_store_done(struct fleet_store *s)
{
	struct fleet_item *it, *tmp;

	list_for_each_entry_safe(it, tmp, &s->items, link) {
		free(it->data);
		free(it);
	}
}

static struct fleet_item *find_item(const struct fleet_store *s,
				    const struct doc_key *key)
{
	struct fleet_item *it;

	list_for_each_entry(it, &s->items, link)
		if (doc_key_equal(&it->key, key))
			return it;
	return NULL;
}

const struct fleet_item *fleet_store_find(const struct fleet_store *s,
					  const struct doc_key *key)
{
	return find_item(s, key);
}

struct doc *fleet_item_decode(const struct fleet_item *it)
{
	struct status st;
	struct doc *d;

	if (!it->data)
		d = doc_new(it->key.kind, it->key.name);
	else
		d = wire_decode_doc(&it->key, it->data, it->len, &st);
	if (!d)
		abort();
	d->revision = it->revision;
	return d;
}

static void add_doc(struct ev_store *ev, const struct fleet_item *it)
{
	struct doc *d = fleet_item_decode(it);

	list_push_back(&ev->docs, &d->link);
}

static void put_doc(struct fleet_store *s, struct fleet_item *it,
		    const struct doc *d)
{
	free(it->data);
	it->data = NULL;
	it->len = 0;
	if (d && !doc_absent(d)) {
		struct wire_buf b;

		wire_encode_doc(d, &b);
		it->data = b.data;
		it->len = b.len;
	}
	it->revision = ++s->now;
	list_remove(&it->link);
	list_push_back(&s->items, &it->link);
}

static bool revision_matches(const struct fleet_item *it, revision_t expected)
{
	if (!it)
		return expected == 0;
	return it->revision == expected || (!it->data && !expected);
}

static uint64_t lapse_at_ns(const struct act_store *a, uint64_t now_ns)
{
	return a->ttl_ms ? now_ns + a->ttl_ms * NS_PER_MS : 0;
}

static void cas(struct fleet_store *s, struct act_store *a, uint64_t now_ns,
		struct ev_store *ev)
{
	struct fleet_item *it = find_item(s, &a->key);
	struct doc *d = a->doc;

	s->writes++;
	if (!revision_matches(it, a->revision)) {
		s->conflicts++;
		ev->status = STATUS_CONFLICT;
		if (it)
			add_doc(ev, it);
		return;
	}
	if (!it) {
		it = mem_new(struct fleet_item);
		it->key = a->key;
		list_init(&it->link);
	}
	put_doc(s, it, d);
	it->lapse_ns = lapse_at_ns(a, now_ns);
	if (!d)
		d = doc_new(a->key.kind, a->key.name);
	a->doc = NULL;
	d->revision = it->revision;
	list_push_back(&ev->docs, &d->link);
}

static void renew(struct fleet_store *s, const struct act_store *a,
		  uint64_t now_ns, struct ev_store *ev)
{
	struct fleet_item *it = find_item(s, &a->key);

	s->writes++;
	if (it && it->data && it->revision == a->revision) {
		it->lapse_ns = lapse_at_ns(a, now_ns);
		return;
	}
	ev->status = STATUS_CONFLICT;
	if (it)
		add_doc(ev, it);
}

static void get(struct fleet_store *s, const struct act_store *a,
		struct ev_store *ev)
{
	const struct fleet_item *it = find_item(s, &a->key);

	s->reads++;
	if (it)
		add_doc(ev, it);
}

static void list_kind(struct fleet_store *s, const struct act_store *a,
		      struct ev_store *ev)
{
	const struct fleet_item *it;

	s->reads++;
	list_for_each_entry(it, &s->items, link)
		if (it->key.kind == a->key.kind && it->data)
			add_doc(ev, it);
}

/*
 * Watches leave contacts out, which only their keeper reads. A watch from
 * revision 0 lists what exists, without removed documents.
 */
static bool watch_shows(const struct fleet_item *it, revision_t since)
{
	return it->revision > since && it->key.kind != DOC_CONTACT &&
	       (since || it->data);
}

static void watch(struct fleet_store *s, const struct act_store *a,
		  struct ev_store *ev)
{
	const struct fleet_item *it;

	s->watches++;
	list_for_each_entry(it, &s->items, link)
		if (watch_shows(it, a->revision))
			add_doc(ev, it);
}

bool fleet_store_has_changes(const struct fleet_store *s, revision_t revision)
{
	const struct list *l = s->items.prev;

	for (; l != &s->items; l = l->prev) {
		const struct fleet_item *it =
			list_entry(l, struct fleet_item, link);

		if (it->revision <= revision)
			return false;
		if (watch_shows(it, revision))
			return true;
	}
	return false;
}

void fleet_store_call(struct fleet_store *s, struct act_store *a,
		      uint64_t now_ns, struct ev_store *ev)
{
	memset(ev, 0, sizeof(*ev));
	list_init(&ev->docs);
	ev->op = a->op;
	ev->status = STATUS_OK;
	switch (a->kind) {
	case STORE_GET:
		get(s, a, ev);
		break;
	case STORE_LIST:
		list_kind(s, a, ev);
		break;
	case STORE_CAS:
		cas(s, a, now_ns, ev);
		break;
	case STORE_RENEW:
		renew(s, a, now_ns, ev);
		break;
	case STORE_WATCH:
		watch(s, a, ev);
		break;
	}
	ev->revision = s->now;
}

void fleet_store_lapse(struct fleet_store *s, uint64_t now_ns)
{
	struct fleet_item *it, *tmp;

	list_for_each_entry_safe(it, tmp, &s->items, link) {
		if (!it->lapse_ns || now_ns < it->lapse_ns)
			continue;
		it->lapse_ns = 0;
		put_doc(s, it, NULL);
	}
}
