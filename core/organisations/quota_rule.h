/**
 * What an organisation's quota allows its keeper and its entries.
 *
 * In any window the fleet may run rate * window + burst requests and a margin
 * on top. One half of the margin covers shares that were given out before the
 * window and are used in it, the other what nodes spend while cut off.
 */
#ifndef JD_CORE_QUOTA_RULE_H
#define JD_CORE_QUOTA_RULE_H

#include "core/types.h"

#define QUOTA_WINDOW_DEFAULT_NS (5 * NS_PER_S)

struct quota_opts {
	double rate_per_s;
	double burst;
	uint64_t window_ns; /* 0: QUOTA_WINDOW_DEFAULT_NS */
	double overage;	    /* margin as a share of the quota */
	double slack;	    /* margin in requests */
};

struct quota_rule {
	double rate_per_s; /* as configured */
	double burst;
	uint64_t window_ns;
	double refill_per_s; /* of the keeper's bucket */
	double capacity;     /* of it, in requests */
	uint64_t valid_ns;   /* how long a share lasts, from its ask */
	/* Requests in a window, for all nodes together: */
	double cut_off; /* of nodes that reach no keeper */
	double fixed;	/* of a fleet that can't have keepers */
};

void quota_rule_init(struct quota_rule *r, const struct quota_opts *o);

#endif
