/*
 * What counting keys costs a request, and how evenly nodes are loaded when
 * 41 hot keys carry a third of all requests: with the shards as placed by
 * number (baseline) and after the planner moved hot shards apart. The load
 * is the busiest node's share, as a multiple of the mean.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "core/hot_shards.h"
#include "core/mem.h"
#include "core/rng.h"
#include "core/text.h"

#define SHARDS	 16384
#define HOT	 41
#define TRIALS	 20
#define REQUESTS 2000000

struct load {
	struct view v;
	struct route route;
	struct shard_map *map;
	uint32_t nodes;
	uint32_t hot[HOT]; /* shards */
};

static void load_init(struct load *l, uint32_t nodes, uint64_t seed)
{
	struct doc *d = doc_new(DOC_ROSTER, "dc");
	struct rng rng;

	rng_init(&rng, seed);
	view_init(&l->v);
	l->route = (struct route){.name = "r", .service = "live"};
	l->nodes = nodes;
	l->map = shard_map_new("r", SHARDS);
	d->revision = 1;
	d->u.roster = roster_new("dc", "region");
	for (uint32_t i = 1; i <= nodes; i++)
		mem_copy_str(roster_add(d->u.roster, "n", i)->service, "live",
			     JD_NAME_MAX);
	view_apply(&l->v, d);
	placement_assign_orphans(l->map, &l->v, &l->route);
	for (int i = 0; i < HOT; i++)
		l->hot[i] = (uint32_t)rng_below(&rng, SHARDS);
}

static void load_done(struct load *l)
{
	shard_map_delete(l->map);
	view_done(&l->v);
}

/* Two thirds evenly over all shards, one third over the hot keys. */
static double busiest(const struct load *l)
{
	double *node = mem_zalloc(l->nodes + 1, sizeof(*node));
	double most = 0;

	for (uint32_t i = 0; i < SHARDS; i++)
		node[l->map->shards[i].owner] += 2.0 / 3 / SHARDS;
	for (int i = 0; i < HOT; i++)
		node[l->map->shards[l->hot[i]].owner] += 1.0 / 3 / HOT;
	for (uint32_t i = 1; i <= l->nodes; i++)
		if (node[i] > most)
			most = node[i];
	free(node);
	return most * l->nodes;
}

static uint32_t move_apart(struct load *l)
{
	struct hot_shards h;
	uint32_t n;

	hot_shards_init(&h);
	for (int i = 0; i < HOT; i++) {
		struct hot_report r = {
			.route = "r", .shard = l->hot[i], .rate = 1000};

		hot_shards_add(&h, &r, 0);
	}
	n = hot_shards_plan(&h, l->map, &l->v, &l->route, 0);
	for (uint32_t i = 0; i < SHARDS; i++)
		if (l->map->shards[i].target)
			shard_assign(&l->map->shards[i],
				     l->map->shards[i].target);
	hot_shards_done(&h);
	return n;
}

static void imbalance(uint32_t nodes)
{
	double before = 0, after = 0;
	uint32_t moves = 0;

	for (uint64_t seed = 1; seed <= TRIALS; seed++) {
		struct load l;

		load_init(&l, nodes, seed);
		before += busiest(&l) / TRIALS;
		moves += move_apart(&l);
		after += busiest(&l) / TRIALS;
		load_done(&l);
	}
	printf("nodes=%u moves=%.1f\n", nodes, (double)moves / TRIALS);
	printf("bench: name=hot_imbalance_n%u ours=%.3f baseline=%.3f "
	       "ratio=%.3f\n",
	       nodes, after, before, after / before);
}

static void counting(void)
{
	struct hot_keys *h = mem_new(struct hot_keys);
	struct timespec a, b;
	struct rng rng;

	rng_init(&rng, 1);
	hot_keys_init(h);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &a);
	for (uint32_t i = 0; i < REQUESTS; i++) {
		uint64_t r = rng_next(&rng);
		char key[32];

		text_format(key, sizeof(key), "porch-%lu",
			    (unsigned long)(r % 3 ? r % 1000000 : r % 41));
		hot_keys_count(h, "r", 1, key);
	}
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &b);
	printf("bench: name=hot_keys_count_ns value=%.1f\n",
	       ((double)(b.tv_sec - a.tv_sec) * 1e9 +
		(double)(b.tv_nsec - a.tv_nsec)) /
		       REQUESTS);
	printf("bench: name=hot_keys_bytes value=%zu\n", sizeof(*h));
	free(h);
}

int main(void)
{
	imbalance(6);
	imbalance(70);
	imbalance(710);
	counting();
	return EXIT_SUCCESS;
}
