/** Pseudo-random numbers: a hash of a counter, keyed by the seed. */
#ifndef JD_CORE_RNG_H
#define JD_CORE_RNG_H

#include <stdint.h>

struct rng {
	uint64_t seed;
	uint64_t counter;
};

void rng_init(struct rng *r, uint64_t seed);
uint64_t rng_next(struct rng *r);
/** Uniform in [0, @bound), but for the modulo bias; 0 when @bound is 0. */
uint64_t rng_below(struct rng *r, uint64_t bound);

#endif
