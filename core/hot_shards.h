/**
 * The shards with hot keys that nodes reported to the planner, and the moves
 * that spread them over nodes. A hot key has one owner like any other, so its
 * complete shard moves, by an ordinary planned move.
 */
#ifndef JD_CORE_HOT_SHARDS_H
#define JD_CORE_HOT_SHARDS_H

#include "core/hot_keys.h"
#include "core/placement.h"

#define HOT_SHARDS_MAX 256

struct hot_shard {
	struct list link;
	char route[JD_NAME_MAX];
	uint32_t shard;
	uint32_t rate;	       /* requests per second */
	uint64_t expires_ns;   /* removed then unless reported again */
	uint64_t next_move_ns; /* not moved again earlier */
};

struct hot_shards {
	struct list items; /* of struct hot_shard, highest rate first */
	uint32_t count;
	bool new_reports; /* some came since the last plan */
};

void hot_shards_init(struct hot_shards *h);
void hot_shards_done(struct hot_shards *h);

/**
 * Adds or refreshes the shard of @r. A new shard is dropped when there are
 * HOT_SHARDS_MAX already.
 */
void hot_shards_add(struct hot_shards *h, const struct hot_report *r,
		    uint64_t now_ns);

/**
 * Plans moves of hot shards of @map from nodes that own several to the nodes
 * with the lowest rate of requests for hot shards: sets the shards' targets.
 * Returns the number of moves.
 */
uint32_t hot_shards_plan(struct hot_shards *h, struct shard_map *map,
			 const struct view *v, const struct route *route,
			 uint64_t now_ns);

#endif
