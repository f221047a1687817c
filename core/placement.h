/** Placement of shards on nodes: pure functions of the documents. */
#ifndef JD_CORE_PLACEMENT_H
#define JD_CORE_PLACEMENT_H

#include "core/view.h"

/** A node of any roster, and how many shards of one route it has. */
struct node_load {
	struct list link; /* in node_loads.by_load when eligible */
	incarnation_t inc;
	bool known;	   /* its entry is not revoked */
	bool eligible;	   /* may get shards of the route */
	uint32_t load;	   /* shards that it owns or that move to it */
	uint64_t hot_rate; /* requests per second for its hot shards */
};

/** The nodes of all rosters, with their loads. */
struct node_loads {
	uint32_t count;
	uint32_t eligible_count;
	struct node_load *items; /* sorted by inc */
	/*
	 * Lists of the eligible nodes, indexed by load, so that a change of
	 * load takes constant time.
	 */
	struct list *by_load;
	uint32_t load_end; /* length of by_load */
	uint32_t load_min; /* lower bound of the eligible nodes' loads */
	uint32_t load_max; /* upper bound of them */
};

/** Fills @s with all nodes and their loads under @map (NULL: none). */
void node_loads_init(struct node_loads *s, const struct view *v,
		     const struct route *route, const struct shard_map *map);
void node_loads_done(struct node_loads *s);

/** The node of incarnation @inc; NULL when it is in no roster. */
struct node_load *node_loads_find(const struct node_loads *s,
				  incarnation_t inc);

/**
 * Gives each orphaned shard and pinned key, one whose owner is in no roster,
 * a new owner: the target of its planned move if that node is eligible, or
 * else the least loaded eligible node. Returns the number of changes.
 */
uint32_t placement_assign_orphans(struct shard_map *map, const struct view *v,
				  const struct route *route);

/** Number of orphaned shards, pinned keys aside; 0 when no node is eligible. */
uint32_t placement_count_orphans(const struct shard_map *map,
				 const struct view *v,
				 const struct route *route);

/**
 * Plans moves off nodes that are not eligible: sets the shards' targets,
 * also in place of targets that are no longer eligible. Returns the number of
 * moves.
 */
uint32_t placement_plan_forced(struct shard_map *map, const struct view *v,
			       const struct route *route);

/**
 * Plans moves from nodes with more shards than the mean to those with the
 * fewest, when a node's load differs from the mean by more than the
 * hysteresis. Returns the number of moves.
 */
uint32_t placement_plan_balance(struct shard_map *map, const struct view *v,
				const struct route *route);

#endif
