/**
 * How much of a gate's room more urgent ranks take. What waits behind them is
 * overtaken by those that arrive meanwhile, so it waits longer than its place
 * in the queue says.
 */
#ifndef JD_CORE_LOAD_RANK_DEMAND_H
#define JD_CORE_LOAD_RANK_DEMAND_H

#include "core/types.h"

/* The last one is for all classes from it on. */
#define RANK_DEMAND_CLASSES 8

struct rank_demand {
	double work_ns[RANK_DEMAND_CLASSES]; /* admitted lately, decaying */
	uint64_t decayed_ns;
};

/**
 * Counts an attempt that was admitted and takes about @run_ns. @order: 0 is
 * served first.
 */
void rank_demand_note(struct rank_demand *d, uint32_t order, double run_ns,
		      uint64_t now_ns);

/** Share of @limit slots that is left by classes more urgent than @order. */
double rank_demand_share_left(const struct rank_demand *d, uint32_t order,
			      uint32_t limit, uint64_t now_ns);

#endif
