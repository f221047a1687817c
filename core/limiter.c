#include "core/limiter.h"

#include <string.h>

#define WINDOW_NS	   (50 * NS_PER_MS)
#define WINDOW_ANSWERS	   20
#define COLD_SHARE	   10 /* slots to one order at the start */
#define COLD_MAX_NS	   (60 * NS_PER_S)
#define CUT_FACTOR	   0.7
#define GROWTH_FACTOR	   1.25
#define SHED_HOLD_MIN_NS   (NS_PER_S / 2)
#define SHED_HOLD_MAX_NS   (2 * NS_PER_S)
#define HOLD_MIN_NS	   (10 * NS_PER_S)
#define HOLD_MAX_NS	   (60 * NS_PER_S)
#define CEILING_NEAR	   0.7 /* a failure from there on is the same one */
#define SLOW_FACTOR	   2
#define SLOW_MARGIN_NS	   NS_PER_MS
#define CUT_HELPED	   0.85 /* latency after a cut that did something */
#define BASELINE_FALL	   8	/* share of the gap closed a window */
#define BASELINE_RISE	   64
#define FAILURES_OF_COLD   2
#define FAILURES_WITHIN_NS NS_PER_S

void limiter_init(struct limiter *l)
{
	memset(l, 0, sizeof(*l));
}

uint32_t limiter_cold_limit(uint32_t slots)
{
	uint32_t n = slots / COLD_SHARE;

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
	l->cut_from = 0;
	l->cold_starts++;
	open_window(l, now_ns);
}

void limiter_set_cold(struct limiter *l, bool cold, uint64_t now_ns)
{
	l->unheard = false;
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
		l->window.full = true;
}

static void lower(struct limiter *l, double floor)
{
	l->limit *= CUT_FACTOR;
	if (l->limit < floor)
		l->limit = floor;
	l->phase = LIMITER_STEADY;
	l->cuts++;
}

/* Each failure at a known ceiling doubles the time until the next try. */
static void note_ceiling(struct limiter *l, uint64_t now_ns, uint64_t min_ns,
			 uint64_t max_ns)
{
	if (l->ceiling_hold_ns && now_ns < l->ceiling_until_ns + min_ns &&
	    l->limit > CEILING_NEAR * l->ceiling)
		l->ceiling_hold_ns *= 2;
	else
		l->ceiling_hold_ns = min_ns;
	if (l->ceiling_hold_ns > max_ns)
		l->ceiling_hold_ns = max_ns;
	l->ceiling = l->limit;
	l->ceiling_until_ns = now_ns + l->ceiling_hold_ns;
}

/* Orders sent before the last cut say nothing of the limit it set. */
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
	note_ceiling(l, now_ns, SHED_HOLD_MIN_NS, SHED_HOLD_MAX_NS);
	lower(l, 1);
	l->cut_from = 0;
	open_window(l, now_ns);
}

/* Several broken connections at once: it fell over and starts cold. */
static void on_failure(struct limiter *l, uint64_t now_ns)
{
	if (now_ns > l->window.end_ns + FAILURES_WITHIN_NS)
		open_window(l, now_ns);
	if (++l->window.failures < FAILURES_OF_COLD || !may_cut(l, now_ns))
		return;
	/* At the cold limit it is down, not overloaded. */
	if (l->limit > limiter_cold_limit(l->slots))
		note_ceiling(l, now_ns, HOLD_MIN_NS, HOLD_MAX_NS);
	limiter_reset(l, l->slots, now_ns);
	l->phase = LIMITER_STEADY;
	l->unheard = true;
}

static void grow(struct limiter *l, uint64_t now_ns)
{
	double step = l->phase == LIMITER_GROWING
			      ? l->limit * (GROWTH_FACTOR - 1)
			      : 1;

	if (!l->window.full || l->unheard)
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

static void follow_baseline(struct limiter *l, uint64_t latency_ns)
{
	if (!l->baseline_ns)
		l->baseline_ns = latency_ns;
	else if (latency_ns < l->baseline_ns)
		l->baseline_ns -= (l->baseline_ns - latency_ns) / BASELINE_FALL;
	else
		l->baseline_ns += (latency_ns - l->baseline_ns) / BASELINE_RISE;
}

/* Slow under fewer orders too: not our load but an unseen neighbour's. */
static bool cut_changed_nothing(const struct limiter *l, uint64_t latency_ns)
{
	return l->cut_from > 0 &&
	       (double)latency_ns > CUT_HELPED * (double)l->cut_latency_ns;
}

static void judge_latency(struct limiter *l, uint64_t latency_ns,
			  uint64_t now_ns)
{
	if (!l->baseline_ns ||
	    latency_ns <= SLOW_FACTOR * l->baseline_ns + SLOW_MARGIN_NS) {
		l->cut_from = 0;
		follow_baseline(l, latency_ns);
		grow(l, now_ns);
		return;
	}
	if (cut_changed_nothing(l, latency_ns)) {
		l->baseline_ns = latency_ns;
		l->limit = l->cut_from;
		l->cut_from = 0;
		return;
	}
	if (!l->window.full)
		return;
	l->cut_from = l->limit;
	l->cut_latency_ns = latency_ns;
	lower(l, limiter_cold_limit(l->slots));
}

static void on_latency(struct limiter *l, uint64_t latency_ns, uint64_t now_ns)
{
	struct limiter_window *w = &l->window;
	uint32_t enough = (uint32_t)l->limit;

	w->answers++;
	w->latency_sum_ns += latency_ns;
	if (enough > WINDOW_ANSWERS)
		enough = WINDOW_ANSWERS;
	if (now_ns < w->end_ns || w->answers < enough)
		return;
	judge_latency(l, w->latency_sum_ns / w->answers, now_ns);
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
		/* It would have taken at least as long. */
		if (latency_ns > l->baseline_ns)
			on_latency(l, latency_ns, now_ns);
		break;
	case REQUEST_NOT_SENT:
		break;
	}
}
