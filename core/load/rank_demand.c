#include "core/load/rank_demand.h"

#include <math.h>

/* Work admitted so long ago counts for 1/e. */
#define DECAY_NS       (double)(NS_PER_S)
/* So much is always left: estimates are rough, and bursts end. */
#define SHARE_LEFT_MIN 0.1

static double decay_at(const struct rank_demand *d, uint64_t now_ns)
{
	return exp(-(double)(now_ns - d->decayed_ns) / DECAY_NS);
}

void rank_demand_note(struct rank_demand *d, uint32_t order, double run_ns,
		      uint64_t now_ns)
{
	double rest = decay_at(d, now_ns);

	for (int i = 0; i < RANK_DEMAND_CLASSES; i++)
		d->work_ns[i] *= rest;
	d->decayed_ns = now_ns;
	d->work_ns[order < RANK_DEMAND_CLASSES ? order
					       : RANK_DEMAND_CLASSES - 1] +=
		run_ns;
}

double rank_demand_share_left(const struct rank_demand *d, uint32_t order,
			      uint32_t limit, uint64_t now_ns)
{
	double rest = decay_at(d, now_ns);
	double urgent_ns = 0;
	double left;

	for (uint32_t i = 0; i < order && i < RANK_DEMAND_CLASSES - 1; i++)
		urgent_ns += d->work_ns[i] * rest;
	left = 1 - urgent_ns / DECAY_NS / (limit ? limit : 1);
	return left > SHARE_LEFT_MIN ? left : SHARE_LEFT_MIN;
}
