/* A whole leased fleet in virtual time: mesh_world.hpp has the model. */
#include "jd_test.hpp"

#include "mesh_world.hpp"

static std::string joined(const std::vector<std::string> &lines)
{
	std::string all;

	for (auto &l : lines)
		all += l + "\n";
	return all;
}

#define EXPECT_SOUND(w) EXPECT_TRUE((w).broken.empty()) << joined((w).broken)

static void ask_some(MeshSim &w, int count)
{
	static const char *const routes[] = {"pay", "read", "keys", "keyset"};

	for (int i = 0; i < count; i++) {
		w.ask((int)w.below((uint64_t)w.o.nodes), routes[w.below(4)],
		      (uint32_t)w.below(KEYMAP_KEYS));
		w.run_for(10 * W_MS);
	}
}

TEST(Mesh, AllKeysAreHeldSoonAfterTheStart)
{
	MeshSim w({});

	w.run_for(5 * NS_PER_S);
	EXPECT_SOUND(w);
	EXPECT_EQ(w.unheld(), 0u);
	for (int i = 0; i < w.o.nodes; i++)
		EXPECT_TRUE(mesh_ready(w.procs[i].mesh));
}

TEST(Mesh, ABurstOfChangesTakesFewCalls)
{
	MeshSim w({});
	uint64_t before;

	w.run_for(6 * NS_PER_S);
	before = w.procs[0].mesh->session.calls[CALL_WATCH_ALL];
	for (uint64_t v = 2; v < 42; v++) {
		w.put_config(v);
		w.run_for(2 * W_MS);
	}
	w.run_for(200 * W_MS);
	EXPECT_EQ(w.procs[0].mesh->ctx.dir.manifest->version, 41u);
	EXPECT_LE(w.procs[0].mesh->session.calls[CALL_WATCH_ALL] - before, 8u);
}

TEST(Mesh, ServesAllOnACalmDay)
{
	MeshSim w({});
	int before;

	w.run_for(6 * NS_PER_S);
	before = w.served;
	ask_some(w, 200);
	w.run_for(3 * NS_PER_S);
	EXPECT_SOUND(w);
	EXPECT_EQ(w.served - before, 200);
}

TEST(Mesh, ARestartedProcessMovesNoKey)
{
	MeshSim w({});
	std::map<uint32_t, Upstream::Row> before;

	w.run_for(6 * NS_PER_S);
	before = w.ups[1].holds;
	w.kill_process(1);
	w.run_for(NS_PER_S);
	w.start_process(1);
	w.run_for(5 * NS_PER_S);
	EXPECT_SOUND(w);
	EXPECT_EQ(w.unheld(), 0u);
	ASSERT_EQ(before.size(), w.ups[1].holds.size());
	for (auto &h : before)
		EXPECT_EQ(h.second.fence, w.ups[1].holds[h.first].fence);
}

/* All lose power: each upstream is a new lifetime, its keys move on to it. */
TEST(Mesh, AfterALossOfPowerFewWritesGiveAllKeysBack)
{
	MeshSimOpts o;
	uint64_t before;

	o.nodes = 24;
	MeshSim w(o);
	w.run_for(8 * NS_PER_S);
	ASSERT_EQ(w.unheld(), 0u);
	before = w.keymap_writes;
	for (int i = 0; i < o.nodes; i++) {
		w.kill_process(i);
		w.crash_upstream(i);
	}
	w.run_for(500 * W_MS);
	for (int i = 0; i < o.nodes; i++) {
		w.start_upstream(i);
		w.start_process(i);
	}
	w.run_for(4 * NS_PER_S);
	EXPECT_SOUND(w);
	EXPECT_EQ(w.unheld(), 0u);
	EXPECT_LE(w.keymap_writes - before, (uint64_t)o.nodes);
}

TEST(Mesh, KeysOfALostVmAreHeldAgainAfterItsLease)
{
	MeshSim w({});

	w.run_for(6 * NS_PER_S);
	w.kill_process(1);
	w.crash_upstream(1);
	w.run_for(8 * NS_PER_S);
	EXPECT_SOUND(w);
	EXPECT_EQ(w.unheld(), 0u);
}

TEST(Mesh, KeysOfACrashedUpstreamMoveWithinSeconds)
{
	MeshSim w({});

	w.run_for(6 * NS_PER_S);
	w.crash_upstream(3);
	w.run_for(4 * NS_PER_S);
	EXPECT_SOUND(w);
	EXPECT_EQ(w.unheld(), 0u);
}

TEST(Mesh, ALeavingUpstreamHandsItsKeysOver)
{
	MeshSim w({});
	bool proof = false;

	w.run_for(6 * NS_PER_S);
	w.ups[1].draining = true;
	w.run_for(4 * NS_PER_S);
	EXPECT_SOUND(w);
	EXPECT_TRUE(w.ups[1].holds.empty());
	EXPECT_EQ(w.unheld(), 0u);
	for (auto &u : w.ups)
		for (auto &h : u.holds)
			proof |= !h.second.handover.empty();
	EXPECT_TRUE(proof);
}

TEST(Mesh, ADataCentreTakenOutHoldsNoKeys)
{
	MeshSim w({});

	w.run_for(6 * NS_PER_S);
	w.evacuate("dc-1", true);
	w.run_for(4 * NS_PER_S);
	EXPECT_SOUND(w);
	for (int i = 1; i < w.o.nodes; i += 3)
		EXPECT_TRUE(w.ups[i].holds.empty());
	EXPECT_EQ(w.unheld(), 0u);
}

TEST(Mesh, AStoppingNodeAnswersAllItHasTaken)
{
	MeshSim w({});
	std::vector<uint64_t> asked;

	w.run_for(6 * NS_PER_S);
	/* Nobody can serve these: they wait for an owner. */
	for (int i = 1; i < w.o.nodes; i += 2)
		w.crash_upstream(i);
	w.stop_process(0);
	for (int i = 0; i < 60 && w.procs[0].mesh; i++) {
		asked.push_back(w.ask(0, "keys", (uint32_t)i));
		w.run_for(100 * W_MS);
	}
	w.run_for(2 * NS_PER_S);
	EXPECT_EQ(w.procs[0].mesh, nullptr);
	for (uint64_t caller : asked)
		EXPECT_EQ(w.replies[caller], caller ? 1 : 0);
	EXPECT_SOUND(w);
}

TEST(Mesh, AStopEndsInItsTimeWithTheStoreAndUpstreamsGone)
{
	MeshSim w({});

	w.run_for(6 * NS_PER_S);
	w.store_down = true;
	for (int i = 0; i < w.o.nodes; i++)
		w.crash_upstream(i);
	w.stop_process(2);
	w.run_for(6 * NS_PER_S);
	EXPECT_EQ(w.procs[2].mesh, nullptr);
}

TEST(Mesh, RenewalsThroughAnotherNodeKeepAnOwnerThatTheStoreTurnsAway)
{
	MeshSim w({});

	w.run_for(6 * NS_PER_S);
	w.procs[1].cut_until = w.now + 15 * NS_PER_S;
	w.run_for(14 * NS_PER_S);
	EXPECT_SOUND(w);
	EXPECT_FALSE(w.ups[1].holds.empty());
}

/* One fault at random; some end by themselves later. */
static void disturb(MeshSim &w)
{
	int i = (int)w.below((uint64_t)w.o.nodes);
	uint64_t long_ns = w.below(9 * NS_PER_S);

	switch (w.below(9)) {
	case 0:
		w.kill_process(i);
		w.at(w.now + w.below(3 * NS_PER_S), [&w, i] {
			if (!w.procs[i].mesh)
				w.start_process(i);
		});
		break;
	case 1:
		w.crash_upstream(i);
		w.at(w.now + w.below(4 * NS_PER_S), [&w, i] {
			if (!w.ups[i].up)
				w.start_upstream(i);
		});
		break;
	case 2:
		w.procs[i].frozen_until = w.now + long_ns;
		break;
	case 3:
		w.procs[i].cut_until = w.now + long_ns;
		break;
	case 4:
		w.store_down = true;
		w.at(w.now + long_ns, [&w] { w.store_down = false; });
		break;
	case 5: /* the VM is lost, and comes back */
		w.kill_process(i);
		w.crash_upstream(i);
		w.at(w.now + long_ns, [&w, i] {
			if (!w.ups[i].up)
				w.start_upstream(i);
			if (!w.procs[i].mesh)
				w.start_process(i);
		});
		break;
	case 6:
		w.ups[i].draining = true;
		w.at(w.now + 3 * NS_PER_S + w.below(3 * NS_PER_S), [&w, i] {
			w.crash_upstream(i);
			w.start_upstream(i);
		});
		break;
	case 7: {
		std::string dc = "dc-" + std::to_string(w.below(3));

		w.evacuate(dc, true);
		w.at(w.now + long_ns, [&w, dc] { w.evacuate(dc, false); });
		break;
	}
	case 8:
		w.stop_process(i);
		w.at(w.now + 7 * NS_PER_S, [&w, i] {
			if (!w.procs[i].mesh)
				w.start_process(i);
		});
		break;
	}
}

static void soak(uint64_t seed, uint64_t seconds)
{
	MeshSimOpts o;
	uint64_t calm;

	o.seed = seed;
	o.lost_call = 0.05;
	o.late_write = 0.05;
	MeshSim w(o);

	w.run_for(4 * NS_PER_S);
	for (uint64_t end = w.now + seconds * NS_PER_S;
	     w.now < end && w.broken.empty();) {
		if (w.below(60) == 0)
			disturb(w);
		ask_some(w, 5);
	}
	/* Calm again: all is back in the end. */
	w.o.lost_call = 0;
	w.o.late_write = 0;
	w.run_for(10 * NS_PER_S);
	w.store_down = false;
	for (int i = 0; i < w.o.nodes; i++) {
		if (!w.ups[i].up)
			w.start_upstream(i);
		if (!w.procs[i].mesh)
			w.start_process(i);
	}
	w.run_for(25 * NS_PER_S);
	EXPECT_SOUND(w) << "seed " << seed;
	EXPECT_EQ(w.unheld(), 0u) << "seed " << seed;
	calm = (uint64_t)w.served;
	ask_some(w, 50);
	w.run_for(3 * NS_PER_S);
	EXPECT_EQ((uint64_t)w.served - calm, 50u) << "seed " << seed;
}

TEST(Mesh, FaultsAtRandom)
{
	const char *first = getenv("JD_MESH_SEED");
	const char *count = getenv("JD_MESH_RUNS");
	uint64_t from = first ? strtoull(first, NULL, 10) : 1;
	uint64_t runs = count ? strtoull(count, NULL, 10) : 12;

	for (uint64_t seed = from; seed < from + runs; seed++) {
		soak(seed, 40);
		if (HasFailure())
			return;
	}
}
