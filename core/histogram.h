/** Counts of durations in buckets of about 3% width, for quantiles. */
#ifndef JD_CORE_HISTOGRAM_H
#define JD_CORE_HISTOGRAM_H

#include "core/types.h"

#define HISTOGRAM_BUCKETS 960

struct histogram {
	uint64_t count;
	uint64_t max_ns;
	uint32_t buckets[HISTOGRAM_BUCKETS];
};

void histogram_init(struct histogram *h);

void histogram_add(struct histogram *h, uint64_t duration_ns);

/**
 * The duration that @permyriad of 10,000 don't exceed, up to the bucket's
 * width; 0 when there are none.
 */
uint64_t histogram_quantile_ns(const struct histogram *h, uint32_t permyriad);

/** Halves all counts, so that newer ones weigh more. */
void histogram_decay(struct histogram *h);

#endif
