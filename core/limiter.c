#include "core/limiter.h"

#include <string.h>

#define WINDOW_NS	       (50 * NS_PER_MS)
/* Answers needed to evaluate a window; fewer under a low limit. */
#define WINDOW_ANSWERS_MAX     20
#define COLD_SLOTS_PER_REQUEST 10
#define COLD_MAX_NS	       (60 * NS_PER_S)
#define CUT_FACTOR	       0.7
#define GROWTH_FACTOR	       1.25
#define SHED_HOLD_MIN_NS       (NS_PER_S / 2)
#define SHED_HOLD_MAX_NS       (2 * NS_PER_S)
#define FAILURE_HOLD_MIN_NS    (10 * NS_PER_S)
#define FAILURE_HOLD_MAX_NS    (60 * NS_PER_S)
/* A failure above this part of the ceiling counts as the same one again. */
#define CEILING_NEAR_RATIO     0.7
/* Latency above SLOW_FACTOR * baseline + SLOW_MARGIN_NS counts as overload. */
#define SLOW_FACTOR	       2
#define SLOW_MARGIN_NS	       NS_PER_MS
#define CUT_EFFECT_RATIO       0.85 /* of the latency before the cut */
#define BASELINE_FALL_DIVISOR  8    /* 1/8 of the gap closed per window */
#define BASELINE_RISE_DIVISOR  64
#define COLD_START_FAILURES    2
#define FAILURES_WITHIN_NS     NS_PER_S

void limiter_init(struct limiter *l)
{
	memset(l, 0, sizeof(*l));
}

uint32_t limiter_cold_limit(uint32_t slots)
{
	uint32_t n = slots / COLD_SLOTS_PER_REQUEST;

	return n ? n : 1;
}

static void open_window(struct limiter *l, uint64_t now_ns)
{
	memset(&l->window, 0, sizeof(l->window));
	l->window.end_ns = now_ns + WINDOW_NS;
}

void limiter_reset(struct limiter *l, uint32_t slots, uint64_t now_ns)
{
	l->slots = slots;
	l->limit = limiter_cold_limit(slots);
	l->phase = LIMITER_GROWING;
	l->limit_before_cut = 0;
	l->cold_starts++;
	open_window(l, now_ns);
}

void limiter_set_cold(struct limiter *l, bool cold, uint64_t now_ns)
{
	l->awaiting_announcement = false;
	if (!cold) {
		l->cold_until_ns = 0;
		return;
	}
	if (l->cold_until_ns)
		return;
	limiter_reset(l, l->slots, now_ns);
	l->cold_until_ns = now_ns + COLD_MAX_NS;
}

uint32_t limiter_limit(const struct limiter *l, uint64_t now_ns)
{
	uint32_t n = (uint32_t)l->limit;
	uint32_t cold = limiter_cold_limit(l->slots);

	if (now_ns < l->cold_until_ns && n > cold)
		n = cold;
	if (n > l->slots)
		n = l->slots;
	return n || !l->slots ? n : 1;
}

void limiter_on_start(struct limiter *l, uint32_t running)
{
	if (running >= (uint32_t)l->limit)
		l->window.limit_reached = true;
}

static void cut_limit(struct limiter *l, double floor)
{
	l->limit *= CUT_FACTOR;
	if (l->limit < floor)
		l->limit = floor;
	l->phase = LIMITER_STEADY;
	l->cuts++;
}

/* Each failure near a known ceiling doubles the time until the next try. */
static void record_ceiling(struct limiter *l, uint64_t now_ns, uint64_t min_ns,
			   uint64_t max_ns)
{
	if (l->ceiling_hold_ns && now_ns < l->ceiling_until_ns + min_ns &&
	    l->limit > CEILING_NEAR_RATIO * l->ceiling)
		l->ceiling_hold_ns *= 2;
	else
		l->ceiling_hold_ns = min_ns;
	if (l->ceiling_hold_ns > max_ns)
		l->ceiling_hold_ns = max_ns;
	l->ceiling = l->limit;
	l->ceiling_until_ns = now_ns + l->ceiling_hold_ns;
}

/*
 * At most one cut per window: requests sent before the last cut tell nothing
 * about the new limit.
 */
static bool may_cut(struct limiter *l, uint64_t now_ns)
{
	if (now_ns < l->next_cut_ns)
		return false;
	l->next_cut_ns = now_ns + WINDOW_NS;
	return true;
}

static void on_shed(struct limiter *l, uint64_t now_ns)
{
	if (!may_cut(l, now_ns))
		return;
	record_ceiling(l, now_ns, SHED_HOLD_MIN_NS, SHED_HOLD_MAX_NS);
	cut_limit(l, 1);
	l->limit_before_cut = 0;
	open_window(l, now_ns);
}

/*
 * Several failed connections in a short time mean that the upstream crashed and
 * will start cold.
 */
static void on_failure(struct limiter *l, uint64_t now_ns)
{
	if (now_ns > l->window.end_ns + FAILURES_WITHIN_NS)
		open_window(l, now_ns);
	if (++l->window.failures < COLD_START_FAILURES || !may_cut(l, now_ns))
		return;
	/* At the limit of a cold start it is down rather than overloaded. */
	if (l->limit > limiter_cold_limit(l->slots))
		record_ceiling(l, now_ns, FAILURE_HOLD_MIN_NS,
			       FAILURE_HOLD_MAX_NS);
	limiter_reset(l, l->slots, now_ns);
	l->phase = LIMITER_STEADY;
	l->awaiting_announcement = true;
}

static void grow(struct limiter *l, uint64_t now_ns)
{
	double step = l->phase == LIMITER_GROWING
			      ? l->limit * (GROWTH_FACTOR - 1)
			      : 1;

	if (!l->window.limit_reached || l->awaiting_announcement)
		return;
	l->limit += step < 1 ? 1 : step;
	if (l->ceiling && now_ns < l->ceiling_until_ns &&
	    l->limit > l->ceiling - 1)
		l->limit = l->ceiling > 2 ? l->ceiling - 1 : 1;
	if (l->limit > l->slots)
		l->limit = l->slots;
	if (now_ns < l->cold_until_ns &&
	    l->limit > limiter_cold_limit(l->slots))
		l->limit = limiter_cold_limit(l->slots);
}

static void update_baseline(struct limiter *l, uint64_t latency_ns)
{
	if (!l->baseline_ns)
		l->baseline_ns = latency_ns;
	else if (latency_ns < l->baseline_ns)
		l->baseline_ns -=
			(l->baseline_ns - latency_ns) / BASELINE_FALL_DIVISOR;
	else
		l->baseline_ns +=
			(latency_ns - l->baseline_ns) / BASELINE_RISE_DIVISOR;
}

/*
 * The upstream is as slow with fewer requests: the cause is not the load from
 * here, but for instance another load on its machine.
 */
static bool cut_had_no_effect(const struct limiter *l, uint64_t latency_ns)
{
	return l->limit_before_cut > 0 &&
	       (double)latency_ns >
		       CUT_EFFECT_RATIO * (double)l->latency_before_cut_ns;
}

static void evaluate_latency(struct limiter *l, uint64_t latency_ns,
			     uint64_t now_ns)
{
	if (!l->baseline_ns ||
	    latency_ns <= SLOW_FACTOR * l->baseline_ns + SLOW_MARGIN_NS) {
		l->limit_before_cut = 0;
		update_baseline(l, latency_ns);
		grow(l, now_ns);
		return;
	}
	if (cut_had_no_effect(l, latency_ns)) {
		l->baseline_ns = latency_ns;
		l->limit = l->limit_before_cut;
		l->limit_before_cut = 0;
		return;
	}
	if (!l->window.limit_reached)
		return;
	l->limit_before_cut = l->limit;
	l->latency_before_cut_ns = latency_ns;
	cut_limit(l, limiter_cold_limit(l->slots));
}

static void on_latency(struct limiter *l, uint64_t latency_ns, uint64_t now_ns)
{
	struct limiter_window *w = &l->window;
	uint32_t required = (uint32_t)l->limit;

	w->answers++;
	w->latency_sum_ns += latency_ns;
	if (required > WINDOW_ANSWERS_MAX)
		required = WINDOW_ANSWERS_MAX;
	if (now_ns < w->end_ns || w->answers < required)
		return;
	evaluate_latency(l, w->latency_sum_ns / w->answers, now_ns);
	open_window(l, now_ns);
}

void limiter_on_end(struct limiter *l, enum request_end end,
		    uint64_t latency_ns, uint64_t now_ns)
{
	switch (end) {
	case REQUEST_ANSWERED:
	case REQUEST_TIMED_OUT:
		on_latency(l, latency_ns, now_ns);
		break;
	case REQUEST_SHED:
		on_shed(l, now_ns);
		break;
	case REQUEST_FAILED:
		on_failure(l, now_ns);
		break;
	case REQUEST_CANCELLED:
		/* The latency is a lower bound: it counts only when high. */
		if (latency_ns > l->baseline_ns)
			on_latency(l, latency_ns, now_ns);
		break;
	case REQUEST_NOT_SENT:
		break;
	}
}
