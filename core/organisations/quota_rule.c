#include "core/organisations/quota_rule.h"

#include <math.h>

#define VALID_MIN_NS (250 * NS_PER_MS)
#define VALID_MAX_NS (2 * NS_PER_S)

static double to_seconds(uint64_t ns)
{
	return (double)ns / (double)NS_PER_S;
}

/*
 * Shares used in a window were given out in it or up to valid_ns before, so
 * they are at most capacity + refill * (window + valid).
 */
void quota_rule_init(struct quota_rule *r, const struct quota_opts *o)
{
	double window_s, quota, margin, spare, valid_s, refill;

	r->rate_per_s = o->rate_per_s;
	r->burst = o->burst;
	r->window_ns = o->window_ns ? o->window_ns : QUOTA_WINDOW_DEFAULT_NS;
	window_s = to_seconds(r->window_ns);
	quota = o->rate_per_s * window_s + o->burst;
	margin = (o->overage * quota + o->slack) / 2;
	/* A bucket gives whole requests, so it holds one at least. */
	r->capacity = fmax(o->burst, 1);
	spare = margin - (r->capacity - o->burst);
	valid_s = fmax(spare, 0) / o->rate_per_s;
	valid_s = fmin(fmax(valid_s, to_seconds(VALID_MIN_NS)),
		       to_seconds(VALID_MAX_NS));
	r->valid_ns = (uint64_t)(valid_s * (double)NS_PER_S);
	refill = (o->rate_per_s * window_s + spare) / (window_s + valid_s);
	r->refill_per_s = fmax(fmin(refill, o->rate_per_s), 0);
	r->cut_off = margin;
	r->fixed = quota + 2 * margin;
}
