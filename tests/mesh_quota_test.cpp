// Quotas in a whole fleet in virtual time: real nodes with their keys, grants
// and messages; see mesh_sim.hpp. Load answered: one organisation at all nodes.
#include "jd_test.hpp"

#include "mesh_sim.hpp"

static const double RATE = 20;
static const double BOUND = (RATE * 5 + RATE) * 1.1 + 20;

static MeshSimOpts with_organisation()
{
	MeshSimOpts opts;

	opts.organisation_rate = RATE;
	opts.work_ns = 20 * SIM_MS;
	return opts;
}

static void send_for(MeshSim &sim, uint64_t ns, double per_s)
{
	uint64_t end = sim.now + ns;
	uint64_t mean = (uint64_t)((double)NS_PER_S / per_s);

	while (sim.now < end) {
		sim.send_request(
			(int)sim.random_below((uint64_t)sim.opts.nodes), "read",
			(uint32_t)sim.random_below(KEYMAP_KEYS));
		sim.run_for(mean / 2 + sim.random_below(mean));
	}
}

static size_t busiest(const MeshSim &sim)
{
	const std::vector<uint64_t> &t = sim.run_times;
	size_t first = 0, most = 0;

	for (size_t i = 0; i < t.size(); i++) {
		while (t[first] + 5 * NS_PER_S < t[i])
			first++;
		most = std::max(most, i + 1 - first);
	}
	return most;
}

static int answers(const MeshSim &sim, int code)
{
	return (int)std::count_if(sim.codes.begin(), sim.codes.end(),
				  [=](const std::pair<const uint64_t, int> &c) {
					  return c.second == code;
				  });
}

static int keeper_of(MeshSim &sim)
{
	uint32_t key = quota_key("org");

	for (int i = 0; i < sim.opts.nodes; i++)
		if (sim.procs[i].mesh &&
		    holder_holds_key(&sim.procs[i].mesh->holder, key, sim.now))
			return i;
	return -1;
}

TEST(MeshQuota, RequestsBelowTheQuotaAreServed)
{
	MeshSim sim(with_organisation());

	sim.run_for(8 * NS_PER_S);
	send_for(sim, 15 * NS_PER_S, 0.6 * RATE);
	sim.run_for(3 * NS_PER_S);
	EXPECT_TRUE(sim.violations.empty());
	EXPECT_EQ(answers(sim, 429), 0);
	EXPECT_EQ(answers(sim, 503), 0);
	EXPECT_GT(answers(sim, 200), 100);
}

TEST(MeshQuota, RequestsBeyondTheQuotaGet429)
{
	MeshSim sim(with_organisation());

	sim.run_for(8 * NS_PER_S);
	send_for(sim, 15 * NS_PER_S, 4.5 * RATE);
	sim.run_for(3 * NS_PER_S);
	EXPECT_TRUE(sim.violations.empty());
	EXPECT_LE((double)busiest(sim), BOUND);
	EXPECT_GE(answers(sim, 200), 0.9 * 15 * RATE);
	EXPECT_GT(answers(sim, 429), 500);
	EXPECT_EQ(answers(sim, 503), 0);
}

TEST(MeshQuota, TheBoundHoldsWhileKeepersAreKilled)
{
	MeshSim sim(with_organisation());

	sim.run_for(8 * NS_PER_S);
	for (int round = 0; round < 6; round++) {
		int k = keeper_of(sim);

		send_for(sim, 1500 * SIM_MS, 4.5 * RATE);
		if (k < 0)
			continue;
		sim.kill_process(k);
		if (round % 2)
			sim.crash_upstream(k);
		send_for(sim, 500 * SIM_MS, 4.5 * RATE);
		if (round % 2)
			sim.start_upstream(k);
		sim.start_process(k);
		send_for(sim, NS_PER_S, 4.5 * RATE);
	}
	send_for(sim, 12 * NS_PER_S, 4.5 * RATE);
	sim.run_for(3 * NS_PER_S);
	EXPECT_TRUE(sim.violations.empty());
	EXPECT_LE((double)busiest(sim), BOUND);
	EXPECT_GE(keeper_of(sim), 0);
}

/* A thawed node uses no share that was granted before. */
TEST(MeshQuota, TheBoundHoldsWhileNodesAreFrozenAndCutOff)
{
	MeshSim sim(with_organisation());

	sim.run_for(8 * NS_PER_S);
	for (int round = 0; round < 8; round++) {
		int i = round % sim.opts.nodes;

		send_for(sim, NS_PER_S, 4.5 * RATE);
		sim.procs[i].frozen_until_ns = sim.now + NS_PER_S;
		sim.procs[(i + 1) % sim.opts.nodes].peers_cut_until_ns =
			sim.now + 3 * NS_PER_S;
		send_for(sim, NS_PER_S, 4.5 * RATE);
	}
	sim.run_for(3 * NS_PER_S);
	EXPECT_TRUE(sim.violations.empty());
	EXPECT_LE((double)busiest(sim), BOUND);
}
