#include "jd_test.hpp"

#include <vector>

extern "C" {
#include "core/window_budget.h"
}

static const uint64_t WINDOW_NS = 10 * NS_PER_S;

TEST(WindowBudget, RetriesStayWithinTheRatioInEveryWindow)
{
	struct window_budget b;
	std::vector<uint64_t> retries;
	uint64_t now = NS_PER_S;

	window_budget_init(&b, WINDOW_NS);
	for (int i = 0; i < 5000; i++) {
		now += 10 * NS_PER_MS;
		window_budget_earn(&b, now);
		while (window_budget_has_room(&b, 0.2, 3, now)) {
			window_budget_spend(&b, now);
			retries.push_back(now);
		}
	}
	/* Each window has 1000 requests. */
	for (size_t i = 0; i < retries.size(); i++) {
		size_t j = i;

		while (j < retries.size() &&
		       retries[j] < retries[i] + WINDOW_NS)
			j++;
		EXPECT_LE(j - i, 0.2 * 1000 * 1.1 + 3 + 1);
	}
}

TEST(WindowBudget, RequestsOutsideTheWindowDoNotCount)
{
	struct window_budget b;

	window_budget_init(&b, WINDOW_NS);
	for (int i = 0; i < 100; i++)
		window_budget_earn(&b, NS_PER_S);
	EXPECT_TRUE(window_budget_has_room(&b, 0.2, 0, NS_PER_S));
	EXPECT_FALSE(
		window_budget_has_room(&b, 0.2, 0, NS_PER_S + 2 * WINDOW_NS));
}

TEST(WindowBudget, SlackAllowsRetriesWithoutRequests)
{
	struct window_budget b;

	window_budget_init(&b, WINDOW_NS);
	EXPECT_TRUE(window_budget_has_room(&b, 0.2, 1, NS_PER_S));
	window_budget_spend(&b, NS_PER_S);
	EXPECT_FALSE(window_budget_has_room(&b, 0.2, 1, NS_PER_S));
}
