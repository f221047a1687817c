#include "jd_test.hpp"

extern "C" {
#include "core/load/capacity.h"
#include "core/mem.h"
}

/* Upstreams of one keyed service; n0 is this node's. */
struct CapacityTest : public ::testing::Test {
	struct directory dir;
	struct mesh_actions out;
	struct work_time work = {};
	struct capacity cp = {};
	uint64_t now_ns = 100 * NS_PER_S;
	uint64_t next_revision = 1;

	CapacityTest()
	{
		directory_init(&dir, "r0");
		mesh_actions_init(&out);
	}
	~CapacityTest() override
	{
		directory_done(&dir);
		mesh_actions_done(&out);
	}
	struct dir_node *add(const std::string &name, uint64_t usual_ms)
	{
		struct record *r = record_new(RECORD_CARD, name.c_str());
		struct list records;
		struct dir_node *n;

		list_init(&records);
		list_push_back(&records, &r->link);
		r->revision = next_revision++;
		mem_copy_str(r->u.card.service, "archive",
			     sizeof(r->u.card.service));
		r->u.card.slots = 12;
		r->u.card.boot = r->revision;
		directory_apply(&dir, &records, false, r->revision, now_ns,
				&out);
		records_delete(&records);
		n = directory_node(&dir, name.c_str());
		n->load.usual_ns = usual_ms * NS_PER_MS;
		return n;
	}
	void measure(double ms, int requests)
	{
		for (int i = 0; i < requests; i++)
			work_time_add(&work, ms * NS_PER_MS);
	}
	/* One check, @after_ms later. */
	bool update(uint64_t after_ms = 500)
	{
		struct capacity_opts o = {&dir,	 "n0", "archive",
					  &work, 12,   now_ns};

		now_ns += after_ms * NS_PER_MS;
		o.now_ns = now_ns;
		return capacity_update(&cp, &o);
	}
};

/*
 * Load: keys dealt evenly over upstreams of speeds 0.5 to 1.5. One of half the
 * speed gets twice the work that it can do in the time of the others.
 */
TEST_F(CapacityTest, ASlowUpstreamIsToOwnFewerKeys)
{
	add("n0", 0);
	add("n1", 100);
	add("n2", 100);
	measure(200, 200);
	EXPECT_TRUE(update());
	EXPECT_EQ(cp.weight, CAPACITY_WEIGHT_UNIT / 2);
}

TEST_F(CapacityTest, AFastUpstreamIsToOwnMore)
{
	add("n0", 0);
	add("n1", 100);
	measure(67, 200);
	EXPECT_TRUE(update());
	EXPECT_EQ(cp.weight, CAPACITY_WEIGHT_UNIT * 3 / 2);
}

/* A neighbour makes work three times as slow for a fifth of the time. */
TEST_F(CapacityTest, NoiseMovesNoKeys)
{
	add("n0", 0);
	add("n1", 140);
	for (int i = 0; i < 400; i++) {
		measure(i / 10 % 5 ? 100 : 300, 1);
		if (i <= 100)
			continue;
		EXPECT_FALSE(update(20)) << "request " << i;
	}
}

TEST_F(CapacityTest, FewSamplesMoveNoKeys)
{
	add("n0", 0);
	add("n1", 100);
	measure(400, 99);
	EXPECT_FALSE(update());
	EXPECT_EQ(work_time_stated_ns(&work), 0u);
}

/* Reports of most others are missing: after a start, or of an earlier build. */
TEST_F(CapacityTest, MostOthersHaveToBeMeasured)
{
	add("n0", 0);
	add("n1", 100);
	add("n2", 0);
	add("n3", 0);
	measure(400, 200);
	EXPECT_FALSE(update());
}

/* Each change costs a hand-over: the next one waits until keys have moved. */
TEST_F(CapacityTest, ChangesAreFarApart)
{
	add("n0", 0);
	add("n1", 100);
	measure(200, 200);
	EXPECT_TRUE(update());
	measure(800, 400);
	EXPECT_FALSE(update(3000));
	EXPECT_TRUE(update(1500));
	EXPECT_EQ(cp.weight, 3u) << "a slow upstream keeps some keys";
	EXPECT_FALSE(update(10000)) << "nothing has changed";
}
