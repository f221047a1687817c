#include "core/load/throttle.h"

#include <math.h>

#define FACTOR	     2.0
#define MIN_REQUESTS 2.0
/* In this time half of what a gate did is forgotten. */
#define HALF_LIFE_NS (double)(2 * NS_PER_S)

uint32_t throttle_class(uint32_t rank, bool call)
{
	uint32_t max = THROTTLE_CLASSES / 2 - 1;

	return 2 * (rank < max ? rank : max) + call;
}

static void decay(struct throttle *t, uint64_t now_ns)
{
	double rest = exp2(-(double)(now_ns - t->decayed_ns) / HALF_LIFE_NS);

	t->asked *= rest;
	t->taken *= rest;
	t->decayed_ns = now_ns;
}

bool throttle_drops(struct throttle *t, struct rng *rng, uint64_t now_ns)
{
	double excess;

	decay(t, now_ns);
	excess = t->asked - FACTOR * t->taken - MIN_REQUESTS;
	return excess > 0 && (double)rng_below(rng, 1000) <
				     1000 * excess / (t->asked + MIN_REQUESTS);
}

void throttle_note_asked(struct throttle *t)
{
	t->asked++;
}

void throttle_note_taken(struct throttle *t)
{
	t->taken++;
}
