/**
 * The most requested keys of a node, counted in bounded memory by the
 * space-saving algorithm (Metwally et al., "Efficient Computation of Frequent
 * and Top-k Elements in Data Streams"). Counts are halved at the end of each
 * window.
 */
#ifndef JD_CORE_HOT_KEYS_H
#define JD_CORE_HOT_KEYS_H

#include "core/list.h"
#include "core/types.h"

#define HOT_KEYS_MAX	    64
#define HOT_KEYS_BUCKETS    64
#define HOT_KEYS_REPORT_MAX 8

/** Counter of one key; only the hash of the key is kept. */
struct hot_key {
	struct list link;   /* in hot_keys.buckets */
	struct list ranked; /* in hot_keys.ranked */
	uint64_t hash;	    /* of the key */
	char route[JD_NAME_MAX];
	uint32_t shard;
	uint64_t count; /* upper bound of the key's requests */
	uint64_t error; /* count - error is a lower bound */
};

/** A hot key as a node reports it to the planner. */
struct hot_report {
	char route[JD_NAME_MAX];
	uint32_t shard;
	uint32_t rate; /* lower bound, in requests per second */
};

struct hot_keys {
	struct list buckets[HOT_KEYS_BUCKETS]; /* of struct hot_key */
	struct list ranked; /* of struct hot_key, in ascending order of count */
	struct hot_key items[HOT_KEYS_MAX];
	uint32_t used;
	uint64_t total; /* requests of all keys, halved with the counts */
	uint64_t window_end_ns;
};

void hot_keys_init(struct hot_keys *h);

/** Counts one request for @key in @shard of @route. */
void hot_keys_count(struct hot_keys *h, const char *route, uint32_t shard,
		    const char *key);

/**
 * At the end of a window, fills @out (HOT_KEYS_REPORT_MAX items) with the hot
 * keys in descending order of count and returns their number. Returns 0 before
 * the window ends.
 */
uint32_t hot_keys_report(struct hot_keys *h, uint64_t now_ns,
			 struct hot_report *out);

#endif
