/**
 * The planner's knowledge of shards with hot keys, and how they are moved
 * apart. A key has one owner whatever its heat, so a hot key's shard moves
 * as a whole, by the same planned move as any other.
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
	uint32_t rate;	   /* requests a second */
	uint64_t until_ns; /* forgotten unless reported again */
	uint64_t rest_ns;  /* not moved again before */
};

struct hot_shards {
	struct list items; /* of struct hot_shard, by falling rate */
	uint32_t count;
	bool fresh; /* reported on since the last plan */
};

void hot_shards_init(struct hot_shards *h);
void hot_shards_done(struct hot_shards *h);

void hot_shards_add(struct hot_shards *h, const struct hot_report *r,
		    uint64_t now_ns);

/**
 * Marks planned moves of hot shards off nodes that own several, to the
 * nodes with the least heat. Returns how many marks it set.
 */
uint32_t hot_shards_plan(struct hot_shards *h, struct shard_map *map,
			 const struct view *v, const struct route *route,
			 uint64_t now_ns);

#endif
