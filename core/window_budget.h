/**
 * Limits retries to a ratio of the requests in a sliding window, plus the
 * slack: this node's share of the retries that a fleet may make in any window.
 */
#ifndef JD_CORE_WINDOW_BUDGET_H
#define JD_CORE_WINDOW_BUDGET_H

#include "core/types.h"

#define WINDOW_BUDGET_SLOTS 20

/** The window is split into slots, which expire one by one. */
struct window_budget {
	uint64_t slot_ns; /* length of a slot */
	uint64_t slot;	  /* number of the newest one, from time 0 */
	uint32_t requests[WINDOW_BUDGET_SLOTS];
	uint32_t retries[WINDOW_BUDGET_SLOTS];
};

void window_budget_init(struct window_budget *b, uint64_t window_ns);

/** Counts the first attempt of a request. */
void window_budget_earn(struct window_budget *b, uint64_t now_ns);

/**
 * True if one more retry keeps those of the window within @ratio times its
 * requests plus @slack.
 */
bool window_budget_has_room(struct window_budget *b, double ratio, double slack,
			    uint64_t now_ns);

/** Counts a retry. */
void window_budget_spend(struct window_budget *b, uint64_t now_ns);

#endif
