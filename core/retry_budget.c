#include "core/retry_budget.h"

#include <string.h>

#define SHARE_PERMILLE	  100
#define TOKEN_MILLI	  1000
#define BALANCE_MAX_MILLI (20 * TOKEN_MILLI)
/* With little traffic, the share alone would hardly ever allow a retry. */
#define FREE_INTERVAL_NS  (100 * NS_PER_MS)

void retry_budget_init(struct retry_budget *b)
{
	memset(b, 0, sizeof(*b));
	b->share_permille = SHARE_PERMILLE;
}

void retry_budget_deposit(struct retry_budget *b)
{
	b->milli_tokens += b->share_permille;
	if (b->milli_tokens > BALANCE_MAX_MILLI)
		b->milli_tokens = BALANCE_MAX_MILLI;
}

bool retry_budget_withdraw(struct retry_budget *b, uint64_t now_ns)
{
	if (b->milli_tokens >= TOKEN_MILLI) {
		b->milli_tokens -= TOKEN_MILLI;
	} else if (now_ns >= b->next_free_ns) {
		b->next_free_ns = now_ns + FREE_INTERVAL_NS;
	} else {
		b->denied++;
		return false;
	}
	b->withdrawn++;
	return true;
}
