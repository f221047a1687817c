#include "jd_test.hpp"

extern "C" {
#include "core/retry_budget.h"
}

TEST(RetryBudget, RetriesAreLimitedToAShareOfFirstAttempts)
{
	struct retry_budget b;
	uint64_t now_ns = NS_PER_S;
	int retries = 0;

	retry_budget_init(&b);
	for (int i = 0; i < 10000; i++) {
		now_ns += NS_PER_MS / 10;
		retry_budget_deposit(&b);
		for (int j = 0; j < 3; j++)
			retries += retry_budget_withdraw(&b, now_ns);
	}
	/* A tenth, and the free retries of one second: ten. */
	EXPECT_LE(retries, 1000 + 11);
	EXPECT_GT(b.denied, 0u);
}

TEST(RetryBudget, RetriesAreAllowedUnderLittleTraffic)
{
	struct retry_budget b;

	retry_budget_init(&b);
	EXPECT_TRUE(retry_budget_withdraw(&b, NS_PER_S));
	EXPECT_FALSE(retry_budget_withdraw(&b, NS_PER_S));
	EXPECT_TRUE(retry_budget_withdraw(&b, 2 * NS_PER_S));
}

TEST(RetryBudget, TheBalanceIsBounded)
{
	struct retry_budget b;
	int retries = 0;

	retry_budget_init(&b);
	for (int i = 0; i < 100000; i++)
		retry_budget_deposit(&b);
	for (int i = 0; i < 100; i++)
		retries += retry_budget_withdraw(&b, 1);
	EXPECT_LE(retries, 21);
}
