#include "core/retry_budget.h"

#include <string.h>

#define SHARE_PERMILLE 100
#define ATTEMPT	       1000 /* thousandths */
#define SAVED_MAX      (20 * ATTEMPT)
/* With little traffic the share alone would never allow a retry. */
#define FREE_EVERY_NS  (100 * NS_PER_MS)

void retry_budget_init(struct retry_budget *b)
{
	memset(b, 0, sizeof(*b));
	b->share_permille = SHARE_PERMILLE;
}

void retry_budget_deposit(struct retry_budget *b)
{
	b->milli += b->share_permille;
	if (b->milli > SAVED_MAX)
		b->milli = SAVED_MAX;
}

bool retry_budget_withdraw(struct retry_budget *b, uint64_t now_ns)
{
	if (b->milli >= ATTEMPT) {
		b->milli -= ATTEMPT;
	} else if (now_ns >= b->next_free_ns) {
		b->next_free_ns = now_ns + FREE_EVERY_NS;
	} else {
		b->denied++;
		return false;
	}
	b->spent++;
	return true;
}
