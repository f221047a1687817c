#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

#include <map>
#include <xxhash.h>

extern "C" {
#include "core/hot_keys.h"
#include "core/mem.h"
#include "core/rng.h"
}

namespace
{

void count(struct hot_keys *h, const std::string &key, int times = 1)
{
	for (int i = 0; i < times; i++)
		hot_keys_count(h, "r", (uint32_t)key.size(), key.c_str());
}

TEST(HotKeys, ReportsTheHottestFirstAndOnlyAtTheEndOfAWindow)
{
	struct hot_report out[HOT_KEYS_REPORT_MAX];
	struct hot_keys h;

	hot_keys_init(&h);
	EXPECT_EQ(hot_keys_report(&h, NS_PER_S, out), 0u);
	count(&h, "a", 1000);
	count(&h, "bb", 3000);
	count(&h, "ccc", 10);
	EXPECT_EQ(hot_keys_report(&h, 2 * NS_PER_S, out), 0u);
	ASSERT_EQ(hot_keys_report(&h, 6 * NS_PER_S, out), 2u);
	EXPECT_EQ(out[0].shard, 2u);
	EXPECT_EQ(out[1].shard, 1u);
	EXPECT_GT(out[0].rate, out[1].rate);
}

TEST(HotKeys, ReportsTheRateOfASteadyKey)
{
	struct hot_report out[HOT_KEYS_REPORT_MAX];
	struct hot_keys h;
	uint64_t now = 0;

	hot_keys_init(&h);
	for (int window = 0; window < 10; window++) {
		now += 5 * NS_PER_S;
		count(&h, "a", 1000);
		hot_keys_report(&h, now, out);
	}
	count(&h, "a", 1000);
	ASSERT_EQ(hot_keys_report(&h, now + 5 * NS_PER_S, out), 1u);
	EXPECT_NEAR(out[0].rate, 200, 4);
}

TEST(HotKeys, AKeyThatIsNoLongerHotIsNoLongerReported)
{
	struct hot_report out[HOT_KEYS_REPORT_MAX];
	struct hot_keys h;
	uint64_t now = 5 * NS_PER_S;

	hot_keys_init(&h);
	count(&h, "a", 5000);
	EXPECT_EQ(hot_keys_report(&h, now, out), 1u);
	int windows = 0;
	do {
		now += 5 * NS_PER_S;
		windows++;
	} while (hot_keys_report(&h, now, out));
	EXPECT_LE(windows, 6);
}

/* Half of the requests go to 8 hot keys, the others to a million cold ones. */
TEST(HotKeys, FindsHotKeysAmongManyCold)
{
	struct hot_keys h;
	struct rng rng;

	hot_keys_init(&h);
	rng_init(&rng, 7);
	for (int i = 0; i < 100000; i++) {
		uint64_t r = rng_next(&rng);

		count(&h, r % 2 ? "hot" + std::to_string(r / 2 % 8)
				: "cold" + std::to_string(r / 2 % 1000000));
	}
	int found = 0;
	struct hot_key *k;
	list_for_each_entry(k, &h.ranked, ranked)
		found += k->count - k->error > 5000;
	EXPECT_EQ(found, 8);
}

/* The bounds that the space-saving algorithm guarantees for any stream. */
RC_GTEST_PROP(HotKeys, CountsAreWithinTheirError, ())
{
	struct hot_keys h;
	std::map<uint64_t, uint64_t> exact_counts; /* by hash of the key */
	uint64_t lowest_count = 0;

	hot_keys_init(&h);
	auto stream =
		*rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
	for (int v : stream) {
		std::string key = "k" + std::to_string(v * v % 97);

		exact_counts[XXH3_64bits(key.data(), key.size())]++;
		count(&h, key);
	}
	struct hot_key *k;
	list_for_each_entry(k, &h.ranked, ranked) {
		RC_ASSERT(k->count >= lowest_count);
		lowest_count = k->count;
		RC_ASSERT(k->count >= exact_counts[k->hash]);
		RC_ASSERT(k->count - k->error <= exact_counts[k->hash]);
	}
	RC_ASSERT(h.total == stream.size());
	RC_ASSERT(h.used <= (uint32_t)HOT_KEYS_MAX);
	uint64_t sum = 0;
	list_for_each_entry(k, &h.ranked, ranked)
		sum += k->count;
	RC_ASSERT(sum == h.total);
}

} // namespace
