#include "core/keymap_delta.h"

#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

static bool rows_equal(const struct keyrow *a, const struct keyrow *b)
{
	return a->from == b->from && a->to == b->to && a->fence == b->fence &&
	       holder_equal(&a->owner, &b->owner) &&
	       !strcmp(a->handover, b->handover) &&
	       !strcmp(a->target, b->target);
}

static void append_copy(struct keymap *m, const struct keyrow *row)
{
	struct keyrow *r = keymap_append_row(m, row->from, row->to);

	r->fence = row->fence;
	r->owner = row->owner;
	mem_copy_str(r->handover, row->handover, sizeof(r->handover));
	mem_copy_str(r->target, row->target, sizeof(r->target));
}

/* The row behind @r; NULL behind the last one. */
static const struct keyrow *row_after(const struct keymap *m,
				      const struct keyrow *r)
{
	return r->link.next == &m->rows
		       ? NULL
		       : list_entry(r->link.next, struct keyrow, link);
}

static const struct keyrow *first_row(const struct keymap *m)
{
	return list_empty(&m->rows)
		       ? NULL
		       : list_entry(m->rows.next, struct keyrow, link);
}

struct keymap *keymap_delta_between(const struct keymap *base,
				    const struct keymap *next)
{
	struct keymap *delta = keymap_new(next->service);
	const struct keyrow *old = first_row(base);
	const struct keyrow *r;

	delta->fence = next->fence;
	list_for_each_entry(r, &next->rows, link) {
		while (old && old->from < r->from)
			old = row_after(base, old);
		if (!old || !rows_equal(old, r))
			append_copy(delta, r);
	}
	return delta;
}

static uint64_t add_text(uint64_t hash, const char *text)
{
	return XXH64(text, strlen(text), hash);
}

uint64_t keymap_digest(const struct keymap *m)
{
	uint64_t hash = m->fence;
	const struct keyrow *r;

	list_for_each_entry(r, &m->rows, link) {
		uint64_t numbers[] = {r->from, r->to, r->fence, r->owner.born};

		hash = XXH64(numbers, sizeof(numbers), hash);
		hash = add_text(hash, r->owner.node);
		hash = add_text(hash, r->owner.instance);
		hash = add_text(hash, r->handover);
		hash = add_text(hash, r->target);
	}
	return hash;
}

struct keymap *keymap_delta_apply(const struct keymap *base,
				  const struct keymap *delta, uint64_t digest)
{
	struct keymap *m = keymap_new(base->service);
	const struct keyrow *changed = first_row(delta);
	const struct keyrow *old;

	m->fence = delta->fence;
	list_for_each_entry(old, &base->rows, link) {
		for (; changed && changed->from <= old->from;
		     changed = row_after(delta, changed))
			append_copy(m, changed);
		/* A changed row in front of it or inside it replaces it. */
		if ((changed && changed->from <= old->to) ||
		    (!list_empty(&m->rows) &&
		     list_entry(m->rows.prev, struct keyrow, link)->to >=
			     old->from))
			continue;
		append_copy(m, old);
	}
	for (; changed; changed = row_after(delta, changed))
		append_copy(m, changed);
	if (keymap_valid(m) && keymap_digest(m) == digest)
		return m;
	keymap_delete(m);
	return NULL;
}

bool keymap_delta_valid(const struct keymap *delta)
{
	const struct keyrow *r;
	uint32_t next = 0;

	list_for_each_entry(r, &delta->rows, link) {
		if (r->from < next || r->to < r->from || r->to >= KEYMAP_KEYS ||
		    r->fence > delta->fence)
			return false;
		next = r->to + 1;
	}
	return true;
}
