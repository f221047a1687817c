/**
 * The heavy hitters among a node's keys, in bounded memory: the space-saving
 * algorithm of "Efficient Computation of Frequent and Top-k Elements in Data
 * Streams". Counts are halved at the end of each window.
 */
#ifndef JD_CORE_HOT_KEYS_H
#define JD_CORE_HOT_KEYS_H

#include "core/list.h"
#include "core/types.h"

#define HOT_KEYS_MAX	    64
#define HOT_KEYS_BUCKETS    64
#define HOT_KEYS_REPORT_MAX 8

/** One key that is counted; its text is not kept. */
struct hot_key {
	struct list link;   /* in its bucket */
	struct list ranked; /* in hot_keys.ranked */
	uint64_t hash;	    /* of the key */
	char route[JD_NAME_MAX];
	uint32_t shard;
	uint64_t count; /* at least the true one */
	uint64_t error; /* and by no more than this above it */
};

/** A hot key as it is reported. */
struct hot_report {
	char route[JD_NAME_MAX];
	uint32_t shard;
	uint32_t rate; /* requests a second, at least */
};

struct hot_keys {
	struct list buckets[HOT_KEYS_BUCKETS]; /* of struct hot_key */
	struct list ranked; /* of struct hot_key, by rising count */
	struct hot_key items[HOT_KEYS_MAX];
	uint32_t used;
	uint64_t total; /* requests counted, halved like the counts */
	uint64_t window_end_ns;
};

void hot_keys_init(struct hot_keys *h);

/** Counts one request for @key, which falls into @shard of @route. */
void hot_keys_count(struct hot_keys *h, const char *route, uint32_t shard,
		    const char *key);

/**
 * At the end of a window: fills @out of HOT_KEYS_REPORT_MAX with the hottest
 * keys and returns their number, 0 within a window.
 */
uint32_t hot_keys_report(struct hot_keys *h, uint64_t now_ns,
			 struct hot_report *out);

#endif
