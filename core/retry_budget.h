/**
 * Token bucket that limits retries and hedges to a share of first attempts, so
 * that they can't amplify an overload. A token pays for one retry or hedge.
 */
#ifndef JD_CORE_RETRY_BUDGET_H
#define JD_CORE_RETRY_BUDGET_H

#include "core/types.h"

struct retry_budget {
	uint32_t
		share_permille; /* retries and hedges per 1000 first attempts */
	uint32_t milli_tokens;	/* thousandths of a token */
	uint64_t next_free_ns;	/* earliest next retry without a token */
	uint64_t withdrawn;
	uint64_t denied;
};

void retry_budget_init(struct retry_budget *b);

/** A first attempt started: adds its share of a token. */
void retry_budget_deposit(struct retry_budget *b);

/** Pays for a retry or hedge; false when it must not be made. */
bool retry_budget_withdraw(struct retry_budget *b, uint64_t now_ns);

#endif
