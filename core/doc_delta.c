#include "core/doc_delta.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

/* A map delta names at most 1/MAP_DELTA_DIVISOR of the map's shards. */
#define MAP_DELTA_DIVISOR 4

struct doc_delta *doc_delta_new(const struct doc_key *key)
{
	struct doc_delta *d = mem_new(struct doc_delta);

	list_init(&d->link);
	d->key = *key;
	if (key->kind == DOC_MAP)
		list_init(&d->u.map.pinned);
	if (key->kind == DOC_ROSTER)
		list_init(&d->u.roster.changed);
	return d;
}

static void roster_edits_done(struct roster_edits *e)
{
	struct member *m, *tmp;

	list_for_each_entry_safe(m, tmp, &e->changed, link)
		free(m);
	free(e->removed);
}

static void map_edits_done(struct map_edits *e)
{
	shard_map_free_pinned(&e->pinned);
	free(e->items);
}

void doc_delta_delete(struct doc_delta *d)
{
	list_remove(&d->link);
	if (d->key.kind == DOC_MAP)
		map_edits_done(&d->u.map);
	if (d->key.kind == DOC_ROSTER)
		roster_edits_done(&d->u.roster);
	free(d);
}

void doc_deltas_delete(struct list *deltas)
{
	struct doc_delta *d, *tmp;

	list_for_each_entry_safe(d, tmp, deltas, link)
		doc_delta_delete(d);
}

static void add_member(struct roster_edits *e, const struct member *m)
{
	struct member *n = mem_new(struct member);

	*n = *m;
	n->roster = NULL;
	list_init(&n->index_link);
	list_push_back(&e->changed, &n->link);
}

static void copy_roster_edits(struct roster_edits *to,
			      const struct roster_edits *from)
{
	const struct member *m;

	to->removed_count = from->removed_count;
	to->removed = mem_dup(from->removed,
			      from->removed_count * sizeof(*from->removed));
	list_for_each_entry(m, &from->changed, link)
		add_member(to, m);
}

static void copy_map_edits(struct map_edits *to, const struct map_edits *from)
{
	to->count = from->count;
	to->items = mem_dup(from->items, from->count * sizeof(*from->items));
	to->pinned_changed = from->pinned_changed;
	shard_map_copy_pinned(&to->pinned, &from->pinned);
}

struct doc_delta *doc_delta_copy(const struct doc_delta *d)
{
	struct doc_delta *c = doc_delta_new(&d->key);

	c->base = d->base;
	c->revision = d->revision;
	if (d->key.kind == DOC_MAP)
		copy_map_edits(&c->u.map, &d->u.map);
	if (d->key.kind == DOC_ROSTER)
		copy_roster_edits(&c->u.roster, &d->u.roster);
	return c;
}

static bool member_equal(const struct member *a, const struct member *b)
{
	return a->inc == b->inc && a->state == b->state &&
	       a->keeper == b->keeper && a->term == b->term &&
	       !strcmp(a->name, b->name) && !strcmp(a->service, b->service) &&
	       !strcmp(a->peer_addr, b->peer_addr) &&
	       !strcmp(a->http_addr, b->http_addr);
}

static void add_removed(struct roster_edits *e, incarnation_t inc)
{
	e->removed = mem_realloc(e->removed, e->removed_count + 1,
				 sizeof(*e->removed));
	e->removed[e->removed_count++] = inc;
}

/*
 * Writers keep the order of entries and append new ones, so one pass over
 * both lists pairs them. An entry that changed its position is removed and
 * added again.
 */
static void diff_rosters(const struct roster *a, const struct roster *b,
			 struct roster_edits *e)
{
	const struct list *pos = b->members.next;
	const struct member *old;

	list_for_each_entry(old, &a->members, link) {
		const struct member *m = list_entry(pos, struct member, link);

		if (pos == &b->members || m->inc != old->inc) {
			add_removed(e, old->inc);
			continue;
		}
		if (!member_equal(old, m))
			add_member(e, m);
		pos = pos->next;
	}
	for (; pos != &b->members; pos = pos->next)
		add_member(e, list_entry(pos, struct member, link));
}

static bool shard_equal(const struct shard *a, const struct shard *b)
{
	return a->owner == b->owner && a->target == b->target &&
	       a->epoch == b->epoch;
}

static bool pinned_equal(const struct list *a, const struct list *b)
{
	const struct list *p = a->next;
	const struct list *q = b->next;

	for (; p != a && q != b; p = p->next, q = q->next) {
		const struct pinned_key *x =
			list_entry(p, struct pinned_key, link);
		const struct pinned_key *y =
			list_entry(q, struct pinned_key, link);

		if (strcmp(x->key, y->key) != 0 ||
		    !shard_equal(&x->shard, &y->shard))
			return false;
	}
	return p == a && q == b;
}

static uint32_t count_changed(const struct shard_map *a,
			      const struct shard_map *b)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < a->count; i++)
		n += !shard_equal(&a->shards[i], &b->shards[i]);
	return n;
}

/* False when the maps differ in size or in too many shards for a delta. */
static bool diff_maps(const struct shard_map *a, const struct shard_map *b,
		      struct map_edits *e)
{
	uint32_t n;

	if (a->count != b->count)
		return false;
	n = count_changed(a, b);
	if (n > a->count / MAP_DELTA_DIVISOR)
		return false;
	e->items = mem_zalloc(n, sizeof(*e->items));
	for (uint32_t i = 0; i < a->count; i++) {
		if (shard_equal(&a->shards[i], &b->shards[i]))
			continue;
		e->items[e->count].index = i;
		e->items[e->count++].shard = b->shards[i];
	}
	e->pinned_changed = !pinned_equal(&a->pinned, &b->pinned);
	if (e->pinned_changed)
		shard_map_copy_pinned(&e->pinned, &b->pinned);
	return true;
}

struct doc_delta *doc_delta_between(const struct doc *a, const struct doc *b)
{
	struct doc_delta *d;
	bool ok = true;

	if (doc_absent(a) || doc_absent(b) ||
	    (a->key.kind != DOC_MAP && a->key.kind != DOC_ROSTER))
		return NULL;
	d = doc_delta_new(&b->key);
	d->base = a->revision;
	d->revision = b->revision;
	if (a->key.kind == DOC_MAP)
		ok = diff_maps(a->u.map, b->u.map, &d->u.map);
	else
		diff_rosters(a->u.roster, b->u.roster, &d->u.roster);
	if (ok)
		return d;
	doc_delta_delete(d);
	return NULL;
}

static void apply_roster(struct roster *r, const struct roster_edits *e)
{
	const struct member *m;

	for (uint32_t i = 0; i < e->removed_count; i++) {
		struct member *old = roster_find(r, e->removed[i]);

		if (old)
			roster_remove(r, old);
	}
	list_for_each_entry(m, &e->changed, link) {
		struct member *to = roster_find(r, m->inc);

		if (!to)
			to = roster_add(r, m->name, m->inc);
		member_set(to, m);
	}
}

static bool apply_map(struct shard_map *m, const struct map_edits *e)
{
	for (uint32_t i = 0; i < e->count; i++)
		if (e->items[i].index >= m->count)
			return false;
	for (uint32_t i = 0; i < e->count; i++)
		m->shards[e->items[i].index] = e->items[i].shard;
	if (e->pinned_changed) {
		shard_map_free_pinned(&m->pinned);
		shard_map_copy_pinned(&m->pinned, &e->pinned);
	}
	return true;
}

bool doc_delta_apply(const struct doc_delta *d, struct doc *doc)
{
	if (doc_absent(doc) || doc->revision != d->base ||
	    !doc_key_equal(&d->key, &doc->key))
		return false;
	if (d->key.kind == DOC_MAP && !apply_map(doc->u.map, &d->u.map))
		return false;
	if (d->key.kind == DOC_ROSTER)
		apply_roster(doc->u.roster, &d->u.roster);
	doc->revision = d->revision;
	return true;
}

uint32_t doc_delta_size(const struct doc_delta *d)
{
	const struct list *head = d->key.kind == DOC_MAP ? &d->u.map.pinned
							 : &d->u.roster.changed;
	uint32_t n = d->key.kind == DOC_MAP ? d->u.map.count
					    : d->u.roster.removed_count;

	for (const struct list *l = head->next; l != head; l = l->next)
		n++;
	return n + 1;
}
