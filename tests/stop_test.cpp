/* A planned stop of jackdawd ends in time without store and upstream. */
#include "jd_test.hpp"

#include "process.hpp"

/* docs/OPERATING.md: a stop ends within ten seconds. */
static const int STOP_MAX_MS = 10000;

TEST(Stop, EndsInTimeWithoutStoreAndUpstream)
{
	auto store = std::make_unique<jd::Store>();
	jd::Node n("s1", "south-1", "hu-south", store->addr());
	auto began = std::chrono::steady_clock::now();

	ASSERT_EQ(store->jackdaw("apply " JD_SOURCE_DIR "/examples/demo.toml")
			  .code,
		  0);
	ASSERT_TRUE(jd::eventually([&] { return n.number("shards") > 0; }));
	store.reset();
	n.server->stop(SIGKILL);
	jd::sleep_ms(300);
	began = std::chrono::steady_clock::now();
	EXPECT_TRUE(n.daemon->stop_within(SIGTERM, STOP_MAX_MS + 1000));
	EXPECT_LT(std::chrono::steady_clock::now() - began,
		  std::chrono::milliseconds(STOP_MAX_MS));
}
