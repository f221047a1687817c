/**
 * Extra attempts as a share of the requests of a sliding window, plus a
 * share of the fleet's common slack.
 */
#ifndef JD_CORE_WINDOW_BUDGET_H
#define JD_CORE_WINDOW_BUDGET_H

#include "core/types.h"

#define WINDOW_BUDGET_SLOTS 20

struct window_budget {
	uint64_t slot_ns; /* length of a slot */
	uint64_t slot;	  /* number of the newest one */
	uint32_t requests[WINDOW_BUDGET_SLOTS];
	uint32_t extras[WINDOW_BUDGET_SLOTS];
};

void window_budget_init(struct window_budget *b, uint64_t window_ns);

/** Counts a first attempt. */
void window_budget_earn(struct window_budget *b, uint64_t now_ns);

/**
 * True if one more extra attempt stays within @ratio of the window's
 * requests plus @slack.
 */
bool window_budget_has_room(struct window_budget *b, double ratio, double slack,
			    uint64_t now_ns);

/** Counts an extra attempt. */
void window_budget_spend(struct window_budget *b, uint64_t now_ns);

#endif
