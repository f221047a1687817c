#include "jd_test.hpp"

extern "C" {
#include "core/shard_map.h"
}

TEST(ShardMap, AssigningAnOwnerRaisesTheEpoch)
{
	struct shard s = {5, 6, 9};

	shard_assign(&s, 6);
	EXPECT_EQ(s.owner, 6u);
	EXPECT_EQ(s.target, 0u);
	EXPECT_EQ(s.epoch, 10u);
}

TEST(ShardMap, KeysSpreadOverAllShards)
{
	struct shard_map *m = shard_map_new("r", 16);
	int hits[16] = {};

	for (int i = 0; i < 1600; i++) {
		std::string key = "order-" + std::to_string(i);

		hits[shard_map_index(m, key.data(), key.size())]++;
	}
	for (int h : hits)
		EXPECT_GT(h, 50);
	shard_map_delete(m);
}
