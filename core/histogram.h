/** Log-linear histogram of durations; its buckets are about 3% wide. */
#ifndef JD_CORE_HISTOGRAM_H
#define JD_CORE_HISTOGRAM_H

#include "core/types.h"

#define HISTOGRAM_BUCKETS 960

struct histogram {
	uint64_t count; /* of durations in all buckets */
	uint64_t max_ns;
	uint32_t buckets[HISTOGRAM_BUCKETS];
};

void histogram_init(struct histogram *h);

void histogram_add(struct histogram *h, uint64_t duration_ns);

/**
 * Upper bound of the quantile @permyriad / 10,000, at most one bucket's width
 * above it; 0 when the histogram is empty.
 */
uint64_t histogram_quantile_ns(const struct histogram *h, uint32_t permyriad);

/** Halves all counts, so that later durations weigh more. */
void histogram_decay(struct histogram *h);

#endif
