#include "core/burn.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

#define PPM 1000000 /* parts per million */

static const struct burn_window_info windows[BURN_WINDOW_COUNT] = {
	[BURN_5_MIN] = {"5m", 10, 30},
	[BURN_1_H] = {"1h", 60, 60},
	[BURN_6_H] = {"6h", 300, 72},
	[BURN_3_D] = {"3d", 3600, 72},
};

void burn_init(struct burn *b)
{
	memset(b, 0, sizeof(*b));
	list_init(&b->series);
	for (int i = 0; i < BURN_HASH_BUCKETS; i++)
		list_init(&b->hash[i]);
}

static void series_delete(struct burn *b, struct burn_series *s)
{
	list_remove(&s->link);
	list_remove(&s->hash_link);
	free(s);
	b->count--;
}

void burn_done(struct burn *b)
{
	struct burn_series *s, *tmp;

	list_for_each_entry_safe(s, tmp, &b->series, link)
		series_delete(b, s);
}

static struct list *hash_bucket(struct burn *b, const struct burn_event *e)
{
	uint64_t h = XXH64(e->route, strlen(e->route), 0);

	h = XXH64(e->organisation, strlen(e->organisation), h);
	return &b->hash[h % BURN_HASH_BUCKETS];
}

static struct burn_series *find(struct list *bucket, const struct burn_event *e)
{
	struct burn_series *s;

	list_for_each_entry(s, bucket, hash_link)
		if (!strcmp(s->route, e->route) &&
		    !strcmp(s->organisation, e->organisation))
			return s;
	return NULL;
}

static void drop_least_recently_used(struct burn *b)
{
	series_delete(b, list_entry(b->series.prev, struct burn_series, link));
	b->forgotten++;
}

/* Finds or adds the series of @e and marks it as the most recently used. */
static struct burn_series *series_get(struct burn *b,
				      const struct burn_event *e)
{
	struct list *bucket = hash_bucket(b, e);
	struct burn_series *s = find(bucket, e);

	if (!s) {
		if (b->count >= BURN_SERIES_MAX)
			drop_least_recently_used(b);
		s = mem_new(struct burn_series);
		mem_copy_str(s->route, e->route, sizeof(s->route));
		mem_copy_str(s->organisation, e->organisation,
			     sizeof(s->organisation));
		list_init(&s->link);
		list_push_back(bucket, &s->hash_link);
		b->count++;
	}
	list_remove(&s->link);
	list_push_front(&b->series, &s->link);
	return s;
}

static uint32_t bucket_index(enum burn_window w, uint64_t now_ns)
{
	return (uint32_t)(now_ns / NS_PER_S / windows[w].bucket_s) + 1;
}

void burn_add(struct burn *b, const struct burn_event *e)
{
	struct burn_series *s = series_get(b, e);

	for (int w = 0; w < BURN_WINDOW_COUNT; w++) {
		uint32_t index = bucket_index((enum burn_window)w, e->now_ns);
		struct burn_bucket *k =
			&s->rings[w][index % windows[w].buckets];

		if (k->index != index)
			*k = (struct burn_bucket){.index = index};
		k->good += e->good;
		k->bad += !e->good;
	}
}

const struct burn_window_info *burn_window_find(enum burn_window w)
{
	return &windows[w];
}

struct burn_count burn_bucket_at(const struct burn_series *s,
				 enum burn_window w, uint32_t age,
				 uint64_t now_ns)
{
	uint32_t now = bucket_index(w, now_ns);
	const struct burn_bucket *k;

	if (age >= windows[w].buckets || age >= now)
		return (struct burn_count){0};
	k = &s->rings[w][(now - age) % windows[w].buckets];
	if (k->index != now - age)
		return (struct burn_count){0};
	return (struct burn_count){.good = k->good, .bad = k->bad};
}

struct burn_count burn_sum(const struct burn_series *s, enum burn_window w,
			   uint64_t now_ns)
{
	struct burn_count all = {0};

	for (uint32_t age = 0; age < windows[w].buckets; age++) {
		struct burn_count one = burn_bucket_at(s, w, age, now_ns);

		all.good += one.good;
		all.bad += one.bad;
	}
	return all;
}

double burn_rate(struct burn_count sum, uint32_t objective_ppm)
{
	/* An objective of 100% gets 1 ppm, so as not to divide by zero. */
	uint32_t budget = objective_ppm < PPM ? PPM - objective_ppm : 1;
	uint64_t all = sum.good + sum.bad;

	if (!all)
		return 0;
	return (double)sum.bad * PPM / ((double)all * budget);
}
