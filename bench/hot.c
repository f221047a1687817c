/*
 * Measures the processor time of counting a request's key, and the load of
 * the busiest node, as a multiple of the mean, when 41 hot keys get a third of
 * all requests: with equal numbers of shards on each node (baseline), and after
 * the planner has spread the hot shards over the nodes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "core/hot_shards.h"
#include "core/mem.h"
#include "core/rng.h"
#include "core/text.h"

#define SHARDS	 16384
#define HOT_KEYS 41
#define TRIALS	 20
#define KEYS	 1000000
#define REQUESTS 2000000

struct trial {
	struct view v;
	struct route route;
	struct shard_map *map;
	uint32_t nodes;
	uint32_t hot_shard[HOT_KEYS]; /* index of each hot key's shard */
};

static void trial_init(struct trial *t, uint32_t nodes, uint64_t seed)
{
	struct doc *d = doc_new(DOC_ROSTER, "dc");
	struct rng rng;

	rng_init(&rng, seed);
	view_init(&t->v);
	t->route = (struct route){.name = "r", .service = "live"};
	t->nodes = nodes;
	t->map = shard_map_new("r", SHARDS);
	d->revision = 1;
	d->u.roster = roster_new("dc", "region");
	for (uint32_t i = 1; i <= nodes; i++)
		mem_copy_str(roster_add(d->u.roster, "n", i)->service, "live",
			     JD_NAME_MAX);
	view_apply(&t->v, d);
	placement_assign_orphans(t->map, &t->v, &t->route);
	for (int i = 0; i < HOT_KEYS; i++)
		t->hot_shard[i] = (uint32_t)rng_below(&rng, SHARDS);
}

static void trial_done(struct trial *t)
{
	shard_map_delete(t->map);
	view_done(&t->v);
}

/*
 * Load of the busiest node as a multiple of the mean, with two thirds of the
 * requests spread evenly over all shards and one third over the hot keys.
 */
static double max_load(const struct trial *t)
{
	double *node_load = mem_zalloc(t->nodes + 1, sizeof(*node_load));
	double max = 0;

	for (uint32_t i = 0; i < SHARDS; i++)
		node_load[t->map->shards[i].owner] += 2.0 / 3 / SHARDS;
	for (int i = 0; i < HOT_KEYS; i++)
		node_load[t->map->shards[t->hot_shard[i]].owner] +=
			1.0 / 3 / HOT_KEYS;
	for (uint32_t i = 1; i <= t->nodes; i++)
		if (node_load[i] > max)
			max = node_load[i];
	free(node_load);
	return max * t->nodes;
}

/* Carries out the planner's moves of hot shards; returns their number. */
static uint32_t spread_hot_shards(struct trial *t)
{
	struct hot_shards h;
	uint32_t n;

	hot_shards_init(&h);
	for (int i = 0; i < HOT_KEYS; i++) {
		struct hot_report r = {
			.route = "r", .shard = t->hot_shard[i], .rate = 1000};

		hot_shards_add(&h, &r, 0);
	}
	n = hot_shards_plan(&h, t->map, &t->v, &t->route, 0);
	for (uint32_t i = 0; i < SHARDS; i++)
		if (t->map->shards[i].target)
			shard_assign(&t->map->shards[i],
				     t->map->shards[i].target);
	hot_shards_done(&h);
	return n;
}

static void measure_imbalance(uint32_t nodes)
{
	double before = 0, after = 0;
	uint32_t moves = 0;

	for (uint64_t seed = 1; seed <= TRIALS; seed++) {
		struct trial t;

		trial_init(&t, nodes, seed);
		before += max_load(&t) / TRIALS;
		moves += spread_hot_shards(&t);
		after += max_load(&t) / TRIALS;
		trial_done(&t);
	}
	printf("nodes=%u moves=%.1f\n", nodes, (double)moves / TRIALS);
	printf("bench: name=hot_imbalance_n%u ours=%.3f baseline=%.3f "
	       "ratio=%.3f\n",
	       nodes, after, before, after / before);
}

static void measure_counting(void)
{
	struct hot_keys *h = mem_new(struct hot_keys);
	struct timespec start, end;
	struct rng rng;

	rng_init(&rng, 1);
	hot_keys_init(h);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &start);
	for (uint32_t i = 0; i < REQUESTS; i++) {
		uint64_t r = rng_next(&rng);
		char key[32];

		text_format(key, sizeof(key), "porch-%lu",
			    (unsigned long)(r % 3 ? r % KEYS : r % HOT_KEYS));
		hot_keys_count(h, "r", 1, key);
	}
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &end);
	printf("bench: name=hot_keys_count_ns value=%.1f\n",
	       ((double)(end.tv_sec - start.tv_sec) * 1e9 +
		(double)(end.tv_nsec - start.tv_nsec)) /
		       REQUESTS);
	printf("bench: name=hot_keys_bytes value=%zu\n", sizeof(*h));
	free(h);
}

int main(void)
{
	measure_imbalance(6);
	measure_imbalance(70);
	measure_imbalance(710);
	measure_counting();
	return EXIT_SUCCESS;
}
