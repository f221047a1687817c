/*
 * Measures the share of shards that change their owner when one node leaves
 * the fleet, and the processor time that placement takes. The minimum is the
 * share that the leaving node owned; plain modulo placement (shard mod nodes)
 * is the baseline.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "core/mem.h"
#include "core/placement.h"
#include "core/text.h"

#define SHARDS 16384
#define DCS    7
#define ALL_IN UINT32_MAX /* no node has left */

/* 2^64 divided by the golden ratio: spreads incarnations evenly. */
#define INCARNATION_STEP UINT64_C(0x9e3779b97f4a7c15)

/* The roster of data centre @dc without node @left_node (ALL_IN: with all). */
static struct doc *new_roster(uint32_t dc, uint32_t nodes, uint32_t left_node)
{
	char name[JD_NAME_MAX];
	struct doc *d;

	text_format(name, sizeof(name), "dc%u", dc);
	d = doc_new(DOC_ROSTER, name);
	d->revision = left_node == ALL_IN ? 1 : 2;
	d->u.roster = roster_new(name, "region");
	for (uint32_t i = dc; i < nodes; i += DCS) {
		struct member *m;

		if (i == left_node)
			continue;
		m = roster_add(d->u.roster, "node", (i + 1) * INCARNATION_STEP);
		mem_copy_str(m->service, "live", sizeof(m->service));
	}
	return d;
}

static void fill_view(struct view *v, uint32_t nodes, uint32_t left_node)
{
	for (uint32_t dc = 0; dc < DCS; dc++)
		view_apply(v, new_roster(dc, nodes, left_node));
}

static uint32_t count_owner_changes(const struct shard_map *a,
				    const struct shard_map *b)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < a->count; i++)
		n += a->shards[i].owner != b->shards[i].owner;
	return n;
}

/* The share of shards whose owner changes under modulo placement. */
static double modulo_moved_share(uint32_t nodes)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < SHARDS; i++)
		n += i % nodes != i % (nodes - 1);
	return (double)n / SHARDS;
}

static double cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static void measure_leave(uint32_t nodes)
{
	struct route route = {.kind = ROUTE_KEYED, .service = "live"};
	struct shard_map *map = shard_map_new("live", SHARDS);
	struct shard_map *before;
	struct view v;
	double moved_share, fill_ms, leave_ms;

	view_init(&v);
	fill_view(&v, nodes, ALL_IN);
	fill_ms = cpu_ms();
	placement_assign_orphans(map, &v, &route);
	fill_ms = cpu_ms() - fill_ms;
	before = shard_map_copy(map);
	fill_view(&v, nodes, nodes / 2);
	leave_ms = cpu_ms();
	placement_assign_orphans(map, &v, &route);
	placement_plan_forced(map, &v, &route);
	placement_plan_balance(map, &v, &route);
	leave_ms = cpu_ms() - leave_ms;
	for (uint32_t i = 0; i < map->count; i++)
		if (map->shards[i].target)
			shard_assign(&map->shards[i], map->shards[i].target);
	moved_share = (double)count_owner_changes(before, map) / SHARDS;
	printf("nodes=%u moved=%.5f minimum=%.5f modulo=%.5f fill_ms=%.2f "
	       "leave_ms=%.2f\n",
	       nodes, moved_share, 1.0 / nodes, modulo_moved_share(nodes),
	       fill_ms, leave_ms);
	printf("bench: name=churn_leave_n%u ours=%.5f baseline=%.5f "
	       "ratio=%.4f\n",
	       nodes, moved_share, modulo_moved_share(nodes),
	       moved_share / modulo_moved_share(nodes));
	shard_map_delete(before);
	shard_map_delete(map);
	view_done(&v);
}

int main(void)
{
	static const uint32_t nodes[] = {13, 70, 710};

	for (size_t i = 0; i < sizeof(nodes) / sizeof(*nodes); i++)
		measure_leave(nodes[i]);
	return EXIT_SUCCESS;
}
