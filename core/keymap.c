#include "core/keymap.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

/* Longer rows would be too coarse for moves that balance the load. */
#define MERGED_ROW_KEYS_MAX 1024u
/*
 * Balancing moves keys to a candidate below this part of its share, as each
 * move has a cost, and leaves their owner at or above it.
 */
#define BALANCE_LOW_SHARE   0.6
/* A move leaves its receiver at or below this multiple of its share. */
#define BALANCE_HIGH_SHARE  1.2
/* Divisor instead of a weight of 0: such an owner counts as the fullest. */
#define ZERO_WEIGHT_DIVISOR 0.01

struct keymap *keymap_new(const char *service)
{
	struct keymap *m = mem_new(struct keymap);

	mem_copy_str(m->service, service, sizeof(m->service));
	list_init(&m->rows);
	return m;
}

void keymap_delete(struct keymap *m)
{
	struct keyrow *r, *tmp;

	if (!m)
		return;
	list_for_each_entry_safe(r, tmp, &m->rows, link)
		free(r);
	free(m);
}

struct keymap *keymap_copy(const struct keymap *m)
{
	struct keymap *c = keymap_new(m->service);
	const struct keyrow *r;

	c->fence = m->fence;
	list_for_each_entry(r, &m->rows, link) {
		struct keyrow *n = mem_dup(r, sizeof(*r));

		list_push_back(&c->rows, &n->link);
	}
	return c;
}

struct keyrow *keymap_append_row(struct keymap *m, uint32_t from, uint32_t to)
{
	struct keyrow *r = mem_new(struct keyrow);

	r->from = from;
	r->to = to;
	list_push_back(&m->rows, &r->link);
	return r;
}

struct keyrow *keymap_find(const struct keymap *m, uint32_t key)
{
	struct keyrow *r;

	list_for_each_entry(r, &m->rows, link)
		if (key >= r->from && key <= r->to)
			return r;
	return NULL;
}

bool keymap_valid(const struct keymap *m)
{
	const struct keyrow *r;
	uint32_t next = 0;

	list_for_each_entry(r, &m->rows, link) {
		if (r->from != next || r->to < r->from || r->fence > m->fence)
			return false;
		next = r->to + 1;
	}
	return next == KEYMAP_KEYS;
}

bool holder_equal(const struct holder_id *a, const struct holder_id *b)
{
	return a->born == b->born && !strcmp(a->node, b->node) &&
	       !strcmp(a->instance, b->instance);
}

uint32_t keymap_keys_of(const struct keymap *m, const struct holder_id *id)
{
	const struct keyrow *r;
	uint32_t n = 0;

	list_for_each_entry(r, &m->rows, link)
		if (holder_equal(&r->owner, id))
			n += r->to - r->from + 1;
	return n;
}

uint32_t keymap_rows_of(const struct keymap *m, const struct holder_id *id)
{
	const struct keyrow *r;
	uint32_t n = 0;

	list_for_each_entry(r, &m->rows, link)
		n += holder_equal(&r->owner, id);
	return n;
}

struct keyrow *keymap_split(struct keyrow *row, uint32_t from)
{
	struct keyrow *n = mem_dup(row, sizeof(*row));

	n->from = from;
	row->to = from - 1;
	list_push_front(&row->link, &n->link);
	return n;
}

void keymap_move(struct keymap *m, struct keyrow *row,
		 const struct holder_id *to, const char *handover)
{
	row->owner = *to;
	row->fence = ++m->fence;
	row->target[0] = '\0';
	mem_copy_str(row->handover, handover, sizeof(row->handover));
}

void keymap_raise_fence(struct keymap *m, uint64_t base)
{
	if (m->fence < base)
		m->fence = base;
}

void keymap_renew_fences(struct keymap *m)
{
	struct keyrow *r;

	m->fence++;
	list_for_each_entry(r, &m->rows, link) {
		r->fence = m->fence;
		r->handover[0] = '\0';
	}
}

void keymap_merge_rows(struct keymap *m)
{
	struct keyrow *r, *tmp;
	struct keyrow *previous = NULL;

	list_for_each_entry_safe(r, tmp, &m->rows, link) {
		if (previous && previous->fence == r->fence &&
		    holder_equal(&previous->owner, &r->owner) &&
		    !strcmp(previous->handover, r->handover) &&
		    !strcmp(previous->target, r->target) &&
		    r->to - previous->from < MERGED_ROW_KEYS_MAX) {
			previous->to = r->to;
			list_remove(&r->link);
			free(r);
			continue;
		}
		previous = r;
	}
}

struct keymap_candidate *keymap_least_loaded(struct list *candidates)
{
	struct keymap_candidate *best = NULL;
	struct keymap_candidate *c;

	list_for_each_entry(c, candidates, link) {
		if (!c->weight)
			continue;
		if (!best || c->keys / c->weight < best->keys / best->weight)
			best = c;
	}
	return best;
}

void keymap_deal(struct keymap *m, struct list *candidates)
{
	const struct keymap_candidate *c;
	uint32_t n = 0;
	uint32_t rows, from = 0;

	list_for_each_entry(c, candidates, link)
		n += c->weight > 0;
	rows = n * KEYMAP_ROWS_PER_UPSTREAM;
	m->fence++;
	for (uint32_t i = 0; i < rows; i++) {
		uint32_t end =
			(uint32_t)((uint64_t)KEYMAP_KEYS * (i + 1) / rows);
		struct keymap_candidate *to = keymap_least_loaded(candidates);
		struct keyrow *r = keymap_append_row(m, from, end - 1);

		r->owner = to->id;
		r->fence = m->fence;
		to->keys += end - from;
		from = end;
	}
}

static struct keymap_candidate *candidate_of(struct list *candidates,
					     const struct holder_id *id)
{
	struct keymap_candidate *c;

	list_for_each_entry(c, candidates, link)
		if (holder_equal(&c->id, id))
			return c;
	return NULL;
}

/*
 * A row of the owner with the most keys for its weight; NULL if any move would
 * leave its owner below BALANCE_LOW_SHARE or @to above BALANCE_HIGH_SHARE.
 */
static struct keyrow *pick_row_to_move(struct keymap *m,
				       struct list *candidates,
				       const struct keymap_candidate *to,
				       double share)
{
	struct keyrow *best = NULL;
	double most = 0;
	struct keyrow *r;

	list_for_each_entry(r, &m->rows, link) {
		struct keymap_candidate *c =
			candidate_of(candidates, &r->owner);
		uint32_t n = r->to - r->from + 1;

		if (!c || c == to || r->target[0])
			continue;
		if (c->keys - n < share * c->weight * BALANCE_LOW_SHARE ||
		    to->keys + n > share * to->weight * BALANCE_HIGH_SHARE)
			continue;
		if (c->keys / (c->weight ? c->weight : ZERO_WEIGHT_DIVISOR) >
		    most) {
			most = c->keys /
			       (c->weight ? c->weight : ZERO_WEIGHT_DIVISOR);
			best = r;
		}
	}
	return best;
}

bool keymap_balance(struct keymap *m, struct list *candidates)
{
	struct keymap_candidate *to = keymap_least_loaded(candidates);
	const struct keymap_candidate *c;
	struct keyrow *r;
	double total_weight = 0;
	double share;
	bool any = false;

	list_for_each_entry(c, candidates, link)
		total_weight += c->weight;
	share = total_weight > 0 ? KEYMAP_KEYS / total_weight : 0;
	while (to && to->keys < share * to->weight * BALANCE_LOW_SHARE) {
		while (to->keys < share * to->weight &&
		       (r = pick_row_to_move(m, candidates, to, share))) {
			double n = r->to - r->from + 1;

			candidate_of(candidates, &r->owner)->keys -= n;
			to->keys += n;
			mem_copy_str(r->target, to->id.node, sizeof(r->target));
			any = true;
		}
		if (to->keys < share * to->weight * BALANCE_LOW_SHARE)
			break;
		to = keymap_least_loaded(candidates);
	}
	return any;
}
