/* A leased fleet of hundreds of nodes in virtual time; see mesh_sim.hpp. */
#include "jd_test.hpp"

#include "mesh_sim.hpp"

/* All processes start within this time, and callers come LEAD later. */
static const uint64_t START_SPREAD_NS = 300 * SIM_MS;
static const uint64_t LEAD_NS = 10 * NS_PER_S;

/* Three regions of three data centres; loops on a tenth of a core. */
static MeshSimOpts fleet_of(int nodes, int keyed)
{
	MeshSimOpts o;

	o.nodes = nodes;
	o.keyed = keyed;
	o.regions = 3;
	o.dcs = 9;
	o.start_spread_ns = START_SPREAD_NS;
	o.store_writes_per_s = 3200;
	o.store_reads_per_s = 16000;
	o.event_ns = 1 * SIM_MS;
	o.send_ns = SIM_MS / 2;
	o.send_copy_ns = SIM_MS / 10;
	o.check_interval_ns = 20 * SIM_MS;
	return o;
}

struct Spread {
	uint32_t without_keys = 0;
	double busiest_over_mean = 0;
};

/* By the keys that upstreams hold. */
static Spread spread_of(MeshSim &sim)
{
	Spread s;
	uint32_t upstreams = 0, most = 0, sum = 0;

	for (auto &u : sim.upstreams) {
		uint32_t keys = 0;

		if (!u.up || !u.keyed || u.draining)
			continue;
		for (auto &h : u.holds)
			keys += h.second.to - h.first + 1;
		upstreams++;
		sum += keys;
		most = std::max(most, keys);
		s.without_keys += !keys;
	}
	if (sum)
		s.busiest_over_mean = (double)most * upstreams / sum;
	return s;
}

static std::string first_violation(const MeshSim &sim)
{
	return sim.violations.empty() ? "" : sim.violations[0];
}

static void expect_even(MeshSim &sim)
{
	Spread s = spread_of(sim);

	EXPECT_EQ(first_violation(sim), "");
	EXPECT_EQ(sim.unheld_keys(), 0u);
	EXPECT_EQ(s.without_keys, 0u);
	EXPECT_LE(s.busiest_over_mean, 1.25);
}

/*
 * Guards against a first keymap dealt to the few upstreams that its writer has
 * had load reports from: one of 76 got all keys, and balancing moved none.
 */
TEST(MeshSize, EachOf76UpstreamsHasKeysWhenTheCallersCome)
{
	MeshSim sim(fleet_of(200, 76));

	sim.run_for(LEAD_NS);
	expect_even(sim);
	for (auto &p : sim.procs)
		EXPECT_TRUE(mesh_ready(p.mesh));
}

/*
 * Guards against a balance in which most upstreams give a few keys up and all
 * of them write the one keymap at once: 9 late upstreams of 76 caused 732
 * writes on the bench, and each of them a poll by every node.
 */
TEST(MeshSize, UpstreamsThatComeLateGetKeysInFewCalls)
{
	MeshSim sim(fleet_of(200, 76));
	std::vector<int> late;
	uint64_t writes, calls;

	for (int i = 0; i < 200 && late.size() < 9; i += 7)
		if (sim.upstreams[(size_t)i].keyed)
			late.push_back(i);
	for (int i : late)
		sim.upstreams[(size_t)i].up = false;
	sim.run_for(LEAD_NS);
	ASSERT_EQ(sim.unheld_keys(), 0u);
	writes = sim.keymap_writes;
	calls = sim.store_calls;
	for (int i : late)
		sim.start_upstream(i);
	sim.run_for(LEAD_NS);
	expect_even(sim);
	EXPECT_LE(sim.keymap_writes - writes, 60u);
	/* Besides a renewal a second of each node. */
	EXPECT_LE(sim.store_calls - calls, 200 * 10 + 400u);
}

/* The time until keys of lost nodes are held again, from their cards' end. */
static uint64_t until_held_ns(MeshSim &sim, const std::vector<int> &lost)
{
	uint64_t gone_ns = 0;
	uint64_t end_ns = sim.now + 30 * NS_PER_S;

	for (int i : lost) {
		sim.kill_process(i);
		sim.crash_upstream(i);
	}
	while (sim.now < end_ns) {
		bool any_card = false;

		sim.run_for(50 * SIM_MS);
		for (int i : lost)
			any_card |=
				sim.store.items.count(MeshSim::key_of(
					RECORD_CARD, sim.name(i).c_str())) > 0;
		if (any_card)
			gone_ns = sim.now;
		else if (!sim.unheld_keys())
			return sim.now - gone_ns;
	}
	return UINT64_MAX;
}

/*
 * Guards against an order of the nodes that adopt keys in which the last of a
 * large fleet waits for minutes, and nodes that are gone leave only delays.
 */
static void expect_keys_back(int nodes, int keyed, int dcs_lost)
{
	MeshSim sim(fleet_of(nodes, keyed));
	std::vector<int> lost;

	sim.run_for(LEAD_NS + 5 * NS_PER_S);
	ASSERT_EQ(sim.unheld_keys(), 0u);
	/* Names are compared as text: node-0, node-1, node-10 come first. */
	for (int i = 0; i < nodes; i++)
		if (dcs_lost == 1 ? i % 9 == 1 : i % 3 == 1)
			lost.push_back(i);
	EXPECT_LE(until_held_ns(sim, lost), 3 * NS_PER_S);
	EXPECT_EQ(first_violation(sim), "");
	sim.run_for(8 * NS_PER_S);
	expect_even(sim);
}

TEST(MeshSize, KeysOfALostDataCentreOf200NodesAreHeldAgain)
{
	expect_keys_back(200, 76, 1);
}

TEST(MeshSize, KeysOfALostRegionOf200NodesAreHeldAgain)
{
	expect_keys_back(200, 76, 3);
}

TEST(MeshSize, KeysOfALostDataCentreOf300NodesAreHeldAgain)
{
	expect_keys_back(300, 117, 1);
}

TEST(MeshSize, KeysOfALostRegionOf300NodesAreHeldAgain)
{
	expect_keys_back(300, 117, 3);
}

/* Its reports and changes leave time for requests in each turn of a loop. */
TEST(MeshSize, NoTurnOfALoopIsLongAt300Nodes)
{
	MeshSim sim(fleet_of(300, 117));

	sim.run_for(LEAD_NS);
	expect_even(sim);
	sim.put_manifest(2);
	sim.upstreams[1].draining = true;
	sim.run_for(5 * NS_PER_S);
	EXPECT_LE(sim.longest_turn_ns, 50 * SIM_MS);
	for (auto &p : sim.procs)
		EXPECT_EQ(p.mesh->ctx.dir.manifest->version, 2u);
}

/* All VMs lose power at once; as in mesh_test, for a larger fleet. */
TEST(MeshSize, AfterALossOfPowerFewWritesGiveTheKeysOf200NodesBack)
{
	MeshSim sim(fleet_of(200, 76));
	uint64_t before;

	sim.run_for(LEAD_NS);
	ASSERT_EQ(sim.unheld_keys(), 0u);
	before = sim.keymap_writes;
	for (int i = 0; i < sim.opts.nodes; i++) {
		sim.kill_process(i);
		sim.crash_upstream(i);
	}
	sim.run_for(500 * SIM_MS);
	for (int i = 0; i < sim.opts.nodes; i++) {
		sim.start_upstream(i);
		sim.schedule_start(i);
	}
	sim.run_for(10 * NS_PER_S);
	EXPECT_EQ(first_violation(sim), "");
	EXPECT_EQ(sim.unheld_keys(), 0u);
	EXPECT_LE(sim.keymap_writes - before, (uint64_t)sim.opts.nodes);
}
