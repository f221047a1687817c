#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

#include <vector>

extern "C" {
#include "core/burn.h"
}

namespace
{

class Burn : public testing::Test
{
protected:
	Burn()
	{
		burn_init(&b);
	}
	~Burn() override
	{
		burn_done(&b);
	}

	void add(uint64_t at_s, bool good, const char *route = "r",
		 const char *organisation = "o")
	{
		struct burn_event e = {route, organisation, at_s * NS_PER_S,
				       good};
		burn_add(&b, &e);
	}

	const struct burn_series *first()
	{
		return list_entry(b.series.next, struct burn_series, link);
	}

	struct burn b;
};

} // namespace

TEST_F(Burn, EachWindowDropsEventsOlderThanItsLength)
{
	const uint64_t start = 1000000;

	add(start, true);
	add(start, false);
	struct burn_count now = burn_sum(first(), BURN_5_MIN, start * NS_PER_S);
	EXPECT_EQ(now.good, 1u);
	EXPECT_EQ(now.bad, 1u);
	const struct {
		enum burn_window window;
		uint64_t length_s;
	} rows[] = {{BURN_5_MIN, 300},
		    {BURN_1_H, 3600},
		    {BURN_6_H, 21600},
		    {BURN_3_D, 259200}};
	for (const auto &row : rows) {
		const struct burn_window_info *w = burn_window_find(row.window);
		uint64_t inside = start + row.length_s - w->bucket_s;
		uint64_t outside = start + row.length_s + w->bucket_s;

		EXPECT_EQ(uint64_t{w->bucket_s} * w->buckets, row.length_s);
		EXPECT_EQ(burn_sum(first(), row.window, inside * NS_PER_S).bad,
			  1u);
		EXPECT_EQ(burn_sum(first(), row.window, outside * NS_PER_S).bad,
			  0u);
	}
}

TEST_F(Burn, RateIsFailureShareOverErrorBudget)
{
	EXPECT_DOUBLE_EQ(burn_rate({0, 0}, 999000), 0);
	EXPECT_DOUBLE_EQ(burn_rate({999, 1}, 999000), 1);
	EXPECT_DOUBLE_EQ(burn_rate({90, 10}, 990000), 10);
	EXPECT_DOUBLE_EQ(burn_rate({1, 1}, 1000000), 500000);
	EXPECT_DOUBLE_EQ(burn_rate({0, 5}, 0), 1);
}

TEST_F(Burn, RoutesAndOrganisationsAreCountedSeparately)
{
	add(10, true, "r", "o");
	add(10, false, "r", "");
	add(10, false, "s", "o");
	EXPECT_EQ(b.count, 3u);
	EXPECT_STREQ(first()->route, "s");
	EXPECT_EQ(burn_sum(first(), BURN_5_MIN, 10 * NS_PER_S).bad, 1u);
}

TEST_F(Burn, LeastRecentlyUsedSeriesIsDroppedAtTheLimit)
{
	for (int i = 0; i < 3 * BURN_SERIES_MAX; i++) {
		add(10, true, "kept");
		add(10, true, ("r" + std::to_string(i)).c_str());
	}
	EXPECT_EQ(b.count, static_cast<uint32_t>(BURN_SERIES_MAX));
	EXPECT_EQ(b.forgotten, 2u * BURN_SERIES_MAX + 1);
	struct burn_event e = {"kept", "o", 10 * NS_PER_S, true};
	burn_add(&b, &e);
	EXPECT_EQ(burn_sum(first(), BURN_5_MIN, 10 * NS_PER_S).good,
		  3u * BURN_SERIES_MAX + 1);
}

// The rings count the same as a plain list of events, also after long gaps.
RC_GTEST_PROP(BurnModel, AgreesWithAListOfEvents, ())
{
	struct burn b;
	std::vector<std::pair<uint64_t, bool>> events;
	uint64_t now = *rc::gen::inRange<uint64_t>(0, 400000);

	burn_init(&b);
	int n = *rc::gen::inRange(1, 60);
	for (int i = 0; i < n; i++) {
		now += *rc::gen::element<uint64_t>(0, 1, 9, 10, 59, 60, 299,
						   301, 3600, 7200, 86400);
		bool good = *rc::gen::arbitrary<bool>();
		struct burn_event e = {"r", "o", now * NS_PER_S, good};

		burn_add(&b, &e);
		events.emplace_back(now, good);
	}
	now += *rc::gen::element<uint64_t>(0, 5, 100, 4000, 100000);
	const struct burn_series *s =
		list_entry(b.series.next, struct burn_series, link);
	for (int w = 0; w < BURN_WINDOW_COUNT; w++) {
		const struct burn_window_info *info =
			burn_window_find(static_cast<enum burn_window>(w));
		uint64_t good = 0, bad = 0;

		for (const auto &[at, was_good] : events) {
			if (now / info->bucket_s - at / info->bucket_s >=
			    info->buckets)
				continue;
			good += was_good;
			bad += !was_good;
		}
		struct burn_count sum = burn_sum(
			s, static_cast<enum burn_window>(w), now * NS_PER_S);
		RC_ASSERT(sum.good == good);
		RC_ASSERT(sum.bad == bad);
	}
	burn_done(&b);
}
