#include "core/load/arrival.h"

#include "core/load/gate_pick.h"
#include "core/load/run_rank.h"

#define RETRY_AFTER_MIN_NS  (100 * NS_PER_MS)
/* A request with a key waits for its gate for this share of its objective. */
#define HOLD_SHARE_KEYED    0.5
/*
 * A call on an internal route waits for this share of the time to its
 * deadline, as the request that made the call depends on it.
 */
#define HOLD_SHARE_INTERNAL 0.7
/* Any other request waits for this share of its objective. */
#define HOLD_SHARE_UNKEYED  0.125

static double hold_ns(const struct mesh_ctx *c, const struct pending_request *p,
		      bool internal)
{
	double objective_ns = (double)(p->objective_at_ns - c->now_ns);

	if (internal)
		return (double)(p->deadline_ns - c->now_ns) *
		       HOLD_SHARE_INTERNAL;
	return objective_ns *
	       (p->keyed ? HOLD_SHARE_KEYED : HOLD_SHARE_UNKEYED);
}

static void assess_call(struct arrivals *ar, const struct gatekeeper *g,
			uint64_t deadline_ns, struct pending_request *p)
{
	const struct gate_attempt *run = run_rank_find(g, deadline_ns);

	p->call = true;
	if (!run)
		return;
	p->priority = run->priority;
	ar->calls++;
}

static void assess_caller(struct arrivals *ar, const struct mesh_ctx *c,
			  uint64_t deadline_ns, struct pending_request *p)
{
	uint64_t waited_ns = comeback_waited_ns(&ar->comebacks, p->route,
						deadline_ns - c->now_ns);
	uint64_t objective_ns = p->objective_at_ns - p->received_ns;

	if (!waited_ns)
		return;
	p->again = true;
	p->objective_at_ns -=
		waited_ns < objective_ns ? waited_ns : objective_ns;
}

void arrival_assess(struct arrivals *ar, const struct mesh_ctx *c,
		    const struct gatekeeper *g, uint64_t caller_deadline_ns,
		    bool internal, struct pending_request *p)
{
	p->hold_until_ns = c->now_ns + (uint64_t)hold_ns(c, p, internal);
	if (!c->opts->heavy_load || caller_deadline_ns <= c->now_ns)
		return;
	if (internal)
		assess_call(ar, g, caller_deadline_ns, p);
	else
		assess_caller(ar, c, caller_deadline_ns, p);
}

uint64_t arrival_retry_after_ns(struct mesh_ctx *c,
				const struct pending_request *p)
{
	struct retry_after_opts o = {
		.min_ns = p->retry_after_ns > RETRY_AFTER_MIN_NS
				  ? p->retry_after_ns
				  : RETRY_AFTER_MIN_NS,
		.rng = &c->rng,
	};

	/* A quota has room at its own time. */
	if (!c->opts->heavy_load || p->refusal == REFUSAL_OVER_QUOTA ||
	    p->refusal == REFUSAL_NO_QUOTA_SHARE)
		return o.min_ns;
	o.room_ns = pick_expected_wait_ns(c, p);
	if (p->deadline_ns > c->now_ns)
		o.left_ns = p->deadline_ns - c->now_ns;
	return comeback_retry_after_ns(&o);
}
