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
		struct seat *seat;

		s->items =
			mem_realloc(s->items, s->count + 1, sizeof(*s->items));
		seat = &s->items[s->count++];
		memset(seat, 0, sizeof(*seat));
		seat->inc = m->inc;
		seat->known = m->state != MEMBER_REVOKED;
		seat->allowed = member_allowed(v, r, m, route);
		s->allowed += seat->allowed;
	}
}

void seats_init(struct seats *s, const struct view *v,
		const struct route *route, const struct shard_map *map)
{
	const struct doc *d = NULL;

	memset(s, 0, sizeof(*s));
	while ((d = view_next(v, DOC_ROSTER, d)))
		add_members(s, v, d->u.roster, route);
	if (s->count)
		qsort(s->items, s->count, sizeof(*s->items), seat_cmp);
	for (uint32_t i = 0; map && i < map->count; i++) {
		const struct shard *sh = &map->shards[i];
		struct seat *seat =
			seats_find(s, sh->target ? sh->target : sh->owner);

		if (seat)
			seat->load++;
	}
}

void seats_done(struct seats *s)
{
	free(s->items);
}

struct seat *seats_find(const struct seats *s, incarnation_t inc)
{
	struct seat key = {.inc = inc};

	if (!s->count)
		return NULL;
	return bsearch(&key, s->items, s->count, sizeof(*s->items), seat_cmp);
}

static struct seat *least_loaded(const struct seats *s)
{
	struct seat *best = NULL;

	for (uint32_t i = 0; i < s->count; i++) {
		struct seat *seat = &s->items[i];

		if (seat->allowed && (!best || seat->load < best->load))
			best = seat;
	}
	return best;
}

static struct seat *most_loaded(const struct seats *s)
{
	struct seat *best = NULL;

	for (uint32_t i = 0; i < s->count; i++) {
		struct seat *seat = &s->items[i];

		if (seat->allowed && (!best || seat->load > best->load))
			best = seat;
	}
	return best;
}

static void fill_one(struct shard *sh, struct seats *s)
{
	struct seat *to = least_loaded(s);

	if (!to)
		return;
	to->load++;
	shard_assign(sh, to->inc);
}

uint32_t placement_fill(struct shard_map *map, const struct view *v,
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

uint32_t placement_orphans(const struct shard_map *map, const struct view *v,
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
		struct seat *holder =
			seats_find(s, sh->target ? sh->target : sh->owner);
		struct seat *to = least_loaded(s);

		if ((holder && holder->allowed) || !to)
			continue;
		if (!seats_find(s, sh->owner) || to->inc == sh->owner)
			continue;
		if (holder)
			holder->load--;
		to->load++;
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
		from->load--;
		to->load++;
		sh->target = to->inc;
		n++;
	}
	return n;
}

uint32_t placement_plan(struct shard_map *map, const struct view *v,
			const struct route *route)
{
	struct seats s;
	uint32_t n = 0;

	seats_init(&s, v, route, map);
	if (s.allowed)
		n = plan_forced(map, &s) + plan_balance(map, &s);
	seats_done(&s);
	return n;
}
