#include "core/histogram.h"

#include <string.h>

/* 32 buckets for each power of two; a single one for all below 1024 ns. */
#define SUB_BITS   5
#define FIRST_BITS 10

void histogram_init(struct histogram *h)
{
	memset(h, 0, sizeof(*h));
}

static uint32_t bucket_index(uint64_t ns)
{
	uint32_t bits, i;

	if (ns < (UINT64_C(1) << FIRST_BITS))
		return 0;
	bits = 63 - (uint32_t)__builtin_clzll(ns);
	i = ((bits - FIRST_BITS) << SUB_BITS) +
	    (uint32_t)((ns >> (bits - SUB_BITS)) & ((1 << SUB_BITS) - 1)) + 1;
	return i < HISTOGRAM_BUCKETS ? i : HISTOGRAM_BUCKETS - 1;
}

/* The lowest duration above bucket @i. */
static uint64_t bucket_end_ns(uint32_t i)
{
	uint32_t bits = (i >> SUB_BITS) + FIRST_BITS;
	uint64_t sub = i & ((1 << SUB_BITS) - 1);

	return ((UINT64_C(1) << SUB_BITS) + sub) << (bits - SUB_BITS);
}

void histogram_add(struct histogram *h, uint64_t duration_ns)
{
	h->buckets[bucket_index(duration_ns)]++;
	h->count++;
	if (duration_ns > h->max_ns)
		h->max_ns = duration_ns;
}

uint64_t histogram_quantile_ns(const struct histogram *h, uint32_t permyriad)
{
	uint64_t rank = (h->count * permyriad + 9999) / 10000;
	uint64_t seen = 0;

	if (!h->count)
		return 0;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS - 1; i++) {
		seen += h->buckets[i];
		if (seen >= rank && seen)
			return bucket_end_ns(i) < h->max_ns ? bucket_end_ns(i)
							    : h->max_ns;
	}
	return h->max_ns;
}

void histogram_decay(struct histogram *h)
{
	h->count = 0;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		h->buckets[i] /= 2;
		h->count += h->buckets[i];
	}
}
