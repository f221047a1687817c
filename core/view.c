#include "core/view.h"

#include <string.h>

#include "core/invariant.h"
#include "core/mem.h"

/* Shards, keys and members that the log of changes may name, in total. */
#define DELTAS_SIZE_MAX 8192

void view_init(struct view *v)
{
	v->revision = 0;
	v->newest = 0;
	v->needs_documents = false;
	for (int i = 0; i < DOC_KIND_COUNT; i++)
		list_init(&v->docs[i]);
	for (int i = 0; i < VIEW_BUCKETS; i++)
		list_init(&v->members[i]);
	list_init(&v->deltas);
	v->deltas_size = 0;
}

void view_done(struct view *v)
{
	for (int i = 0; i < DOC_KIND_COUNT; i++)
		docs_delete(&v->docs[i]);
	doc_deltas_delete(&v->deltas);
	v->deltas_size = 0;
	v->revision = 0;
}

static struct doc *find_doc(const struct view *v, const struct doc_key *key)
{
	struct doc *d;

	list_for_each_entry(d, &v->docs[key->kind], link)
		if (doc_key_equal(&d->key, key))
			return d;
	return NULL;
}

/* The epoch never falls, and the owner changes only when it rises. */
static void check_epoch(const struct shard_map *map, uint32_t i,
			const struct shard *y)
{
	const struct shard *x = &map->shards[i];

	JD_INVARIANT(y->epoch > x->epoch ||
			     (y->epoch == x->epoch && y->owner == x->owner),
		     "route=%s shard=%u epoch=%lu->%lu", map->route, i,
		     (unsigned long)x->epoch, (unsigned long)y->epoch);
}

static void check_epochs(const struct doc *old, const struct doc *new)
{
	const struct shard_map *a = old->u.map;
	const struct shard_map *b = new->u.map;

	if (old->key.kind != DOC_MAP || !a || !b || a->count != b->count)
		return;
	for (uint32_t i = 0; i < a->count; i++)
		check_epoch(a, i, &b->shards[i]);
}

static void check_edits(const struct doc *old, const struct doc_delta *d)
{
	const struct map_edits *e = &d->u.map;

	if (old->key.kind != DOC_MAP)
		return;
	for (uint32_t i = 0; i < e->count; i++)
		if (e->items[i].index < old->u.map->count)
			check_epoch(old->u.map, e->items[i].index,
				    &e->items[i].shard);
}

static void drop_delta(struct view *v, struct doc_delta *d)
{
	v->deltas_size -= doc_delta_size(d);
	doc_delta_delete(d);
}

/* Appends @d. The deltas of a document end at the held one, without a gap. */
static void log_delta(struct view *v, struct doc_delta *d)
{
	v->deltas_size += doc_delta_size(d);
	list_push_back(&v->deltas, &d->link);
	while (v->deltas_size > DELTAS_SIZE_MAX)
		drop_delta(v,
			   list_entry(v->deltas.next, struct doc_delta, link));
}

static void drop_deltas_of(struct view *v, const struct doc_key *key)
{
	struct doc_delta *d, *tmp;

	list_for_each_entry_safe(d, tmp, &v->deltas, link)
		if (doc_key_equal(&d->key, key))
			drop_delta(v, d);
}

static void log_change(struct view *v, const struct doc *old,
		       const struct doc *new)
{
	struct doc_delta *d = doc_delta_between(old, new);

	if (d)
		log_delta(v, d);
	else
		drop_deltas_of(v, &new->key);
}

/* Incarnations are random: their low bits spread well. */
static struct list *bucket(struct view *v, incarnation_t inc)
{
	return &v->members[inc % VIEW_BUCKETS];
}

static struct member *find_member(const struct view *v, incarnation_t inc)
{
	const struct list *head = &v->members[inc % VIEW_BUCKETS];
	struct member *m;

	list_for_each_entry(m, head, index_link)
		if (m->inc == inc)
			return m;
	return NULL;
}

static void index_roster(struct view *v, struct roster *r)
{
	struct member *m;

	list_for_each_entry(m, &r->members, link) {
		list_remove(&m->index_link);
		list_push_back(bucket(v, m->inc), &m->index_link);
	}
}

static void count_kept_nodes(struct view *v)
{
	const struct doc *d = NULL;
	struct member *m;

	while ((d = view_next(v, DOC_ROSTER, d)))
		list_for_each_entry(m, &d->u.roster->members, link)
			m->kept_count = 0;
	while ((d = view_next(v, DOC_ROSTER, d))) {
		list_for_each_entry(m, &d->u.roster->members, link) {
			struct member *k = find_member(v, m->keeper);

			if (k)
				k->kept_count++;
		}
	}
}

static void update_index(struct view *v, struct doc *d)
{
	if (v->newest < d->revision)
		v->newest = d->revision;
	if (d->key.kind != DOC_ROSTER)
		return;
	if (!doc_absent(d))
		index_roster(v, d->u.roster);
	count_kept_nodes(v);
}

bool view_apply(struct view *v, struct doc *d)
{
	struct doc *old = find_doc(v, &d->key);

	/* Not held and not newer than the view: the document was removed. */
	if (d->revision <= (old ? old->revision : v->revision)) {
		doc_delete(d);
		return false;
	}
	if (old) {
		check_epochs(old, d);
		log_change(v, old, d);
		list_remove(&old->link);
		doc_delete(old);
	}
	list_remove(&d->link);
	list_push_back(&v->docs[d->key.kind], &d->link);
	update_index(v, d);
	return true;
}

bool view_apply_all(struct view *v, struct list *docs)
{
	struct doc *d, *tmp;
	bool any = false;

	list_for_each_entry_safe(d, tmp, docs, link) {
		list_remove(&d->link);
		any |= view_apply(v, d);
	}
	return any;
}

/* False when @d doesn't fit the held document; true if that is newer. */
static bool apply_delta(struct view *v, const struct doc_delta *d)
{
	struct doc *doc = find_doc(v, &d->key);

	if (!doc || doc->revision < d->base)
		return false;
	if (doc->revision >= d->revision)
		return true;
	check_edits(doc, d);
	if (!doc_delta_apply(d, doc))
		return false;
	log_delta(v, doc_delta_copy(d));
	update_index(v, doc);
	return true;
}

void view_apply_sync(struct view *v, struct msg_sync *sync)
{
	const struct doc_delta *d;
	bool all_applied = true;

	list_for_each_entry(d, &sync->deltas, link)
		all_applied &= apply_delta(v, d);
	view_sync(v, sync->from, all_applied ? sync->to : 0, &sync->docs);
	v->needs_documents = !all_applied;
}

void view_sync(struct view *v, revision_t from, revision_t to,
	       struct list *docs)
{
	view_apply_all(v, docs);
	if (from <= v->revision && to > v->revision)
		v->revision = to;
}

static bool contains(const struct list *docs, const struct doc_key *key)
{
	const struct doc *d;

	list_for_each_entry(d, docs, link)
		if (doc_key_equal(&d->key, key))
			return true;
	return false;
}

/* Adds an absent document for each held one that the snapshot lacks. */
static void add_removed(const struct view *v, revision_t to, struct list *docs)
{
	for (int i = 0; i < DOC_KIND_COUNT; i++) {
		const struct doc *held;

		list_for_each_entry(held, &v->docs[i], link) {
			struct doc *d;

			if (held->revision >= to || contains(docs, &held->key))
				continue;
			d = doc_new(held->key.kind, held->key.name);
			d->revision = to;
			list_push_back(docs, &d->link);
		}
	}
}

void view_snapshot(struct view *v, revision_t to, struct list *docs)
{
	add_removed(v, to, docs);
	view_sync(v, 0, to, docs);
}

const struct doc *view_doc(const struct view *v, enum doc_kind kind,
			   const char *name)
{
	struct doc_key key = {.kind = kind};

	mem_copy_str(key.name, name, sizeof(key.name));
	return find_doc(v, &key);
}

const struct manifest *view_manifest(const struct view *v)
{
	const struct doc *d = view_doc(v, DOC_MANIFEST, "");

	return d ? d->u.manifest : NULL;
}

const struct shard_map *view_map(const struct view *v, const char *route)
{
	const struct doc *d = view_doc(v, DOC_MAP, route);

	return d ? d->u.map : NULL;
}

const struct roster *view_roster(const struct view *v, const char *dc)
{
	const struct doc *d = view_doc(v, DOC_ROSTER, dc);

	return d ? d->u.roster : NULL;
}

struct role view_planner(const struct view *v)
{
	const struct doc *d = view_doc(v, DOC_PLANNER, "");

	return d ? d->u.planner : (struct role){0};
}

const struct member *view_member(const struct view *v, incarnation_t inc,
				 const struct roster **r)
{
	const struct member *m = find_member(v, inc);

	if (m && r)
		*r = m->roster;
	return m;
}

/* Inserts a copy of @d by revision. */
static void add_copy(struct list *docs, const struct doc *d)
{
	struct doc *c = doc_copy(d);
	struct list *pos = docs;

	while (pos->prev != docs &&
	       list_entry(pos->prev, struct doc, link)->revision > c->revision)
		pos = pos->prev;
	list_insert_before(pos, &c->link);
}

void view_copy_newer(const struct view *v, revision_t from, struct list *docs)
{
	for (int i = 0; i < DOC_KIND_COUNT; i++) {
		const struct doc *d;

		list_for_each_entry(d, &v->docs[i], link)
			if (d->revision > from)
				add_copy(docs, d);
	}
}

/* Copies the deltas that lead from @from to @d; false for a gap. */
static bool add_deltas(const struct view *v, const struct doc *d,
		       revision_t from, struct list *deltas)
{
	const struct doc_delta *x;
	bool found = false;

	list_for_each_entry(x, &v->deltas, link) {
		struct doc_delta *c;

		if (x->revision <= from || !doc_key_equal(&x->key, &d->key))
			continue;
		if (!found && x->base > from)
			return false;
		found = true;
		c = doc_delta_copy(x);
		list_push_back(deltas, &c->link);
	}
	return found;
}

void view_fill_sync(const struct view *v, revision_t from,
		    struct msg_sync *sync)
{
	sync->from = from;
	sync->to = v->revision;
	for (int i = 0; i < DOC_KIND_COUNT; i++) {
		const struct doc *d;

		list_for_each_entry(d, &v->docs[i], link)
			if (d->revision > from &&
			    !add_deltas(v, d, from, &sync->deltas))
				add_copy(&sync->docs, d);
	}
}

const struct doc *view_next(const struct view *v, enum doc_kind kind,
			    const struct doc *pos)
{
	const struct list *head = &v->docs[kind];
	const struct list *l = pos ? pos->link.next : head->next;

	/* The analyzer loses track of the links in view_apply_all()'s walk. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	for (; l != head; l = l->next) {
		const struct doc *d = list_entry(l, struct doc, link);

		if (!doc_absent(d))
			return d;
	}
	return NULL;
}
