#include "core/view.h"

#include <string.h>

#include "core/invariant.h"
#include "core/mem.h"

void view_init(struct view *v)
{
	v->revision = 0;
	for (int i = 0; i < DOC_KIND_COUNT; i++)
		list_init(&v->docs[i]);
	for (int i = 0; i < VIEW_BUCKETS; i++)
		list_init(&v->members[i]);
}

void view_done(struct view *v)
{
	for (int i = 0; i < DOC_KIND_COUNT; i++)
		docs_delete(&v->docs[i]);
	v->revision = 0;
}

static struct doc *find(const struct view *v, const struct doc_key *key)
{
	struct doc *d;

	list_for_each_entry(d, &v->docs[key->kind], link)
		if (doc_key_equal(&d->key, key))
			return d;
	return NULL;
}

/* An owner changes only together with a rise of the epoch. */
static void check_epochs(const struct doc *old, const struct doc *new)
{
	const struct shard_map *a = old->u.map;
	const struct shard_map *b = new->u.map;

	if (old->key.kind != DOC_MAP || !a || !b || a->count != b->count)
		return;
	for (uint32_t i = 0; i < a->count; i++) {
		const struct shard *x = &a->shards[i];
		const struct shard *y = &b->shards[i];

		JD_INVARIANT(y->epoch > x->epoch || (y->epoch == x->epoch &&
						     y->owner == x->owner),
			     "route=%s shard=%u epoch=%lu->%lu", a->route, i,
			     (unsigned long)x->epoch, (unsigned long)y->epoch);
	}
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

	list_for_each_entry(m, head, indexed)
		if (m->inc == inc)
			return m;
	return NULL;
}

static void index_roster(struct view *v, struct roster *r)
{
	struct member *m;

	list_for_each_entry(m, &r->members, link) {
		list_remove(&m->indexed);
		list_push_back(bucket(v, m->inc), &m->indexed);
	}
}

static void count_charges(struct view *v)
{
	const struct doc *d = NULL;
	struct member *m;

	while ((d = view_next(v, DOC_ROSTER, d)))
		list_for_each_entry(m, &d->u.roster->members, link)
			m->charges = 0;
	while ((d = view_next(v, DOC_ROSTER, d))) {
		list_for_each_entry(m, &d->u.roster->members, link) {
			struct member *k = find_member(v, m->keeper);

			if (k)
				k->charges++;
		}
	}
}

bool view_apply(struct view *v, struct doc *d)
{
	struct doc *old = find(v, &d->key);

	if (old && old->revision >= d->revision) {
		doc_delete(d);
		return false;
	}
	if (old) {
		check_epochs(old, d);
		list_remove(&old->link);
		doc_delete(old);
	}
	list_remove(&d->link);
	list_push_back(&v->docs[d->key.kind], &d->link);
	if (d->key.kind == DOC_ROSTER) {
		if (!doc_absent(d))
			index_roster(v, d->u.roster);
		count_charges(v);
	}
	return true;
}

void view_sync(struct view *v, revision_t from, revision_t to,
	       struct list *docs)
{
	struct doc *d, *tmp;

	list_for_each_entry_safe(d, tmp, docs, link) {
		list_remove(&d->link);
		view_apply(v, d);
	}
	if (from <= v->revision && to > v->revision)
		v->revision = to;
}

const struct doc *view_doc(const struct view *v, enum doc_kind kind,
			   const char *name)
{
	struct doc_key key = {.kind = kind};

	mem_copy_str(key.name, name, sizeof(key.name));
	return find(v, &key);
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

struct duty view_planner(const struct view *v)
{
	const struct doc *d = view_doc(v, DOC_PLANNER, "");

	return d ? d->u.planner : (struct duty){0};
}

const struct member *view_member(const struct view *v, incarnation_t inc,
				 const struct roster **r)
{
	const struct member *m = find_member(v, inc);

	if (m && r)
		*r = m->roster;
	return m;
}

/* Inserts a copy of @d behind all that are not newer. */
static void add_copy(struct list *docs, const struct doc *d)
{
	struct doc *c = doc_copy(d);
	struct list *pos = docs;

	while (pos->prev != docs &&
	       list_entry(pos->prev, struct doc, link)->revision > c->revision)
		pos = pos->prev;
	list_insert_before(pos, &c->link);
}

void view_newer(const struct view *v, revision_t from, struct list *docs)
{
	for (int i = 0; i < DOC_KIND_COUNT; i++) {
		const struct doc *d;

		list_for_each_entry(d, &v->docs[i], link)
			if (d->revision > from)
				add_copy(docs, d);
	}
}

const struct doc *view_next(const struct view *v, enum doc_kind kind,
			    const struct doc *pos)
{
	const struct list *head = &v->docs[kind];
	const struct list *l = pos ? pos->link.next : head->next;

	/* The analyzer loses track of the links in view_sync()'s walk. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	for (; l != head; l = l->next) {
		const struct doc *d = list_entry(l, struct doc, link);

		if (!doc_absent(d))
			return d;
	}
	return NULL;
}
