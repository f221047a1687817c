#include "core/rng.h"

#include <xxhash.h>

void rng_init(struct rng *r, uint64_t seed)
{
	r->seed = seed;
	r->counter = 0;
}

uint64_t rng_next(struct rng *r)
{
	r->counter++;
	return XXH3_64bits_withSeed(&r->counter, sizeof(r->counter), r->seed);
}

uint64_t rng_below(struct rng *r, uint64_t bound)
{
	return bound ? rng_next(r) % bound : 0;
}
