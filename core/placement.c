#include "core/placement.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

/* Loads may differ from the mean by this much before shards move. */
#define HYSTERESIS_PERCENT 10

static bool member_allowed(const struct view *v, const struct roster *r,
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

static int seat_cmp(const void *a, const void *b)
{
	const struct seat *x = a;
	const struct seat *y = b;

	return (x->inc > y->inc) - (x->inc < y->inc);
}

static void add_members(struct seats *s, const struct view *v,
			const struct roster *r, const struct route *route)
{
	const struct member *m;

	list_for_each_entry(m, &r->members, link) {
		struct seat *seat = &s->items[s->count++];

		seat->inc = m->inc;
		seat->known = m->state != MEMBER_REVOKED;
		seat->allowed = member_allowed(v, r, m, route);
		s->allowed += seat->allowed;
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

/* A shard on its way counts for the node it goes to. */
static struct seat *holder_of(const struct seats *s, const struct shard *sh)
{
	return seats_find(s, sh->target ? sh->target : sh->owner);
}

static void count_load(struct seats *s, const struct shard *sh)
{
	struct seat *seat = holder_of(s, sh);

	if (seat)
		seat->load++;
}

static uint32_t count_loads(struct seats *s, const struct shard_map *map)
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

static void index_loads(struct seats *s, uint32_t shards)
{
	s->load_end = shards + 1;
	s->load_min = shards;
	s->by_load = mem_zalloc(s->load_end, sizeof(*s->by_load));
	for (uint32_t i = 0; i < s->load_end; i++)
		list_init(&s->by_load[i]);
	for (uint32_t i = 0; i < s->count; i++) {
		struct seat *seat = &s->items[i];

		list_init(&seat->link);
		if (!seat->allowed)
			continue;
		list_push_back(&s->by_load[seat->load], &seat->link);
		if (seat->load < s->load_min)
			s->load_min = seat->load;
		if (seat->load > s->load_max)
			s->load_max = seat->load;
	}
}

void seats_init(struct seats *s, const struct view *v,
		const struct route *route, const struct shard_map *map)
{
	const struct doc *d = NULL;

	memset(s, 0, sizeof(*s));
	s->items = mem_zalloc(count_members(v), sizeof(*s->items));
	while ((d = view_next(v, DOC_ROSTER, d)))
		add_members(s, v, d->u.roster, route);
	if (s->count)
		qsort(s->items, s->count, sizeof(*s->items), seat_cmp);
	index_loads(s, map ? count_loads(s, map) : 0);
}

void seats_done(struct seats *s)
{
	free(s->items);
	free(s->by_load);
}

struct seat *seats_find(const struct seats *s, incarnation_t inc)
{
	struct seat key = {.inc = inc};

	if (!s->count)
		return NULL;
	return bsearch(&key, s->items, s->count, sizeof(*s->items), seat_cmp);
}

static void set_load(struct seats *s, struct seat *seat, uint32_t load)
{
	seat->load = load;
	if (!seat->allowed)
		return;
	list_remove(&seat->link);
	list_push_back(&s->by_load[load], &seat->link);
	if (load < s->load_min)
		s->load_min = load;
	if (load > s->load_max)
		s->load_max = load;
}

static struct seat *least_loaded(struct seats *s)
{
	if (!s->allowed)
		return NULL;
	while (list_empty(&s->by_load[s->load_min]))
		s->load_min++;
	return list_entry(s->by_load[s->load_min].next, struct seat, link);
}

static struct seat *most_loaded(struct seats *s)
{
	if (!s->allowed)
		return NULL;
	while (list_empty(&s->by_load[s->load_max]))
		s->load_max--;
	return list_entry(s->by_load[s->load_max].next, struct seat, link);
}

/* An owner lost in a planned move: the shard goes where it was to go. */
static void fill_one(struct shard *sh, struct seats *s)
{
	struct seat *target = sh->target ? seats_find(s, sh->target) : NULL;
	struct seat *to = least_loaded(s);

	if (target && target->allowed) {
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
	struct seats s;
	uint32_t n = 0;

	seats_init(&s, v, route, map);
	for (uint32_t i = 0; s.allowed && i < map->count; i++) {
		if (seats_find(&s, map->shards[i].owner))
			continue;
		fill_one(&map->shards[i], &s);
		n++;
	}
	list_for_each_entry(p, &map->pinned, link) {
		if (!s.allowed || seats_find(&s, p->shard.owner))
			continue;
		fill_one(&p->shard, &s);
		n++;
	}
	seats_done(&s);
	return n;
}

uint32_t placement_count_orphans(const struct shard_map *map,
				 const struct view *v,
				 const struct route *route)
{
	struct seats s;
	uint32_t n = 0;

	seats_init(&s, v, route, map);
	for (uint32_t i = 0; s.allowed && i < map->count; i++)
		n += !seats_find(&s, map->shards[i].owner);
	seats_done(&s);
	return n;
}

/* Off owners that may not keep it, and off targets that can't take it. */
static uint32_t plan_forced(struct shard_map *map, struct seats *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < map->count; i++) {
		struct shard *sh = &map->shards[i];
		struct seat *holder = holder_of(s, sh);
		struct seat *to = least_loaded(s);

		if ((holder && holder->allowed) || !to)
			continue;
		if (!seats_find(s, sh->owner) || to->inc == sh->owner)
			continue;
		if (holder)
			set_load(s, holder, holder->load - 1);
		set_load(s, to, to->load + 1);
		sh->target = to->inc;
		n++;
	}
	return n;
}

static uint32_t plan_balance(struct shard_map *map, struct seats *s)
{
	uint32_t mean = map->count / s->allowed;
	uint32_t slack = mean * HYSTERESIS_PERCENT / 100 + 1;
	uint32_t n = 0;

	if (most_loaded(s)->load <= mean + slack &&
	    least_loaded(s)->load + slack >= mean)
		return 0;
	for (uint32_t i = 0; i < map->count; i++) {
		struct shard *sh = &map->shards[i];
		struct seat *from = seats_find(s, sh->owner);
		struct seat *to = least_loaded(s);

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
	struct seats s;
	uint32_t n = 0;

	seats_init(&s, v, route, map);
	if (s.allowed)
		n = plan_forced(map, &s);
	seats_done(&s);
	return n;
}

uint32_t placement_plan_balance(struct shard_map *map, const struct view *v,
				const struct route *route)
{
	struct seats s;
	uint32_t n = 0;

	seats_init(&s, v, route, map);
	if (s.allowed)
		n = plan_balance(map, &s);
	seats_done(&s);
	return n;
}
