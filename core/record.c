#include "core/record.h"

#include <stdlib.h>

#include "core/mem.h"

struct record *record_new(enum record_kind kind, const char *name)
{
	struct record *r = mem_new(struct record);

	r->kind = kind;
	mem_copy_str(r->name, name, sizeof(r->name));
	return r;
}

struct record *record_copy(const struct record *r)
{
	struct record *copy = record_new(r->kind, r->name);

	copy->revision = r->revision;
	copy->removed = r->removed;
	copy->invalid = r->invalid;
	copy->keymap_base = r->keymap_base;
	copy->keymap_digest = r->keymap_digest;
	switch (r->kind) {
	case RECORD_CARD:
		copy->u.card = r->u.card;
		break;
	case RECORD_KEYMAP:
		if (r->u.keymap)
			copy->u.keymap = keymap_copy(r->u.keymap);
		break;
	case RECORD_MANIFEST:
		if (r->delta)
			copy->delta = manifest_delta_ref(r->delta);
		break;
	case RECORD_EVACUATION:
	case RECORD_KIND_COUNT:
		break;
	}
	return copy;
}

void record_delete(struct record *r)
{
	if (!r)
		return;
	switch (r->kind) {
	case RECORD_MANIFEST:
		manifest_delete(r->u.manifest);
		manifest_delta_unref(r->delta);
		break;
	case RECORD_KEYMAP:
		keymap_delete(r->u.keymap);
		break;
	case RECORD_EVACUATION:
	case RECORD_CARD:
	case RECORD_KIND_COUNT:
		break;
	}
	free(r);
}

void records_delete(struct list *records)
{
	struct record *r, *tmp;

	list_for_each_entry_safe(r, tmp, records, link) {
		list_remove(&r->link);
		record_delete(r);
	}
}
