#include "jd_test.hpp"

#include <algorithm>
#include <rapidcheck.h>
#include <vector>

extern "C" {
#include "core/histogram.h"
}

TEST(Histogram, QuantilesOfAnEmptyOneAreZero)
{
	struct histogram h;

	histogram_init(&h);
	EXPECT_EQ(histogram_quantile_ns(&h, 9900), 0u);
}

TEST(Histogram, QuantilesAreWithinABucketOfTheExactOnes)
{
	EXPECT_TRUE(rc::check("quantiles", [](std::vector<uint32_t> v) {
		struct histogram h;

		RC_PRE(!v.empty());
		histogram_init(&h);
		for (uint32_t x : v)
			histogram_add(&h, x);
		std::sort(v.begin(), v.end());
		for (uint32_t q : {5000u, 9900u, 9999u}) {
			size_t rank = (v.size() * q + 9999) / 10000;
			double exact = v[rank - 1];
			double got = (double)histogram_quantile_ns(&h, q);

			RC_ASSERT(got >= exact);
			RC_ASSERT(got <= std::max(1024.0, exact * 1.04));
		}
	}));
}

TEST(Histogram, DurationsBeyondTheRangeCountInTheLastBucket)
{
	struct histogram h;

	histogram_init(&h);
	histogram_add(&h, UINT64_MAX);
	EXPECT_EQ(histogram_quantile_ns(&h, 9900), UINT64_MAX);
}

TEST(Histogram, DecayHalvesTheCounts)
{
	struct histogram h;

	histogram_init(&h);
	for (int i = 0; i < 100; i++)
		histogram_add(&h, 5 * NS_PER_MS);
	histogram_decay(&h);
	EXPECT_EQ(h.count, 50u);
}
