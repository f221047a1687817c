#include "core/hot_shards.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

#define REPORT_TTL_NS		(30 * NS_PER_S)
/* Time between two moves of one shard. */
#define MOVE_INTERVAL_NS	(60 * NS_PER_S)
/*
 * A shard moves only if the target's hot rate after the move is at most this
 * share of the owner's hot rate before it.
 */
#define TARGET_RATE_MAX_PERCENT 75

void hot_shards_init(struct hot_shards *h)
{
	memset(h, 0, sizeof(*h));
	list_init(&h->items);
}

static void remove_shard(struct hot_shards *h, struct hot_shard *s)
{
	list_remove(&s->link);
	free(s);
	h->count--;
}

void hot_shards_done(struct hot_shards *h)
{
	struct hot_shard *s, *tmp;

	list_for_each_entry_safe(s, tmp, &h->items, link)
		remove_shard(h, s);
}

static struct hot_shard *find(struct hot_shards *h, const struct hot_report *r)
{
	struct hot_shard *s;

	list_for_each_entry(s, &h->items, link)
		if (s->shard == r->shard && !strcmp(s->route, r->route))
			return s;
	return NULL;
}

static void update_rank(struct hot_shards *h, struct hot_shard *s)
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
	s->expires_ns = now_ns + REPORT_TTL_NS;
	h->new_reports = true;
	update_rank(h, s);
}

static void remove_expired(struct hot_shards *h, uint64_t now_ns)
{
	struct hot_shard *s, *tmp;

	list_for_each_entry_safe(s, tmp, &h->items, link)
		if (now_ns >= s->expires_ns)
			remove_shard(h, s);
}

static bool is_in_map(const struct hot_shard *s, const struct shard_map *map)
{
	return !strcmp(s->route, map->route) && s->shard < map->count;
}

/* The target of a planned move, or else the owner; NULL when in no roster. */
static struct node_load *expected_owner(const struct node_loads *loads,
					const struct shard *sh)
{
	return node_loads_find(loads, sh->target ? sh->target : sh->owner);
}

static void sum_hot_rates(const struct hot_shards *h,
			  const struct shard_map *map, struct node_loads *loads)
{
	const struct hot_shard *s;

	list_for_each_entry(s, &h->items, link) {
		struct node_load *node;

		if (!is_in_map(s, map))
			continue;
		node = expected_owner(loads, &map->shards[s->shard]);
		if (node)
			node->hot_rate += s->rate;
	}
}

/* Among nodes with equal hot rates, the one with the fewest shards. */
static struct node_load *lowest_hot_rate(const struct node_loads *loads)
{
	struct node_load *best = NULL;

	for (uint32_t i = 0; i < loads->count; i++) {
		struct node_load *s = &loads->items[i];

		if (!s->eligible)
			continue;
		if (!best || s->hot_rate < best->hot_rate ||
		    (s->hot_rate == best->hot_rate && s->load < best->load))
			best = s;
	}
	return best;
}

/*
 * Only a node with other hot shards gives one away: moving its only one would
 * just move the load to another node.
 */
static bool worth_moving(const struct hot_shard *s,
			 const struct node_load *from,
			 const struct node_load *to)
{
	return from && to && from != to && from->hot_rate > s->rate &&
	       (to->hot_rate + s->rate) * 100 <=
		       from->hot_rate * TARGET_RATE_MAX_PERCENT;
}

uint32_t hot_shards_plan(struct hot_shards *h, struct shard_map *map,
			 const struct view *v, const struct route *route,
			 uint64_t now_ns)
{
	struct hot_shard *s;
	struct node_loads loads;
	uint32_t n = 0;

	remove_expired(h, now_ns);
	if (list_empty(&h->items))
		return 0;
	node_loads_init(&loads, v, route, map);
	sum_hot_rates(h, map, &loads);
	list_for_each_entry(s, &h->items, link) {
		struct node_load *from, *to;

		if (!is_in_map(s, map) || map->shards[s->shard].target ||
		    now_ns < s->next_move_ns)
			continue;
		from = expected_owner(&loads, &map->shards[s->shard]);
		to = lowest_hot_rate(&loads);
		if (!worth_moving(s, from, to))
			continue;
		from->hot_rate -= s->rate;
		to->hot_rate += s->rate;
		map->shards[s->shard].target = to->inc;
		s->next_move_ns = now_ns + MOVE_INTERVAL_NS;
		n++;
	}
	node_loads_done(&loads);
	return n;
}
