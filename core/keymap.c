#include "core/keymap.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

/* Longer rows would be too coarse for moves that balance the load. */
#define MERGED_ROW_KEYS_MAX 1024u
/* Divisor instead of a weight of 0: such an owner counts as the fullest. */
#define ZERO_WEIGHT_DIVISOR 0.01
/* Whole rows may move this many times the keys that have to move. */
#define WHOLE_ROWS_MOVE_MAX 1.25
/* A longer row is split, so that adjacent keys go to several upstreams. */
#define LONG_ROW_PIECES	    2
/* An owner with enough keys gives some to one with too few down to this. */
#define GIVER_KEEPS	    0.85
/* Buckets of the candidates' index by id. */
#define CANDIDATE_BUCKETS   256

struct keymap *keymap_new(const char *service)
{
	struct keymap *m = mem_new(struct keymap);

	mem_copy_str(m->service, service, sizeof(m->service));
	list_init(&m->rows);
	return m;
}

void keymap_build_index(struct keymap *m)
{
	const uint32_t range = KEYMAP_KEYS / KEYMAP_INDEX_RANGES;
	struct keyrow *r;

	list_for_each_entry(r, &m->rows, link)
		for (uint32_t i = (r->from + range - 1) / range;
		     i <= r->to / range; i++)
			m->first_rows[i] = r;
	m->indexed = keymap_valid(m);
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

		list_init(&n->by_owner);
		list_push_back(&c->rows, &n->link);
	}
	return c;
}

struct keyrow *keymap_append_row(struct keymap *m, uint32_t from, uint32_t to)
{
	struct keyrow *r = mem_new(struct keyrow);

	r->from = from;
	r->to = to;
	list_init(&r->by_owner);
	list_push_back(&m->rows, &r->link);
	m->indexed = false;
	return r;
}

struct keyrow *keymap_find(const struct keymap *m, uint32_t key)
{
	struct keyrow *r;

	if (m->indexed && key < KEYMAP_KEYS) {
		r = m->first_rows[key / (KEYMAP_KEYS / KEYMAP_INDEX_RANGES)];
		while (r->to < key)
			r = list_entry(r->link.next, struct keyrow, link);
		return r;
	}
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
	list_init(&n->by_owner);
	row->to = from - 1;
	list_push_front(&row->link, &n->link);
	return n;
}

void keymap_assign(struct keyrow *row, const struct holder_id *to,
		   uint64_t fence, const char *handover)
{
	row->owner = *to;
	row->fence = fence;
	row->target[0] = '\0';
	mem_copy_str(row->handover, handover, sizeof(row->handover));
}

void keymap_move(struct keymap *m, struct keyrow *row,
		 const struct holder_id *to, const char *handover)
{
	keymap_assign(row, to, ++m->fence, handover);
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

	m->indexed = false;
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

struct keymap_candidate *keymap_candidate_new(const struct holder_id *id)
{
	struct keymap_candidate *c = mem_new(struct keymap_candidate);

	c->id = *id;
	c->weight = 1;
	list_init(&c->link);
	list_init(&c->rows);
	list_init(&c->in_bucket);
	return c;
}

/* Index of the candidates by their id. */
struct candidate_index {
	struct list buckets[CANDIDATE_BUCKETS];
};

static struct list *bucket_of(struct candidate_index *x,
			      const struct holder_id *id)
{
	uint32_t hash = XXH32(id->node, strlen(id->node), (uint32_t)id->born);

	return &x->buckets[hash % CANDIDATE_BUCKETS];
}

static void index_candidates(struct candidate_index *x, struct list *candidates)
{
	struct keymap_candidate *c;

	for (int i = 0; i < CANDIDATE_BUCKETS; i++)
		list_init(&x->buckets[i]);
	list_for_each_entry(c, candidates, link)
		list_push_back(bucket_of(x, &c->id), &c->in_bucket);
}

/* The index lies on the stack of its user, so no link may outlast it. */
static void drop_index(struct list *candidates)
{
	struct keymap_candidate *c;

	list_for_each_entry(c, candidates, link)
		list_init(&c->in_bucket);
}

static struct keymap_candidate *find_candidate(struct candidate_index *x,
					       const struct holder_id *id)
{
	struct keymap_candidate *c;

	list_for_each_entry(c, bucket_of(x, id), in_bucket)
		if (holder_equal(&c->id, id))
			return c;
	return NULL;
}

static uint32_t row_keys(const struct keyrow *r)
{
	return r->to - r->from + 1;
}

void keymap_count_keys(const struct keymap *m, struct list *candidates)
{
	struct candidate_index x;
	struct keymap_candidate *c;
	const struct keyrow *r;

	index_candidates(&x, candidates);
	list_for_each_entry(c, candidates, link)
		c->keys = 0;
	list_for_each_entry(r, &m->rows, link) {
		c = find_candidate(&x, &r->owner);
		if (c)
			c->keys += row_keys(r);
	}
	drop_index(candidates);
}

void keymap_measure_spread(const struct list *candidates,
			   struct keymap_spread *s)
{
	const struct keymap_candidate *c;
	double keys = 0, weight = 0, most = 0, least = KEYMAP_KEYS;

	memset(s, 0, sizeof(*s));
	list_for_each_entry(c, candidates, link) {
		if (!c->weight)
			continue;
		s->candidates++;
		s->without_keys += c->keys <= 0;
		keys += c->keys;
		weight += c->weight;
		if (c->keys / c->weight > most)
			most = c->keys / c->weight;
		if (c->keys / c->weight < least)
			least = c->keys / c->weight;
	}
	if (keys <= 0)
		return;
	s->busiest_over_mean = most * weight / keys;
	s->emptiest_over_mean = least * weight / keys;
}

bool keymap_is_uneven(const struct keymap_spread *s)
{
	return s->without_keys || s->busiest_over_mean > KEYMAP_BALANCE_HIGH ||
	       s->emptiest_over_mean < KEYMAP_BALANCE_LOW;
}

static double keys_for_weight(const struct keymap_candidate *c)
{
	return c->keys / (c->weight ? c->weight : ZERO_WEIGHT_DIVISOR);
}

struct keymap_candidate *keymap_least_loaded(struct list *candidates)
{
	struct keymap_candidate *best = NULL;
	struct keymap_candidate *c;

	list_for_each_entry(c, candidates, link) {
		if (!c->weight)
			continue;
		if (!best || keys_for_weight(c) < keys_for_weight(best))
			best = c;
	}
	return best;
}

static uint32_t rows_to_deal(uint32_t upstreams)
{
	uint32_t per_upstream = KEYMAP_ROWS_PER_UPSTREAM;

	while (per_upstream > 1 &&
	       upstreams * per_upstream > KEYMAP_DEALT_ROWS_MAX)
		per_upstream--;
	return upstreams * per_upstream;
}

static uint32_t count_weighted(const struct list *candidates)
{
	const struct keymap_candidate *c;
	uint32_t n = 0;

	list_for_each_entry(c, candidates, link)
		n += c->weight > 0;
	return n;
}

uint32_t keymap_dealt_row_keys(const struct list *candidates)
{
	uint32_t n = count_weighted(candidates);

	return n ? KEYMAP_KEYS / rows_to_deal(n) : 0;
}

void keymap_deal(struct keymap *m, struct list *candidates)
{
	uint32_t rows = rows_to_deal(count_weighted(candidates));
	uint32_t from = 0;

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

/* What one run of keymap_balance() works with. */
struct balance {
	struct list *candidates;
	double share;	 /* keys of a candidate for a weight of 1 */
	double needed;	 /* keys that have to move */
	double moved;	 /* so far */
	uint32_t piece;	 /* keys of a row in an even map */
	uint32_t givers; /* so far */
	uint32_t givers_max;
};

static uint32_t keys_max(const struct balance *b,
			 const struct keymap_candidate *c)
{
	double keys = b->share * c->weight * KEYMAP_BALANCE_HIGH;

	return c->weight && keys < 1 ? 1 : (uint32_t)keys;
}

static uint32_t keys_min(const struct balance *b,
			 const struct keymap_candidate *c)
{
	double keys = b->share * c->weight * KEYMAP_BALANCE_LOW;

	return c->weight && keys < 1 ? 1 : (uint32_t)keys;
}

/* Sets the shares; the keys have been counted. */
static void measure(struct balance *b)
{
	const struct keymap_candidate *c;
	double keys = 0, weight = 0, excess = 0, lack = 0;
	uint32_t n = count_weighted(b->candidates);

	list_for_each_entry(c, b->candidates, link) {
		keys += c->keys;
		weight += c->weight;
	}
	if (!n)
		return;
	b->share = keys / weight;
	b->piece = keymap_dealt_row_keys(b->candidates);
	if (!b->piece)
		b->piece = 1;
	b->givers_max = n / 4 > KEYMAP_GIVERS_MAX ? n / 4 : KEYMAP_GIVERS_MAX;
	list_for_each_entry(c, b->candidates, link) {
		if (c->keys > keys_max(b, c))
			excess += c->keys - keys_max(b, c);
		if (c->keys < keys_min(b, c))
			lack += keys_min(b, c) - c->keys;
	}
	b->needed = excess > lack ? excess : lack;
}

/* Keys that @c may give to one that has too few. */
static double surplus(const struct balance *b, const struct keymap_candidate *c)
{
	return c->keys - b->share * c->weight * GIVER_KEEPS;
}

/* True if @a is to give keys before @b, which may be NULL. */
static bool gives_before(const struct balance *b,
			 const struct keymap_candidate *a,
			 const struct keymap_candidate *other)
{
	bool over = a->keys > keys_max(b, a);

	if (!other)
		return over || surplus(b, a) >= 1;
	if (over != (other->keys > keys_max(b, other)))
		return over;
	/* One that gives already goes on while it has a surplus. */
	if (a->gives != other->gives)
		return a->gives && (over || surplus(b, a) >= 1);
	return keys_for_weight(a) > keys_for_weight(other);
}

/* The next one to give keys; NULL if nobody may. */
static struct keymap_candidate *next_giver(const struct balance *b)
{
	struct keymap_candidate *best = NULL;
	struct keymap_candidate *c;

	list_for_each_entry(c, b->candidates, link)
		if (!list_empty(&c->rows) &&
		    (c->gives || b->givers < b->givers_max) &&
		    gives_before(b, c, best))
			best = c;
	return best;
}

/*
 * How many keys @from has to give to @to now: those above its limit, else so
 * many that @to has its least; 0 if neither is needed.
 */
static double keys_to_give(const struct balance *b,
			   const struct keymap_candidate *from,
			   const struct keymap_candidate *to)
{
	double room = b->share * to->weight - to->keys;
	double keys = 0;

	if (from->keys > keys_max(b, from)) {
		keys = from->keys - keys_max(b, from);
		if (room < 1)
			room = keys_max(b, to) - to->keys;
	} else if (to->keys < keys_min(b, to)) {
		keys = keys_min(b, to) - to->keys;
		if (keys > surplus(b, from))
			keys = surplus(b, from);
	}
	return keys < room ? keys : room;
}

/* True if the row of @n keys, more than have to move, may move as a whole. */
static bool may_move_whole(const struct balance *b,
			   const struct keymap_candidate *from,
			   const struct keymap_candidate *to, uint32_t n)
{
	return n <= LONG_ROW_PIECES * b->piece &&
	       b->moved + n <= b->needed * WHOLE_ROWS_MOVE_MAX &&
	       from->keys - n >= keys_min(b, from) &&
	       to->keys + n <= keys_max(b, to);
}

/*
 * Takes a row off the list of @from for @to that has @keys keys at most, or a
 * few more: a whole one where that does no harm, else a part of one.
 */
static struct keyrow *take_row(const struct balance *b,
			       struct keymap_candidate *from,
			       const struct keymap_candidate *to, double keys)
{
	struct keyrow *r = list_entry(from->rows.next, struct keyrow, by_owner);
	uint32_t n = (uint32_t)keys;
	uint32_t have = row_keys(r);

	if (have > LONG_ROW_PIECES * b->piece && n > b->piece)
		n = b->piece;
	if (have > n && !may_move_whole(b, from, to, have)) {
		struct keyrow *rest = keymap_split(r, r->from + n);

		list_push_front(&from->rows, &rest->by_owner);
	}
	list_remove(&r->by_owner);
	return r;
}

static void list_rows_by_owner(struct keymap *m, struct list *candidates)
{
	struct candidate_index x;
	struct keymap_candidate *c;
	struct keyrow *r;

	index_candidates(&x, candidates);
	list_for_each_entry(c, candidates, link) {
		c->keys = 0;
		c->gives = false;
		list_init(&c->rows);
	}
	list_for_each_entry(r, &m->rows, link) {
		list_init(&r->by_owner);
		c = find_candidate(&x, &r->owner);
		if (!c)
			continue;
		c->keys += row_keys(r);
		list_push_back(&c->rows, &r->by_owner);
	}
	drop_index(candidates);
}

static void forget_rows_by_owner(struct keymap *m, struct list *candidates)
{
	struct keymap_candidate *c;
	struct keyrow *r;

	list_for_each_entry(r, &m->rows, link)
		list_init(&r->by_owner);
	list_for_each_entry(c, candidates, link)
		list_init(&c->rows);
}

bool keymap_balance(struct keymap *m, struct list *candidates)
{
	struct balance b = {.candidates = candidates};
	struct keymap_candidate *from, *to;

	m->indexed = false;
	list_rows_by_owner(m, candidates);
	measure(&b);
	while (b.needed > 0) {
		struct keyrow *r;
		double keys;

		from = next_giver(&b);
		to = keymap_least_loaded(candidates);
		if (!from || !to || from == to)
			break;
		keys = keys_to_give(&b, from, to);
		if (keys < 1)
			break;
		b.givers += !from->gives;
		from->gives = true;
		r = take_row(&b, from, to, keys);
		mem_copy_str(r->target, to->id.node, sizeof(r->target));
		from->keys -= row_keys(r);
		to->keys += row_keys(r);
		b.moved += row_keys(r);
	}
	forget_rows_by_owner(m, candidates);
	return b.moved > 0;
}
