/**
 * Retries and hedges as a share of first attempts: a token bucket, so that
 * they cannot amplify an overload.
 */
#ifndef JD_CORE_RETRY_BUDGET_H
#define JD_CORE_RETRY_BUDGET_H

#include "core/types.h"

struct retry_budget {
	uint32_t share_permille; /* extra attempts a thousand first ones */
	uint32_t milli;		 /* thousandths of an attempt saved up */
	uint64_t next_free_ns;	 /* one is granted anyway from then on */
	uint64_t spent;
	uint64_t denied;
};

void retry_budget_init(struct retry_budget *b);

/** A first attempt earns its share. */
void retry_budget_deposit(struct retry_budget *b);

/** Takes one extra attempt; false when there is none to spend. */
bool retry_budget_withdraw(struct retry_budget *b, uint64_t now_ns);

#endif
