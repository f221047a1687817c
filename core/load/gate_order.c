#include "core/load/gate_order.h"

/*
 * What misses its objective may wait for this part of the time that its caller
 * has left: the rest is for the caller to try elsewhere.
 */
#define LATE_WAIT_SHARE 0.1

bool order_before(const struct order_terms *a, const struct order_terms *b)
{
	if (a->late != b->late)
		return b->late;
	if (a->rank != b->rank)
		return a->rank < b->rank;
	if (a->call != b->call)
		return a->call;
	return a->objective_at_ns < b->objective_at_ns;
}

uint64_t order_wait_ns(const struct order_pace *p, uint32_t ahead)
{
	double wait_ns = 0;
	double cold_ns;

	if (p->running >= p->limit)
		wait_ns = (ahead + 1) * p->mean_ns / (p->limit ? p->limit : 1);
	if (p->share_left > 0)
		wait_ns /= p->share_left;
	if (p->cold_per_s > 0) {
		cold_ns = ahead * (double)NS_PER_S / p->cold_per_s;
		if (cold_ns > wait_ns)
			wait_ns = cold_ns;
	}
	return (uint64_t)wait_ns;
}

void order_note_late(struct order_terms *t, const struct order_run *r,
		     uint64_t now_ns)
{
	double left_ns = (double)t->deadline_ns - (double)now_ns - r->mean_ns;

	if (t->call || t->late ||
	    now_ns + (uint64_t)r->mean_ns <= t->objective_at_ns)
		return;
	t->late = true;
	t->late_until_ns = now_ns;
	if (left_ns > 0)
		t->late_until_ns += (uint64_t)(LATE_WAIT_SHARE * left_ns);
}

bool order_admits(const struct order_terms *t, const struct order_pace *p,
		  const struct order_run *r, uint32_t ahead)
{
	uint64_t wait_ns = order_wait_ns(p, ahead);
	uint64_t start_ns = p->now_ns + wait_ns;
	uint64_t ready_ns = start_ns + (uint64_t)r->mean_ns;

	if (!wait_ns)
		return true;
	if (t->call)
		return ready_ns <= t->deadline_ns;
	if (t->late)
		return start_ns <= t->late_until_ns;
	/* Others that came later would get in instead. */
	if (t->again)
		return ready_ns <= t->deadline_ns;
	/* About five in six runs take less than this. */
	return ready_ns + (uint64_t)r->deviation_ns <= t->objective_at_ns;
}

enum order_verdict order_review(const struct order_terms *t,
				const struct order_pace *p,
				const struct order_run *r, uint32_t ahead)
{
	uint64_t ready_ns =
		p->now_ns + order_wait_ns(p, ahead) + (uint64_t)r->mean_ns;

	if (t->call)
		return ready_ns > t->deadline_ns ? ORDER_HOPELESS : ORDER_STAYS;
	if (t->late)
		return p->now_ns >= t->late_until_ns ? ORDER_HOPELESS
						     : ORDER_STAYS;
	return ready_ns > t->objective_at_ns ? ORDER_BECOMES_LATE : ORDER_STAYS;
}
