/**
 * Error budget accounting: good and bad requests by route and organisation,
 * over several sliding windows. Memory is bounded: each window is a ring of
 * buckets, wider for longer windows. The counts do not survive a restart.
 */
#ifndef JD_CORE_BURN_H
#define JD_CORE_BURN_H

#include "core/list.h"
#include "core/types.h"

/** About 3 KB each; beyond it the least recently used one is dropped. */
#define BURN_SERIES_MAX	  256
#define BURN_HASH_BUCKETS 64
/** Buckets in the longest ring. */
#define BURN_BUCKETS_MAX  72

enum burn_window {
	BURN_5_MIN,
	BURN_1_H,
	BURN_6_H,
	BURN_3_D,
	BURN_WINDOW_COUNT
};

struct burn_window_info {
	const char *name;
	uint32_t bucket_s; /* width of a bucket */
	uint32_t buckets;  /* at most BURN_BUCKETS_MAX */
};

struct burn_bucket {
	uint32_t index; /* start time / width + 1; 0: never used */
	uint32_t good;
	uint32_t bad;
};

struct burn_series {
	struct list link; /* in burn.series, most recently used first */
	struct list hash_link;
	char route[JD_NAME_MAX];
	char organisation[JD_NAME_MAX]; /* empty: none or not known */
	struct burn_bucket rings[BURN_WINDOW_COUNT][BURN_BUCKETS_MAX];
};

struct burn {
	struct list series; /* of struct burn_series */
	struct list hash[BURN_HASH_BUCKETS];
	uint32_t count;	    /* of series */
	uint64_t forgotten; /* series dropped beyond BURN_SERIES_MAX */
};

struct burn_count {
	uint64_t good;
	uint64_t bad;
};

/** The end of one request. */
struct burn_event {
	const char *route;
	const char *organisation;
	uint64_t now_ns;
	bool good; /* answered within the route's objective */
};

void burn_init(struct burn *b);
void burn_done(struct burn *b);

void burn_add(struct burn *b, const struct burn_event *e);

const struct burn_window_info *burn_window_find(enum burn_window w);

/** Counts of @s in the window that ends at @now_ns. */
struct burn_count burn_sum(const struct burn_series *s, enum burn_window w,
			   uint64_t now_ns);

/** Counts of @s in one bucket, @age buckets before the current one. */
struct burn_count burn_bucket_at(const struct burn_series *s,
				 enum burn_window w, uint32_t age,
				 uint64_t now_ns);

/**
 * Burn rate: the share of failed requests divided by the share that the
 * objective allows. At 1 the error budget lasts exactly for the objective's
 * period. 0 if there were no requests.
 */
double burn_rate(struct burn_count sum, uint32_t objective_ppm);

#endif
