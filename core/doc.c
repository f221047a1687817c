#include "core/doc.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

struct doc *doc_new(enum doc_kind kind, const char *name)
{
	struct doc *d = mem_new(struct doc);

	d->key.kind = kind;
	mem_copy_str(d->key.name, name, sizeof(d->key.name));
	list_init(&d->link);
	return d;
}

void doc_delete(struct doc *d)
{
	if (!d)
		return;
	switch (d->key.kind) {
	case DOC_MANIFEST:
		manifest_delete(d->u.manifest);
		break;
	case DOC_ROSTER:
		roster_delete(d->u.roster);
		break;
	case DOC_MAP:
		shard_map_delete(d->u.map);
		break;
	case DOC_CONTACT:
	case DOC_PLANNER:
	case DOC_KIND_COUNT:
		break;
	}
	free(d);
}

void docs_delete(struct list *docs)
{
	struct doc *d, *tmp;

	list_for_each_entry_safe(d, tmp, docs, link) {
		list_remove(&d->link);
		doc_delete(d);
	}
}

bool doc_key_equal(const struct doc_key *a, const struct doc_key *b)
{
	return a->kind == b->kind && !strcmp(a->name, b->name);
}

struct doc *doc_copy(const struct doc *d)
{
	struct doc *c = doc_new(d->key.kind, d->key.name);

	c->revision = d->revision;
	if (doc_absent(d))
		return c;
	switch (d->key.kind) {
	case DOC_MANIFEST:
		c->u.manifest = manifest_copy(d->u.manifest);
		break;
	case DOC_ROSTER:
		c->u.roster = roster_copy(d->u.roster);
		break;
	case DOC_MAP:
		c->u.map = shard_map_copy(d->u.map);
		break;
	case DOC_CONTACT:
		c->u.contact = d->u.contact;
		break;
	case DOC_PLANNER:
		c->u.planner = d->u.planner;
		break;
	case DOC_KIND_COUNT:
		break;
	}
	return c;
}

bool doc_absent(const struct doc *d)
{
	switch (d->key.kind) {
	case DOC_MANIFEST:
		return !d->u.manifest;
	case DOC_ROSTER:
		return !d->u.roster;
	case DOC_MAP:
		return !d->u.map;
	case DOC_CONTACT:
		return !d->u.contact.node;
	case DOC_PLANNER:
		return !d->u.planner.holder;
	case DOC_KIND_COUNT:
		break;
	}
	return true;
}
