#include "core/load/run_rank.h"

/* Calls bear their deadline in whole milliseconds, and travel. */
#define SAME_DEADLINE_NS (3 * NS_PER_MS)

static uint64_t distance_ns(uint64_t a, uint64_t b)
{
	return a > b ? a - b : b - a;
}

/* True if @a fits a call with @deadline_ns better than @b, which may be NULL.
 */
static bool fits_better(const struct gate_attempt *a,
			const struct gate_attempt *b, uint64_t deadline_ns)
{
	uint64_t da = distance_ns(a->upstream_deadline_ns, deadline_ns);
	uint64_t db;

	if (!b)
		return true;
	db = distance_ns(b->upstream_deadline_ns, deadline_ns);
	if (da <= SAME_DEADLINE_NS || db <= SAME_DEADLINE_NS)
		return da < db;
	return a->priority < b->priority;
}

const struct gate_attempt *run_rank_find(const struct gatekeeper *g,
					 uint64_t deadline_ns)
{
	const struct gate_attempt *a;
	const struct gate_attempt *best = NULL;

	list_for_each_entry(a, &g->running, link) {
		if (a->upstream_deadline_ns + SAME_DEADLINE_NS < deadline_ns)
			continue;
		if (fits_better(a, best, deadline_ns))
			best = a;
	}
	return best;
}
