#include "core/placement.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

/* Share of the mean, plus 1, by which loads may differ before shards move. */
#define BALANCE_HYSTERESIS_PERCENT 10

static bool member_eligible(const struct view *v, const struct roster *r,
			    const struct member *m, const struct route *route)
{
	const struct manifest *mf = view_manifest(v);
	const struct data_centre *dc =
		mf ? manifest_data_centre(mf, r->dc) : NULL;

	if (m->state != MEMBER_UP || strcmp(m->service, route->service) != 0)
		return false;
	if (dc && dc->state != DC_IN)
		return false;
	return region_set_allows(&route->home_regions, r->region);
}

static int node_load_cmp(const void *a, const void *b)
{
	const struct node_load *x = a;
	const struct node_load *y = b;

	return (x->inc > y->inc) - (x->inc < y->inc);
}

static void add_members(struct node_loads *s, const struct view *v,
			const struct roster *r, const struct route *route)
{
	const struct member *m;

	list_for_each_entry(m, &r->members, link) {
		struct node_load *node = &s->items[s->count++];

		node->inc = m->inc;
		node->known = m->state != MEMBER_REVOKED;
		node->eligible = member_eligible(v, r, m, route);
		s->eligible_count += node->eligible;
	}
}

static uint32_t count_members(const struct view *v)
{
	const struct doc *d = NULL;
	uint32_t n = 0;

	while ((d = view_next(v, DOC_ROSTER, d))) {
		const struct member *m;

		list_for_each_entry(m, &d->u.roster->members, link)
			n++;
	}
	return n;
}

/* The target of a planned move, or else the owner; NULL when in no roster. */
static struct node_load *expected_owner(const struct node_loads *s,
					const struct shard *sh)
{
	return node_loads_find(s, sh->target ? sh->target : sh->owner);
}

static void count_load(struct node_loads *s, const struct shard *sh)
{
	struct node_load *node = expected_owner(s, sh);

	if (node)
		node->load++;
}

static uint32_t count_loads(struct node_loads *s, const struct shard_map *map)
{
	const struct pinned_key *p;
	uint32_t n = map->count;

	for (uint32_t i = 0; i < map->count; i++)
		count_load(s, &map->shards[i]);
	list_for_each_entry(p, &map->pinned, link) {
		count_load(s, &p->shard);
		n++;
	}
	return n;
}

static void index_loads(struct node_loads *s, uint32_t shards)
{
	s->load_end = shards + 1;
	s->load_min = shards;
	s->by_load = mem_zalloc(s->load_end, sizeof(*s->by_load));
	for (uint32_t i = 0; i < s->load_end; i++)
		list_init(&s->by_load[i]);
	for (uint32_t i = 0; i < s->count; i++) {
		struct node_load *node = &s->items[i];

		list_init(&node->link);
		if (!node->eligible)
			continue;
		list_push_back(&s->by_load[node->load], &node->link);
		if (node->load < s->load_min)
			s->load_min = node->load;
		if (node->load > s->load_max)
			s->load_max = node->load;
	}
}

void node_loads_init(struct node_loads *s, const struct view *v,
		     const struct route *route, const struct shard_map *map)
{
	const struct doc *d = NULL;

	memset(s, 0, sizeof(*s));
	s->items = mem_zalloc(count_members(v), sizeof(*s->items));
	while ((d = view_next(v, DOC_ROSTER, d)))
		add_members(s, v, d->u.roster, route);
	if (s->count)
		qsort(s->items, s->count, sizeof(*s->items), node_load_cmp);
	index_loads(s, map ? count_loads(s, map) : 0);
}

void node_loads_done(struct node_loads *s)
{
	free(s->items);
	free(s->by_load);
}

struct node_load *node_loads_find(const struct node_loads *s, incarnation_t inc)
{
	struct node_load key = {.inc = inc};

	if (!s->count)
		return NULL;
	return bsearch(&key, s->items, s->count, sizeof(*s->items),
		       node_load_cmp);
}

static void set_load(struct node_loads *s, struct node_load *node,
		     uint32_t load)
{
	node->load = load;
	if (!node->eligible)
		return;
	list_remove(&node->link);
	list_push_back(&s->by_load[load], &node->link);
	if (load < s->load_min)
		s->load_min = load;
	if (load > s->load_max)
		s->load_max = load;
}

static struct node_load *least_loaded(struct node_loads *s)
{
	if (!s->eligible_count)
		return NULL;
	while (list_empty(&s->by_load[s->load_min]))
		s->load_min++;
	return list_entry(s->by_load[s->load_min].next, struct node_load, link);
}

static struct node_load *most_loaded(struct node_loads *s)
{
	if (!s->eligible_count)
		return NULL;
	while (list_empty(&s->by_load[s->load_max]))
		s->load_max--;
	return list_entry(s->by_load[s->load_max].next, struct node_load, link);
}

/* A shard that loses its owner during a planned move goes to its target. */
static void assign_orphan(struct shard *sh, struct node_loads *s)
{
	struct node_load *target =
		sh->target ? node_loads_find(s, sh->target) : NULL;
	struct node_load *to = least_loaded(s);

	if (target && target->eligible) {
		shard_assign(sh, target->inc);
		return;
	}
	if (!to)
		return;
	if (target)
		set_load(s, target, target->load - 1);
	set_load(s, to, to->load + 1);
	shard_assign(sh, to->inc);
}

uint32_t placement_assign_orphans(struct shard_map *map, const struct view *v,
				  const struct route *route)
{
	struct pinned_key *p;
	struct node_loads s;
	uint32_t n = 0;

	node_loads_init(&s, v, route, map);
	for (uint32_t i = 0; s.eligible_count && i < map->count; i++) {
		if (node_loads_find(&s, map->shards[i].owner))
			continue;
		assign_orphan(&map->shards[i], &s);
		n++;
	}
	list_for_each_entry(p, &map->pinned, link) {
		if (!s.eligible_count || node_loads_find(&s, p->shard.owner))
			continue;
		assign_orphan(&p->shard, &s);
		n++;
	}
	node_loads_done(&s);
	return n;
}

uint32_t placement_count_orphans(const struct shard_map *map,
				 const struct view *v,
				 const struct route *route)
{
	struct node_loads s;
	uint32_t n = 0;

	node_loads_init(&s, v, route, map);
	for (uint32_t i = 0; s.eligible_count && i < map->count; i++)
		n += !node_loads_find(&s, map->shards[i].owner);
	node_loads_done(&s);
	return n;
}

/* Moves shards off owners, and away from targets, that are not eligible. */
static uint32_t plan_forced(struct shard_map *map, struct node_loads *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < map->count; i++) {
		struct shard *sh = &map->shards[i];
		struct node_load *expected = expected_owner(s, sh);
		struct node_load *to = least_loaded(s);

		if ((expected && expected->eligible) || !to)
			continue;
		if (!node_loads_find(s, sh->owner) || to->inc == sh->owner)
			continue;
		if (expected)
			set_load(s, expected, expected->load - 1);
		set_load(s, to, to->load + 1);
		sh->target = to->inc;
		n++;
	}
	return n;
}

static uint32_t plan_balance(struct shard_map *map, struct node_loads *s)
{
	uint32_t mean = map->count / s->eligible_count;
	uint32_t slack = mean * BALANCE_HYSTERESIS_PERCENT / 100 + 1;
	uint32_t n = 0;

	if (most_loaded(s)->load <= mean + slack &&
	    least_loaded(s)->load + slack >= mean)
		return 0;
	for (uint32_t i = 0; i < map->count; i++) {
		struct shard *sh = &map->shards[i];
		struct node_load *from = node_loads_find(s, sh->owner);
		struct node_load *to = least_loaded(s);

		if (!from || sh->target || from->load <= mean + 1 ||
		    to->load >= mean)
			continue;
		set_load(s, from, from->load - 1);
		set_load(s, to, to->load + 1);
		sh->target = to->inc;
		n++;
	}
	return n;
}

uint32_t placement_plan_forced(struct shard_map *map, const struct view *v,
			       const struct route *route)
{
	struct node_loads s;
	uint32_t n = 0;

	node_loads_init(&s, v, route, map);
	if (s.eligible_count)
		n = plan_forced(map, &s);
	node_loads_done(&s);
	return n;
}

uint32_t placement_plan_balance(struct shard_map *map, const struct view *v,
				const struct route *route)
{
	struct node_loads s;
	uint32_t n = 0;

	node_loads_init(&s, v, route, map);
	if (s.eligible_count)
		n = plan_balance(map, &s);
	node_loads_done(&s);
	return n;
}
