#include "core/window_budget.h"

#include <string.h>

void window_budget_init(struct window_budget *b, uint64_t window_ns)
{
	memset(b, 0, sizeof(*b));
	b->slot_ns = window_ns / WINDOW_BUDGET_SLOTS;
}

/* Clears the slots that have begun since the last call, at most all. */
static void advance(struct window_budget *b, uint64_t now_ns)
{
	uint64_t slot = now_ns / b->slot_ns;
	uint64_t new_slots = slot - b->slot;

	if (new_slots > WINDOW_BUDGET_SLOTS)
		new_slots = WINDOW_BUDGET_SLOTS;
	for (uint64_t i = 0; i < new_slots; i++) {
		b->requests[(slot - i) % WINDOW_BUDGET_SLOTS] = 0;
		b->retries[(slot - i) % WINDOW_BUDGET_SLOTS] = 0;
	}
	b->slot = slot;
}

void window_budget_earn(struct window_budget *b, uint64_t now_ns)
{
	advance(b, now_ns);
	b->requests[b->slot % WINDOW_BUDGET_SLOTS]++;
}

bool window_budget_has_room(struct window_budget *b, double ratio, double slack,
			    uint64_t now_ns)
{
	uint32_t requests = 0;
	uint32_t retries = 0;

	advance(b, now_ns);
	for (int i = 0; i < WINDOW_BUDGET_SLOTS; i++) {
		requests += b->requests[i];
		retries += b->retries[i];
	}
	return retries + 1 <= ratio * requests + slack;
}

void window_budget_spend(struct window_budget *b, uint64_t now_ns)
{
	advance(b, now_ns);
	b->retries[b->slot % WINDOW_BUDGET_SLOTS]++;
}
