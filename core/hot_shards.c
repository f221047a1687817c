#include "core/hot_shards.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

#define KEEP_NS		   (30 * NS_PER_S)
#define REST_NS		   (60 * NS_PER_S)
/* A move must leave the target with at most this share of the old heat. */
#define HYSTERESIS_PERCENT 75

void hot_shards_init(struct hot_shards *h)
{
	memset(h, 0, sizeof(*h));
	list_init(&h->items);
}

static void forget(struct hot_shards *h, struct hot_shard *s)
{
	list_remove(&s->link);
	free(s);
	h->count--;
}

void hot_shards_done(struct hot_shards *h)
{
	struct hot_shard *s, *tmp;

	list_for_each_entry_safe(s, tmp, &h->items, link)
		forget(h, s);
}

static struct hot_shard *find(struct hot_shards *h, const struct hot_report *r)
{
	struct hot_shard *s;

	list_for_each_entry(s, &h->items, link)
		if (s->shard == r->shard && !strcmp(s->route, r->route))
			return s;
	return NULL;
}

static void rank(struct hot_shards *h, struct hot_shard *s)
{
	struct hot_shard *pos;

	list_remove(&s->link);
	list_for_each_entry(pos, &h->items, link)
		if (pos->rate < s->rate)
			break;
	list_insert_before(&pos->link, &s->link);
}

void hot_shards_add(struct hot_shards *h, const struct hot_report *r,
		    uint64_t now_ns)
{
	struct hot_shard *s = find(h, r);

	if (!s && h->count >= HOT_SHARDS_MAX)
		return;
	if (!s) {
		s = mem_new(struct hot_shard);
		list_init(&s->link);
		mem_copy_str(s->route, r->route, sizeof(s->route));
		s->shard = r->shard;
		h->count++;
	}
	s->rate = r->rate;
	s->until_ns = now_ns + KEEP_NS;
	h->fresh = true;
	rank(h, s);
}

static void expire(struct hot_shards *h, uint64_t now_ns)
{
	struct hot_shard *s, *tmp;

	list_for_each_entry_safe(s, tmp, &h->items, link)
		if (now_ns >= s->until_ns)
			forget(h, s);
}

static bool of_route(const struct hot_shard *s, const struct shard_map *map)
{
	return !strcmp(s->route, map->route) && s->shard < map->count;
}

static struct seat *holder(const struct seats *seats, const struct shard *sh)
{
	return seats_find(seats, sh->target ? sh->target : sh->owner);
}

static void count_heat(const struct hot_shards *h, const struct shard_map *map,
		       struct seats *seats)
{
	const struct hot_shard *s;

	list_for_each_entry(s, &h->items, link) {
		struct seat *seat;

		if (!of_route(s, map))
			continue;
		seat = holder(seats, &map->shards[s->shard]);
		if (seat)
			seat->heat += s->rate;
	}
}

/* Among equals the one with the fewest shards. */
static struct seat *coolest(const struct seats *seats)
{
	struct seat *best = NULL;

	for (uint32_t i = 0; i < seats->count; i++) {
		struct seat *s = &seats->items[i];

		if (!s->allowed)
			continue;
		if (!best || s->heat < best->heat ||
		    (s->heat == best->heat && s->load < best->load))
			best = s;
	}
	return best;
}

/* The move must be worth it and leave the owner some heat of its own. */
static bool worth_moving(const struct hot_shard *s, const struct seat *from,
			 const struct seat *to)
{
	return from && to && from != to && from->heat > s->rate &&
	       (to->heat + s->rate) * 100 <= from->heat * HYSTERESIS_PERCENT;
}

uint32_t hot_shards_plan(struct hot_shards *h, struct shard_map *map,
			 const struct view *v, const struct route *route,
			 uint64_t now_ns)
{
	struct hot_shard *s;
	struct seats seats;
	uint32_t n = 0;

	expire(h, now_ns);
	if (list_empty(&h->items))
		return 0;
	seats_init(&seats, v, route, map);
	count_heat(h, map, &seats);
	list_for_each_entry(s, &h->items, link) {
		struct seat *from, *to;

		if (!of_route(s, map) || map->shards[s->shard].target ||
		    now_ns < s->rest_ns)
			continue;
		from = holder(&seats, &map->shards[s->shard]);
		to = coolest(&seats);
		if (!worth_moving(s, from, to))
			continue;
		from->heat -= s->rate;
		to->heat += s->rate;
		map->shards[s->shard].target = to->inc;
		s->rest_ns = now_ns + REST_NS;
		n++;
	}
	seats_done(&seats);
	return n;
}
