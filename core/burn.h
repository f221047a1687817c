/**
 * Good and bad requests by route and organisation over several windows, in
 * bounded memory: a ring of buckets for each window, coarser for longer
 * ones. What is counted here is lost with the process.
 */
#ifndef JD_CORE_BURN_H
#define JD_CORE_BURN_H

#include "core/list.h"
#include "core/types.h"

/** About 3 KB each; past it the one unused for longest is forgotten. */
#define BURN_SERIES_MAX	  256
#define BURN_HASH_BUCKETS 64
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
	uint32_t index; /* its time in widths, plus 1; 0: never used */
	uint32_t good;
	uint32_t bad;
};

struct burn_series {
	struct list link; /* in burn.series, the last used first */
	struct list hashed;
	char route[JD_NAME_MAX];
	char organisation[JD_NAME_MAX]; /* empty: none that is known */
	struct burn_bucket rings[BURN_WINDOW_COUNT][BURN_BUCKETS_MAX];
};

struct burn {
	struct list series; /* of struct burn_series */
	struct list hash[BURN_HASH_BUCKETS];
	uint32_t count;
	uint64_t forgotten; /* series dropped for want of room */
};

struct burn_count {
	uint64_t good;
	uint64_t bad;
};

/** One request that has ended. */
struct burn_event {
	const char *route;
	const char *organisation;
	uint64_t now_ns;
	bool good;
};

void burn_init(struct burn *b);
void burn_done(struct burn *b);

void burn_add(struct burn *b, const struct burn_event *e);

const struct burn_window_info *burn_window_find(enum burn_window w);

/** What @s counted within the window up to @now_ns. */
struct burn_count burn_sum(const struct burn_series *s, enum burn_window w,
			   uint64_t now_ns);

/** What @s counted in one bucket, @age widths before the present one. */
struct burn_count burn_bucket_at(const struct burn_series *s,
				 enum burn_window w, uint32_t age,
				 uint64_t now_ns);

/**
 * How fast the error budget burns: 1 uses it up exactly over the objective's
 * period. 0 without requests.
 */
double burn_rate(struct burn_count sum, uint32_t objective_ppm);

#endif
