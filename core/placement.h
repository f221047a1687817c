/** Which node gets which shard: pure functions of the documents. */
#ifndef JD_CORE_PLACEMENT_H
#define JD_CORE_PLACEMENT_H

#include "core/view.h"

/** A node that could own shards of the route, or does. */
struct seat {
	struct list link; /* in seats.by_load when allowed */
	incarnation_t inc;
	bool known;    /* has an entry that is not revoked */
	bool allowed;  /* may get shards */
	uint32_t load; /* shards owned or on their way */
	uint64_t heat; /* requests a second of its hot shards */
};

struct seats {
	uint32_t count;
	uint32_t allowed;
	struct seat *items; /* by inc */
	/* Allowed seats by load; each change of load is one step. */
	struct list *by_load;
	uint32_t load_end; /* loads are below this */
	uint32_t load_min; /* no allowed seat is below this */
	uint32_t load_max; /* none is above this */
};

/** The seats for @route, with their loads under @map (may be NULL). */
void seats_init(struct seats *s, const struct view *v,
		const struct route *route, const struct shard_map *map);
void seats_done(struct seats *s);

/** NULL for a node that is in no roster. */
struct seat *seats_find(const struct seats *s, incarnation_t inc);

/**
 * Gives each shard whose owner is in no roster a new owner, the least
 * loaded one. Returns how many it changed.
 */
uint32_t placement_assign_orphans(struct shard_map *map, const struct view *v,
				  const struct route *route);

/** How many shards placement_assign_orphans() would change; nothing is changed.
 */
uint32_t placement_count_orphans(const struct shard_map *map,
				 const struct view *v,
				 const struct route *route);

/**
 * Marks planned moves off nodes that may not keep their shards. Returns how
 * many marks it set.
 */
uint32_t placement_plan_forced(struct shard_map *map, const struct view *v,
			       const struct route *route);

/**
 * Marks planned moves from the fullest nodes to the emptiest when loads
 * differ by more than the hysteresis. Returns how many marks it set.
 */
uint32_t placement_plan_balance(struct shard_map *map, const struct view *v,
				const struct route *route);

#endif
