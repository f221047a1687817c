/* Tests of a whole leased fleet in virtual time; see mesh_sim.hpp. */
#include "jd_test.hpp"

#include "mesh_sim.hpp"

static std::string joined(const std::vector<std::string> &lines)
{
	std::string all;

	for (auto &l : lines)
		all += l + "\n";
	return all;
}

#define EXPECT_NO_VIOLATIONS(sim)                                              \
	EXPECT_TRUE((sim).violations.empty()) << joined((sim).violations)

static void send_requests(MeshSim &sim, int count)
{
	static const char *const routes[] = {"pay", "read", "keys", "keyset"};

	for (int i = 0; i < count; i++) {
		sim.send_request(
			(int)sim.random_below((uint64_t)sim.opts.nodes),
			routes[sim.random_below(4)],
			(uint32_t)sim.random_below(KEYMAP_KEYS));
		sim.run_for(10 * SIM_MS);
	}
}

TEST(Mesh, AllKeysAreHeldSoonAfterStart)
{
	MeshSim sim({});

	sim.run_for(5 * NS_PER_S);
	EXPECT_NO_VIOLATIONS(sim);
	EXPECT_EQ(sim.unheld_keys(), 0u);
	for (int i = 0; i < sim.opts.nodes; i++)
		EXPECT_TRUE(mesh_ready(sim.procs[i].mesh));
}

TEST(Mesh, ABurstOfChangesCausesFewWatches)
{
	MeshSim sim({});
	uint64_t before;

	sim.run_for(6 * NS_PER_S);
	before = sim.procs[0].mesh->session.calls[CALL_WATCH_ALL];
	for (uint64_t v = 2; v < 42; v++) {
		sim.put_manifest(v);
		sim.run_for(2 * SIM_MS);
	}
	sim.run_for(200 * SIM_MS);
	EXPECT_EQ(sim.procs[0].mesh->ctx.dir.manifest->version, 41u);
	EXPECT_LE(sim.procs[0].mesh->session.calls[CALL_WATCH_ALL] - before,
		  8u);
}

TEST(Mesh, ServesAllRequestsWithoutFaults)
{
	MeshSim sim({});
	int before;

	sim.run_for(6 * NS_PER_S);
	before = sim.served;
	send_requests(sim, 200);
	sim.run_for(3 * NS_PER_S);
	EXPECT_NO_VIOLATIONS(sim);
	EXPECT_EQ(sim.served - before, 200);
}

TEST(Mesh, ARestartedProcessKeepsItsKeys)
{
	MeshSim sim({});
	std::map<uint32_t, Upstream::Row> before;

	sim.run_for(6 * NS_PER_S);
	before = sim.upstreams[1].holds;
	sim.kill_process(1);
	sim.run_for(NS_PER_S);
	sim.start_process(1);
	sim.run_for(5 * NS_PER_S);
	EXPECT_NO_VIOLATIONS(sim);
	EXPECT_EQ(sim.unheld_keys(), 0u);
	ASSERT_EQ(before.size(), sim.upstreams[1].holds.size());
	for (auto &h : before)
		EXPECT_EQ(h.second.fence,
			  sim.upstreams[1].holds[h.first].fence);
}

/*
 * All VMs lose power and start again. Each upstream begins a new lifetime that
 * takes over the keys of the one before. If each node wrote its own moves in
 * turn to the one keymap, that would take many conflicting writes.
 */
TEST(Mesh, AfterALossOfPowerFewWritesGiveAllKeysBack)
{
	MeshSimOpts opts;
	uint64_t before;

	opts.nodes = 24;
	MeshSim sim(opts);
	sim.run_for(8 * NS_PER_S);
	ASSERT_EQ(sim.unheld_keys(), 0u);
	before = sim.keymap_writes;
	for (int i = 0; i < opts.nodes; i++) {
		sim.kill_process(i);
		sim.crash_upstream(i);
	}
	sim.run_for(500 * SIM_MS);
	for (int i = 0; i < opts.nodes; i++) {
		sim.start_upstream(i);
		sim.start_process(i);
	}
	sim.run_for(4 * NS_PER_S);
	EXPECT_NO_VIOLATIONS(sim);
	EXPECT_EQ(sim.unheld_keys(), 0u);
	EXPECT_LE(sim.keymap_writes - before, (uint64_t)opts.nodes);
}

TEST(Mesh, KeysOfALostVmMoveAfterItsLeaseEnds)
{
	MeshSim sim({});

	sim.run_for(6 * NS_PER_S);
	sim.kill_process(1);
	sim.crash_upstream(1);
	sim.run_for(8 * NS_PER_S);
	EXPECT_NO_VIOLATIONS(sim);
	EXPECT_EQ(sim.unheld_keys(), 0u);
}

TEST(Mesh, KeysOfACrashedUpstreamMoveWithinSeconds)
{
	MeshSim sim({});

	sim.run_for(6 * NS_PER_S);
	sim.crash_upstream(3);
	sim.run_for(4 * NS_PER_S);
	EXPECT_NO_VIOLATIONS(sim);
	EXPECT_EQ(sim.unheld_keys(), 0u);
}

TEST(Mesh, ALeavingUpstreamHandsOverItsKeys)
{
	MeshSim sim({});
	bool handover_seen = false;

	sim.run_for(6 * NS_PER_S);
	sim.upstreams[1].draining = true;
	sim.run_for(4 * NS_PER_S);
	EXPECT_NO_VIOLATIONS(sim);
	EXPECT_TRUE(sim.upstreams[1].holds.empty());
	EXPECT_EQ(sim.unheld_keys(), 0u);
	for (auto &u : sim.upstreams)
		for (auto &h : u.holds)
			handover_seen |= !h.second.handover.empty();
	EXPECT_TRUE(handover_seen);
}

/*
 * Guards against an upstream that has left and is in use again after a restart
 * of its node's process, by an announcement from before that comes late.
 */
TEST(Mesh, ALateAnnouncementAfterARestartDoesNotUndoALeave)
{
	MeshSim sim({});

	sim.run_for(6 * NS_PER_S);
	sim.upstreams[1].draining = true;
	sim.run_for(2 * NS_PER_S);
	EXPECT_TRUE(sim.upstreams[1].holds.empty());
	sim.kill_process(1);
	sim.run_for(300 * SIM_MS);
	sim.start_process(1);
	/* It was sent before the upstream began to leave. */
	sim.upstreams[1].draining = false;
	sim.send_announcement(1);
	sim.upstreams[1].up = false;
	sim.run_for(3 * NS_PER_S);
	EXPECT_NO_VIOLATIONS(sim);
	EXPECT_FALSE(holder_accepts_requests(&sim.procs[1].mesh->holder,
					     &sim.procs[1].mesh->ctx));
	EXPECT_TRUE(sim.procs[1].mesh->session.card.draining);
	EXPECT_EQ(sim.unheld_keys(), 0u);
	for (int i = 0; i < sim.opts.nodes; i++) {
		const struct dir_node *n = directory_node(
			&sim.procs[i].mesh->ctx.dir, sim.name(1).c_str());

		EXPECT_FALSE(n && directory_usable(&sim.procs[i].mesh->ctx.dir,
						   n, sim.now))
			<< i;
	}
}

TEST(Mesh, AnEvacuatedDataCentreHoldsNoKeys)
{
	MeshSim sim({});

	sim.run_for(6 * NS_PER_S);
	sim.evacuate("dc-1", true);
	sim.run_for(4 * NS_PER_S);
	EXPECT_NO_VIOLATIONS(sim);
	for (int i = 1; i < sim.opts.nodes; i += 3)
		EXPECT_TRUE(sim.upstreams[i].holds.empty());
	EXPECT_EQ(sim.unheld_keys(), 0u);
}

TEST(Mesh, AStoppingNodeAnswersEachRequestOnce)
{
	MeshSim sim({});
	std::vector<uint64_t> callers;

	sim.run_for(6 * NS_PER_S);
	/* No upstream can serve the keyed requests: they wait for an owner. */
	for (int i = 1; i < sim.opts.nodes; i += 2)
		sim.crash_upstream(i);
	sim.stop_process(0);
	for (int i = 0; i < 60 && sim.procs[0].mesh; i++) {
		callers.push_back(sim.send_request(0, "keys", (uint32_t)i));
		sim.run_for(100 * SIM_MS);
	}
	sim.run_for(2 * NS_PER_S);
	EXPECT_EQ(sim.procs[0].mesh, nullptr);
	for (uint64_t caller : callers)
		EXPECT_EQ(sim.replies[caller], caller ? 1 : 0);
	EXPECT_NO_VIOLATIONS(sim);
}

TEST(Mesh, AStopEndsInTimeWithoutStoreAndUpstreams)
{
	MeshSim sim({});

	sim.run_for(6 * NS_PER_S);
	sim.store_down = true;
	for (int i = 0; i < sim.opts.nodes; i++)
		sim.crash_upstream(i);
	sim.stop_process(2);
	sim.run_for(6 * NS_PER_S);
	EXPECT_EQ(sim.procs[2].mesh, nullptr);
}

TEST(Mesh, RenewalsThroughAPeerKeepTheKeysOfANodeCutFromTheStore)
{
	MeshSim sim({});

	sim.run_for(6 * NS_PER_S);
	sim.procs[1].store_cut_until_ns = sim.now + 15 * NS_PER_S;
	sim.run_for(14 * NS_PER_S);
	EXPECT_NO_VIOLATIONS(sim);
	EXPECT_FALSE(sim.upstreams[1].holds.empty());
}

/*
 * The store comes back from an older copy (MeshSim::restore()): what nodes
 * wrote since is gone, leases too, revisions and ids of leases are given out
 * again, and the operators write theirs again a moment later.
 */
struct RestoredStore {
	static MeshSimOpts with_copies(MeshSimOpts o)
	{
		o.copies = true;
		return o;
	}

	MeshSim sim;
	std::vector<uint64_t> callers;

	explicit RestoredStore(const MeshSimOpts &o = {}) : sim(with_copies(o))
	{
	}

	/* A version with one route more; it has a second to take effect. */
	void put_version(uint64_t version)
	{
		sim.more_routes.push_back("v" + std::to_string(version));
		sim.put_manifest(version);
		sim.run_for(NS_PER_S);
	}
	/* Callers use the route that the version added at all nodes. */
	void request(uint64_t version)
	{
		std::string route = "v" + std::to_string(version);

		for (int i = 0; i < sim.opts.nodes; i++)
			callers.push_back(
				sim.send_request(i, route.c_str(), 0));
	}
	/* Runs on for @ns while callers use what @version added. */
	void run_with_requests(uint64_t version, uint64_t ns)
	{
		for (uint64_t end = sim.now + ns; sim.now < end;) {
			request(version);
			sim.run_for(100 * SIM_MS);
		}
	}
	/*
	 * The version is in force everywhere 3 s after it was written, all keys
	 * have an upstream again, no proper request was called wrong, and all
	 * are served in the end.
	 */
	void expect_recovery(uint64_t version, uint64_t ns = 20 * NS_PER_S)
	{
		uint64_t denied = 0;
		int before;

		put_version(version);
		sim.run_for(2 * NS_PER_S);
		for (int i = 0; i < sim.opts.nodes; i++) {
			ASSERT_NE(sim.procs[i].mesh, nullptr) << i;
			ASSERT_NE(sim.procs[i].mesh->ctx.dir.manifest, nullptr)
				<< i;
			EXPECT_EQ(sim.procs[i].mesh->ctx.dir.manifest->version,
				  version)
				<< i;
		}
		run_with_requests(version, ns);
		sim.run_for(3 * NS_PER_S);
		EXPECT_NO_VIOLATIONS(sim);
		EXPECT_EQ(sim.unheld_keys(), 0u);
		for (uint64_t caller : callers)
			denied += caller && sim.codes.count(caller) &&
				  sim.codes[caller] >= 300 &&
				  sim.codes[caller] < 500;
		EXPECT_EQ(denied, 0u);
		before = sim.served;
		send_requests(sim, 100);
		sim.run_for(3 * NS_PER_S);
		EXPECT_EQ(sim.served - before, 100);
		for (auto &p : sim.procs)
			EXPECT_EQ(revision_era(p.mesh->ctx.dir.revision),
				  sim.era);
		expect_keys_move();
	}
	/* The store has what it takes to move keys and to start nodes. */
	void expect_keys_move()
	{
		sim.crash_upstream(3);
		sim.kill_process(5);
		sim.run_for(300 * SIM_MS);
		sim.start_process(5);
		sim.run_for(6 * NS_PER_S);
		EXPECT_EQ(sim.unheld_keys(), 0u) << "of a crashed upstream";
		sim.kill_process(1);
		sim.crash_upstream(1);
		sim.run_for(12 * NS_PER_S);
		EXPECT_EQ(sim.unheld_keys(), 0u) << "of a lost VM";
		EXPECT_NO_VIOLATIONS(sim);
	}
};

/*
 * Guards against nodes that take no configuration written after a restore, as
 * its revision is below those they have (CONFIG), or return to an older one.
 */
TEST(Mesh, AVersionWrittenAfterARestoreIsInForceInTime)
{
	RestoredStore t;

	t.sim.run_for(8 * NS_PER_S);
	t.put_version(4);
	t.sim.run_for(3 * NS_PER_S);
	t.put_version(8);
	t.sim.run_for(3 * NS_PER_S);
	t.put_version(11);
	t.run_with_requests(11, 2 * NS_PER_S);
	t.sim.restore_after_outage(9 * NS_PER_S, 2 * NS_PER_S, 500 * SIM_MS);
	t.run_with_requests(11, 6 * NS_PER_S);
	t.expect_recovery(14);
}

/* The node is cut off while the others learn of the new era, and later. */
TEST(Mesh, ARestoreBehindTheBackOfANodeThatIsCutFromTheStore)
{
	RestoredStore t;

	t.sim.run_for(10 * NS_PER_S);
	t.put_version(4);
	t.run_with_requests(4, 2 * NS_PER_S);
	for (int i : {1, 2})
		t.sim.procs[i].store_cut_until_ns = t.sim.now + 12 * NS_PER_S;
	t.sim.run_for(NS_PER_S);
	t.sim.restore_after_outage(4 * NS_PER_S, NS_PER_S, 300 * SIM_MS);
	t.run_with_requests(4, 4 * NS_PER_S);
	t.put_version(6);
	t.run_with_requests(4, 7 * NS_PER_S);
	t.expect_recovery(8);
}

/* The same with a node that hears neither the store nor the other nodes. */
TEST(Mesh, ARestoreBehindTheBackOfANodeThatIsCutFromAll)
{
	RestoredStore t;

	t.sim.run_for(10 * NS_PER_S);
	t.put_version(4);
	t.run_with_requests(4, 2 * NS_PER_S);
	t.sim.procs[1].store_cut_until_ns = t.sim.now + 9 * NS_PER_S;
	t.sim.procs[1].peers_cut_until_ns = t.sim.now + 9 * NS_PER_S;
	t.sim.run_for(NS_PER_S);
	t.sim.restore_after_outage(4 * NS_PER_S, NS_PER_S, 300 * SIM_MS);
	t.sim.run_for(12 * NS_PER_S);
	t.expect_recovery(8);
}

/*
 * A node that restarts while the store shows an older configuration must not
 * answer by it: others run a newer one.
 */
TEST(Mesh, ANodeRestartedWhileTheStoreShowsAnOlderVersion)
{
	RestoredStore t;

	t.sim.run_for(10 * NS_PER_S);
	t.put_version(4);
	t.run_with_requests(4, 2 * NS_PER_S);
	t.sim.restore_after_outage(4 * NS_PER_S, NS_PER_S, 2 * NS_PER_S);
	t.sim.run_for(500 * SIM_MS);
	for (int i : {0, 3})
		t.sim.kill_process(i);
	t.sim.run_for(300 * SIM_MS);
	for (int i : {0, 3})
		t.sim.start_process(i);
	t.run_with_requests(4, 6 * NS_PER_S);
	t.expect_recovery(8);
}

TEST(Mesh, TwoRestoresInARow)
{
	for (uint64_t between : {400 * SIM_MS, 3 * NS_PER_S}) {
		RestoredStore t;

		t.sim.run_for(10 * NS_PER_S);
		t.put_version(4);
		t.run_with_requests(4, 2 * NS_PER_S);
		t.sim.restore_after_outage(4 * NS_PER_S, 500 * SIM_MS,
					   600 * SIM_MS);
		t.sim.run_for(500 * SIM_MS + between);
		t.sim.restore_after_outage(9 * NS_PER_S, 300 * SIM_MS,
					   600 * SIM_MS);
		t.run_with_requests(4, 6 * NS_PER_S);
		t.expect_recovery(8);
	}
}

/*
 * The keymap that moved the keys of leaving upstreams is gone, so their owners
 * of before are owners again, some of which have ended meanwhile.
 */
TEST(Mesh, ARestoreInsideAHandover)
{
	for (uint64_t at : {200 * SIM_MS, 900 * SIM_MS, 2500 * SIM_MS}) {
		RestoredStore t;

		t.sim.run_for(10 * NS_PER_S);
		t.put_version(4);
		t.run_with_requests(4, 2 * NS_PER_S);
		t.sim.upstreams[1].draining = true;
		t.sim.schedule(t.sim.now + 4 * NS_PER_S, [&t] {
			t.sim.crash_upstream(1);
			t.sim.schedule(t.sim.now + NS_PER_S,
				       [&t] { t.sim.start_upstream(1); });
		});
		t.sim.run_for(at);
		t.sim.restore_after_outage(at + 300 * SIM_MS, 400 * SIM_MS,
					   400 * SIM_MS);
		t.run_with_requests(4, 8 * NS_PER_S);
		t.expect_recovery(8);
	}
}

/*
 * Writes of before the restore are executed after it, as the revisions that
 * they expect have been given out again.
 */
TEST(Mesh, LateWritesAndLostAnswersAroundARestore)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		MeshSimOpts o;

		o.seed = seed;
		o.lost_call_share = 0.1;
		o.late_write_share = 0.3;
		RestoredStore t(o);
		t.sim.run_for(12 * NS_PER_S);
		t.put_version(4);
		t.sim.run_for(2 * NS_PER_S);
		for (int i : {1, 3})
			t.sim.upstreams[i].draining = true;
		t.run_with_requests(4, 1500 * SIM_MS);
		t.sim.restore_after_outage(3 * NS_PER_S, 300 * SIM_MS,
					   400 * SIM_MS);
		t.run_with_requests(4, 4 * NS_PER_S);
		for (int i : {1, 3}) {
			t.sim.crash_upstream(i);
			t.sim.start_upstream(i);
		}
		t.sim.run_for(4 * NS_PER_S);
		t.sim.opts.lost_call_share = 0;
		t.sim.opts.late_write_share = 0;
		t.sim.run_for(6 * NS_PER_S);
		t.expect_recovery(8);
		if (::testing::Test::HasFailure()) {
			ADD_FAILURE() << "seed " << seed;
			return;
		}
	}
}

/*
 * Neither keymaps nor cards nor leases are left: a deal as after a first start
 * would give keys away that upstreams hold, with fences that they refuse.
 */
TEST(Mesh, ACopyFromBeforeTheFirstKeymap)
{
	for (uint64_t age : {7800 * SIM_MS, 9 * NS_PER_S, 12 * NS_PER_S}) {
		RestoredStore t;

		t.sim.run_for(8 * NS_PER_S);
		t.put_version(4);
		t.run_with_requests(4, 2 * NS_PER_S);
		t.sim.restore_after_outage(age, 500 * SIM_MS, 500 * SIM_MS);
		t.run_with_requests(4, 8 * NS_PER_S);
		t.expect_recovery(8);
	}
}

/* A data centre was taken out since the copy: no key may return to it. */
TEST(Mesh, AnEvacuationThatTheStoreHasLost)
{
	RestoredStore t;

	t.sim.run_for(10 * NS_PER_S);
	t.put_version(4);
	t.sim.evacuate("dc-1", true);
	t.run_with_requests(4, 4 * NS_PER_S);
	t.sim.restore_after_outage(5 * NS_PER_S, 300 * SIM_MS, 600 * SIM_MS);
	t.run_with_requests(4, 6 * NS_PER_S);
	for (int i = 1; i < t.sim.opts.nodes; i += 3)
		EXPECT_TRUE(t.sim.upstreams[i].holds.empty());
	t.sim.evacuate("dc-1", false);
	t.expect_recovery(8);
}

/* Injects a random fault; most end by themselves after a while. */
static void inject_fault(MeshSim &sim)
{
	int i = (int)sim.random_below((uint64_t)sim.opts.nodes);
	uint64_t fault_ns = sim.random_below(9 * NS_PER_S);

	switch (sim.random_below(9)) {
	case 0:
		sim.kill_process(i);
		sim.schedule(sim.now + sim.random_below(3 * NS_PER_S),
			     [&sim, i] {
				     if (!sim.procs[i].mesh)
					     sim.start_process(i);
			     });
		break;
	case 1:
		sim.crash_upstream(i);
		sim.schedule(sim.now + sim.random_below(4 * NS_PER_S),
			     [&sim, i] {
				     if (!sim.upstreams[i].up)
					     sim.start_upstream(i);
			     });
		break;
	case 2:
		sim.procs[i].frozen_until_ns = sim.now + fault_ns;
		break;
	case 3:
		sim.procs[i].store_cut_until_ns = sim.now + fault_ns;
		break;
	case 4:
		sim.store_down = true;
		sim.schedule(sim.now + fault_ns,
			     [&sim] { sim.store_down = false; });
		break;
	case 5: /* the VM is lost and starts again */
		sim.kill_process(i);
		sim.crash_upstream(i);
		sim.schedule(sim.now + fault_ns, [&sim, i] {
			if (!sim.upstreams[i].up)
				sim.start_upstream(i);
			if (!sim.procs[i].mesh)
				sim.start_process(i);
		});
		break;
	case 6:
		sim.upstreams[i].draining = true;
		sim.schedule(sim.now + 3 * NS_PER_S +
				     sim.random_below(3 * NS_PER_S),
			     [&sim, i] {
				     sim.crash_upstream(i);
				     sim.start_upstream(i);
			     });
		break;
	case 7: {
		std::string dc = "dc-" + std::to_string(sim.random_below(3));

		sim.evacuate(dc, true);
		sim.schedule(sim.now + fault_ns,
			     [&sim, dc] { sim.evacuate(dc, false); });
		break;
	}
	case 8:
		sim.stop_process(i);
		sim.schedule(sim.now + 7 * NS_PER_S, [&sim, i] {
			if (!sim.procs[i].mesh)
				sim.start_process(i);
		});
		break;
	}
}

/* The store goes back by 1 to 12 s after an outage. */
static uint64_t restore_at_random(MeshSim &sim)
{
	uint64_t down_ns = 200 * SIM_MS + sim.random_below(2800 * SIM_MS);
	uint64_t redo_ns = 100 * SIM_MS + sim.random_below(900 * SIM_MS);

	sim.restore_after_outage(NS_PER_S + sim.random_below(11 * NS_PER_S),
				 down_ns, redo_ns);
	return sim.now + down_ns + redo_ns;
}

static void run_random_faults(uint64_t seed, uint64_t seconds, bool restores)
{
	MeshSimOpts opts;
	uint64_t served_before;

	opts.seed = seed;
	opts.lost_call_share = 0.05;
	opts.late_write_share = 0.05;
	opts.copies = restores;
	/* None, all or half of the nodes, as in a rollout. */
	opts.heavy_load_every = (int)(seed % 3);
	MeshSim sim(opts);

	sim.run_for(4 * NS_PER_S);
	for (uint64_t end = sim.now + seconds * NS_PER_S;
	     sim.now < end && sim.violations.empty();) {
		if (restores && sim.random_below(160) == 0)
			restore_at_random(sim);
		if (sim.random_below(60) == 0)
			inject_fault(sim);
		send_requests(sim, 5);
	}
	/* Without faults, the fleet must recover fully. */
	sim.opts.lost_call_share = 0;
	sim.opts.late_write_share = 0;
	sim.run_for(10 * NS_PER_S);
	sim.store_down = false;
	for (int i = 0; i < sim.opts.nodes; i++) {
		if (!sim.upstreams[i].up)
			sim.start_upstream(i);
		if (!sim.procs[i].mesh)
			sim.start_process(i);
	}
	sim.run_for(25 * NS_PER_S);
	EXPECT_NO_VIOLATIONS(sim) << "seed " << seed;
	EXPECT_EQ(sim.unheld_keys(), 0u) << "seed " << seed;
	served_before = (uint64_t)sim.served;
	send_requests(sim, 50);
	sim.run_for(3 * NS_PER_S);
	EXPECT_EQ((uint64_t)sim.served - served_before, 50u) << "seed " << seed;
}

static void faults_at_random(bool restores)
{
	const char *first = getenv("JD_MESH_SEED");
	const char *count = getenv("JD_MESH_RUNS");
	uint64_t from = first ? strtoull(first, NULL, 10) : 1;
	uint64_t runs = count ? strtoull(count, NULL, 10) : 12;

	for (uint64_t seed = from; seed < from + runs; seed++) {
		run_random_faults(seed, 40, restores);
		if (::testing::Test::HasFailure())
			return;
	}
}

TEST(Mesh, FaultsAtRandom)
{
	faults_at_random(false);
}

/* The same with a store that comes back from older copies. */
TEST(Mesh, FaultsAndRestoresAtRandom)
{
	faults_at_random(true);
}

/*
 * Guards against nodes that stay on an old manifest, and answer 404 on new
 * routes: when each node read each version from the store, the store's link did
 * not carry it, and reads that ran into their deadline were repeated.
 */
TEST(Mesh, VersionsOfALargeManifestReachAllNodesOverANarrowLinkOfTheStore)
{
	MeshSimOpts opts;
	uint64_t late = 0;

	opts.nodes = 24;
	opts.manifest_link_ns = 60 * SIM_MS;
	MeshSim sim(opts);
	sim.run_for(15 * NS_PER_S);
	for (uint64_t v = 2; v < 12; v++) {
		sim.put_manifest(v);
		sim.run_for(1100 * SIM_MS);
		/* The version before the last two is older than 2.2 s. */
		for (int i = 0; i < opts.nodes; i++)
			late += sim.procs[i].mesh->ctx.dir.manifest->version +
					2 <
				v;
	}
	EXPECT_EQ(late, 0u);
	EXPECT_NO_VIOLATIONS(sim);
}

/*
 * Guards against 404 on new routes at nodes that the store rejects for seconds:
 * they learned from others that there was a newer manifest, but could read it
 * only from the store.
 */
TEST(Mesh, ANodeThatTheStoreRejectsGetsASmallChangeFromAWatcher)
{
	MeshSimOpts opts;
	uint64_t caller;

	opts.nodes = 20;
	MeshSim sim(opts);
	sim.run_for(8 * NS_PER_S);
	for (int i = 4; i < 12; i++)
		sim.procs[i].store_refuses_until_ns = sim.now + 9 * NS_PER_S;
	sim.run_for(NS_PER_S);
	sim.more_routes = {"added"};
	sim.put_manifest(2);
	sim.run_for(3 * NS_PER_S);
	for (int i = 0; i < opts.nodes; i++)
		EXPECT_EQ(sim.procs[i].mesh->ctx.dir.manifest->version, 2u)
			<< i;
	caller = sim.send_request(5, "added", 0);
	sim.run_for(2 * NS_PER_S);
	EXPECT_EQ(sim.codes[caller], 200);
	EXPECT_NO_VIOLATIONS(sim);
}

/*
 * Operators' changes in quick succession beside faults. Routes that all
 * versions have are requested at each node, and each node that has been
 * without faults for CALM_NS must have every version apply_ns after it.
 */
struct ManifestStorm {
	static constexpr uint64_t CALM_NS = 4 * NS_PER_S;

	MeshSim sim;
	uint64_t apply_ns = 3 * NS_PER_S;
	std::vector<uint64_t> disturbed_until;
	std::vector<std::pair<uint64_t, uint64_t>> versions; /* when, which */
	uint64_t store_disturbed_until = 0;
	uint64_t version = 1;
	uint64_t next_version_ns = 0;
	uint64_t version_interval_ns = NS_PER_S;
	uint64_t restore_interval_ns = 0; /* 0: the store never goes back */
	uint64_t next_restore_ns = 0;
	std::vector<std::string> stale;
	std::vector<uint64_t> callers;
	uint64_t checks = 0; /* of a calm node */

	explicit ManifestStorm(const MeshSimOpts &o)
	    : sim(o), disturbed_until(static_cast<size_t>(o.nodes))
	{
		sim.run_for(8 * NS_PER_S);
	}

	void put_next_version()
	{
		char name[32];

		version += 1 + sim.random_below(4);
		text_format(name, sizeof(name), "v%lu", (unsigned long)version);
		sim.more_routes = {name};
		sim.put_manifest(version);
		versions.emplace_back(sim.now, version);
		next_version_ns = sim.now + version_interval_ns / 4 +
				  sim.random_below(version_interval_ns);
	}

	bool is_calm(int i) const
	{
		return sim.procs[i].mesh &&
		       sim.now > disturbed_until[i] + CALM_NS &&
		       sim.now > store_disturbed_until + CALM_NS;
	}

	void check_versions()
	{
		uint64_t want = 1;

		for (auto &v : versions)
			if (v.first + apply_ns <= sim.now)
				want = v.second;
		for (int i = 0; i < sim.opts.nodes; i++) {
			const struct manifest *m;

			if (!is_calm(i))
				continue;
			checks++;
			m = sim.procs[i].mesh->ctx.dir.manifest;
			if (m && m->version >= want)
				continue;
			stale.push_back(
				"at " + std::to_string(sim.now / SIM_MS) +
				" ms: " + sim.name(i) + " has version " +
				std::to_string(m ? m->version : 0) + ", not " +
				std::to_string(want));
		}
	}

	enum Fault {
		PEERS_CUT,
		FROZEN,
		KILLED,
		COMPACTED,
		NODE_FAULTS,
		STORE_CUT = NODE_FAULTS,
		STORE_REFUSES,
		ALL_CUT,
		STORE_DOWN,
		ALL_FAULTS,
	};

	/* A fault of node @i or of the store, for up to @ns. */
	void inject(uint64_t fault, int i, uint64_t ns)
	{
		MeshSim::Process &p = sim.procs[i];

		switch (fault) {
		case PEERS_CUT:
			p.peers_cut_until_ns = sim.now + ns;
			break;
		case FROZEN:
			p.frozen_until_ns = sim.now + ns;
			break;
		case KILLED:
			sim.kill_process(i);
			ns = ns / 4;
			sim.schedule(sim.now + ns, [this, i] {
				if (!sim.procs[i].mesh)
					sim.start_process(i);
			});
			break;
		case COMPACTED:
			sim.compact();
			return;
		case STORE_CUT:
			p.store_cut_until_ns = sim.now + ns;
			break;
		case STORE_REFUSES:
			p.store_refuses_until_ns = sim.now + ns;
			break;
		case ALL_CUT:
			p.store_cut_until_ns = sim.now + ns;
			p.peers_cut_until_ns = sim.now + ns;
			break;
		case STORE_DOWN:
			sim.store_down = true;
			ns = ns / 2;
			sim.schedule(sim.now + ns,
				     [this] { sim.store_down = false; });
			store_disturbed_until =
				std::max(store_disturbed_until, sim.now + ns);
			return;
		}
		disturbed_until[i] = std::max(disturbed_until[i], sim.now + ns);
	}

	void run(uint64_t ns, uint64_t fault_interval_ns, uint64_t faults)
	{
		uint64_t next_fault = sim.now;
		uint64_t n = static_cast<uint64_t>(sim.opts.nodes);

		for (uint64_t end = sim.now + ns; sim.now < end &&
						  sim.violations.empty() &&
						  stale.empty();) {
			if (sim.now >= next_version_ns)
				put_next_version();
			if (restore_interval_ns && sim.now >= next_restore_ns) {
				store_disturbed_until =
					std::max(store_disturbed_until,
						 restore_at_random(sim));
				next_restore_ns =
					sim.now + restore_interval_ns / 2 +
					sim.random_below(restore_interval_ns);
			}
			if (sim.now >= next_fault) {
				inject(sim.random_below(faults),
				       (int)sim.random_below(n),
				       sim.random_below(6 * NS_PER_S));
				next_fault =
					sim.now +
					sim.random_below(2 * fault_interval_ns);
			}
			callers.push_back(sim.send_request(
				(int)sim.random_below(n),
				sim.random_below(2) ? "read" : "keyset",
				(uint32_t)sim.random_below(KEYMAP_KEYS)));
			sim.run_for(20 * SIM_MS);
			check_versions();
		}
	}

	std::string denied() const
	{
		std::string all;

		for (uint64_t caller : callers) {
			auto it = sim.codes.find(caller);

			if (it != sim.codes.end() && it->second >= 300 &&
			    it->second < 500)
				all += std::to_string(it->second) + " ";
		}
		return all;
	}
};

struct StormOpts {
	MeshSimOpts mesh;
	uint64_t faults;   /* the first ones of ManifestStorm::Fault */
	uint64_t apply_ns; /* bound for nodes without a fault of their own */
	uint64_t restore_interval_ns = 0;
	uint64_t run_ns = 20 * NS_PER_S;
};

static void storm_at_random(uint64_t seed, const StormOpts &o)
{
	MeshSimOpts opts = o.mesh;

	opts.seed = seed;
	opts.nodes = 12;
	opts.lost_message_share = 0.02;
	ManifestStorm storm(opts);

	storm.apply_ns = o.apply_ns;
	storm.restore_interval_ns = o.restore_interval_ns;
	storm.run(o.run_ns, NS_PER_S, o.faults);
	EXPECT_NO_VIOLATIONS(storm.sim) << "seed " << seed;
	EXPECT_EQ(joined(storm.stale), "") << "seed " << seed;
	EXPECT_EQ(storm.denied(), "") << "seed " << seed;
	EXPECT_GT(storm.checks, 1000u) << "seed " << seed;
}

/* JD_MESH_SEED and JD_MESH_RUNS play other seeds. */
static void storms_at_random(const StormOpts &o)
{
	const char *first = getenv("JD_MESH_SEED");
	const char *count = getenv("JD_MESH_RUNS");
	uint64_t from = first ? strtoull(first, NULL, 10) : 1;
	uint64_t runs = count ? strtoull(count, NULL, 10) : 1;

	for (uint64_t seed = from; seed < from + runs; seed++) {
		storm_at_random(seed, o);
		if (::testing::Test::HasFailure())
			return;
	}
}

/* And with a store that comes back from older copies. */
TEST(Mesh, NoNodeStaysOnAnOldManifestWhenTheStoreIsRestored)
{
	StormOpts o = {.mesh = {},
		       .faults = ManifestStorm::NODE_FAULTS,
		       .apply_ns = 3 * NS_PER_S,
		       .restore_interval_ns = 10 * NS_PER_S,
		       .run_ns = 40 * NS_PER_S};

	o.mesh.copies = true;
	storms_at_random(o);
}

/* A node on an old manifest answers 404 on routes that callers may use. */
TEST(Mesh, NoNodeStaysOnAnOldManifestWhenOthersAreCutOffOrRestart)
{
	storms_at_random({.mesh = {},
			  .faults = ManifestStorm::NODE_FAULTS,
			  .apply_ns = 3 * NS_PER_S});
}

/* The same with manifests so large that one takes long to transfer. */
TEST(Mesh, NoNodeStaysOnAnOldLargeManifestWhenOthersAreCutOffOrRestart)
{
	StormOpts o = {.mesh = {},
		       .faults = ManifestStorm::NODE_FAULTS,
		       .apply_ns = 3 * NS_PER_S};

	o.mesh.manifest_transfer_ns = 400 * NS_PER_MS;
	storms_at_random(o);
}

/* While the store rejects nodes, the others may take longer. */
TEST(Mesh, NoNodeStaysOnAnOldManifestWhenTheStoreRejectsOthers)
{
	StormOpts o = {.mesh = {},
		       .faults = ManifestStorm::ALL_FAULTS,
		       .apply_ns = 8 * NS_PER_S};

	o.mesh.manifest_transfer_ns = 400 * NS_PER_MS;
	storms_at_random(o);
}

/*
 * Guards against nodes that stay on an old manifest after a change of many
 * routes: when each node read the document from the store, the store's link
 * did not carry it. Nodes are added and stopped meanwhile.
 */
TEST(Mesh, GrowthsByManyRoutesReachAllNodesOverANarrowLinkOfTheStore)
{
	MeshSimOpts opts;
	uint64_t late = 0;

	opts.nodes = 24;
	opts.manifest_link_ns = 60 * SIM_MS;
	MeshSim sim(opts);
	sim.run_for(15 * NS_PER_S);
	for (int v = 2; v < 10; v++) {
		int replaced = 12 + v;

		for (int i = 0; i < 80; i++)
			sim.more_routes.push_back("r" +
						  std::to_string(v * 1000 + i));
		sim.put_manifest((uint64_t)v);
		sim.kill_process(replaced);
		sim.start_process(replaced);
		sim.run_for(1100 * SIM_MS);
		/* The version before the last two is older than 2.2 s. */
		for (int i = 0; i < opts.nodes; i++)
			late += sim.procs[i].mesh->ctx.dir.manifest &&
				sim.procs[i].mesh->ctx.dir.manifest->version +
						2 <
					(uint64_t)v;
	}
	EXPECT_EQ(late, 0u);
	EXPECT_NO_VIOLATIONS(sim);
}

/* 404 is the right answer for routes that never existed, and it comes at once.
 */
static void expect_sure_nodes(int nodes)
{
	MeshSimOpts opts;
	std::vector<uint64_t> callers;

	opts.nodes = nodes;
	MeshSim sim(opts);
	sim.run_for(10 * NS_PER_S);
	for (int round = 0; round < 20; round++) {
		for (int i = 0; i < nodes; i++) {
			callers.push_back(sim.send_request(i, "never", 0));
			/* Nodes that get answers get fewer reports. */
			sim.send_request(i, "read", 0);
		}
		sim.run_for(230 * SIM_MS);
	}
	for (uint64_t caller : callers)
		ASSERT_EQ(sim.codes[caller], 404);
	EXPECT_NO_VIOLATIONS(sim);
}

TEST(Mesh, ACalmSmallFleetAnswers404ForRoutesThatNeverExisted)
{
	expect_sure_nodes(6);
}

TEST(Mesh, ACalmLargeFleetAnswers404ForRoutesThatNeverExisted)
{
	expect_sure_nodes(24);
}

/* Guards against a 404 for a route that was added while nobody could know. */
TEST(Mesh, ANodeThatIsCutOffDoesNotAnswer404)
{
	MeshSim sim({});
	uint64_t added, known;

	sim.run_for(8 * NS_PER_S);
	sim.procs[2].store_cut_until_ns = sim.now + 8 * NS_PER_S;
	sim.procs[2].peers_cut_until_ns = sim.now + 8 * NS_PER_S;
	sim.run_for(100 * SIM_MS);
	sim.more_routes = {"added"};
	sim.put_manifest(2);
	sim.run_for(3 * NS_PER_S);
	added = sim.send_request(2, "added", 0);
	known = sim.send_request(2, "read", 0);
	sim.run_for(2 * NS_PER_S);
	EXPECT_EQ(sim.codes[added], 503);
	EXPECT_EQ(sim.codes[known], 200);
	EXPECT_NO_VIOLATIONS(sim);
}

/*
 * Guards against calls that are given up shortly before their answer and made
 * again, for good: an added node then reads nothing and never registers, and
 * the others lose their leases.
 */
TEST(Mesh, ANodeIsAddedWhileTheStoreAnswersLate)
{
	MeshSim sim({});
	std::vector<uint64_t> leases;

	sim.kill_process(5);
	sim.run_for(8 * NS_PER_S);
	for (int i = 0; i < 5; i++)
		leases.push_back(sim.procs[i].mesh->session.lease);
	sim.opts.store_delay_ns = 1600 * SIM_MS;
	sim.run_for(NS_PER_S);
	sim.start_process(5);
	for (int t = 0; t < 120; t++) {
		sim.run_for(100 * SIM_MS);
		for (int i = 0; i < 5; i++)
			ASSERT_GT(session_authority_ns(
					  &sim.procs[i].mesh->session),
				  sim.now)
				<< "node " << i << " at " << t;
	}
	EXPECT_TRUE(mesh_ready(sim.procs[5].mesh));
	EXPECT_TRUE(sim.procs[5].mesh->session.registered);
	EXPECT_GT(session_authority_ns(&sim.procs[5].mesh->session), sim.now);
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(sim.procs[i].mesh->session.lease, leases[i]) << i;
	sim.put_manifest(2);
	sim.run_for(2500 * SIM_MS);
	for (int i = 0; i < 6; i++)
		EXPECT_EQ(sim.procs[i].mesh->ctx.dir.manifest->version, 2u)
			<< i;
	EXPECT_NO_VIOLATIONS(sim);
}

/* The longer deadlines must not delay the return from an outage. */
TEST(Mesh, ASilentStoreThatIsBackIsNoticedWithinASecond)
{
	MeshSim sim({});

	sim.run_for(8 * NS_PER_S);
	for (int outage_ms : {700, 1500, 3000, 5000}) {
		uint64_t version = sim.procs[0].mesh->ctx.dir.manifest->version;

		sim.store_down = true;
		sim.run_for((uint64_t)outage_ms * SIM_MS);
		sim.store_down = false;
		sim.put_manifest(version + 1);
		sim.run_for(1300 * SIM_MS);
		for (int i = 0; i < sim.opts.nodes; i++) {
			const struct mesh *m = sim.procs[i].mesh;

			EXPECT_FALSE(m->ctx.store_down) << outage_ms;
			EXPECT_EQ(m->ctx.dir.manifest->version, version + 1)
				<< outage_ms;
		}
		sim.run_for(6 * NS_PER_S);
	}
	EXPECT_NO_VIOLATIONS(sim);
}

/* Calls whose answer alone is lost: they are made again soon. */
TEST(Mesh, ALostAnswerDelaysARegistrationByTwoSecondsAtMost)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		MeshSimOpts opts;

		opts.seed = seed;
		opts.lost_call_share = 0.1;
		MeshSim sim(opts);
		sim.run_for(9 * NS_PER_S);
		for (int i = 0; i < opts.nodes; i++)
			EXPECT_TRUE(sim.procs[i].mesh->session.registered)
				<< "seed " << seed << " node " << i;
		EXPECT_NO_VIOLATIONS(sim);
	}
}
