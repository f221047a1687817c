/* Planned stops of a node in calm, in virtual time. */
#include "jd_test.hpp"

#include "mesh_sim.hpp"

/* Seconds until a fleet serves. */
static const uint64_t SETTLE_NS = 6 * NS_PER_S;
static const uint64_t REQUEST_INTERVAL_NS = 20 * SIM_MS;

/* Stops node 0 while callers go on sending until it has ended. */
static std::vector<uint64_t> stop_under_requests(MeshSim &sim)
{
	std::vector<uint64_t> callers;
	uint64_t end_ns;

	sim.run_for(SETTLE_NS);
	sim.stop_process(0);
	end_ns = sim.now + sim.opts.stop_ns;
	while (sim.procs[0].mesh && sim.now < end_ns) {
		callers.push_back(sim.send_request(0, "pay", 0));
		sim.run_for(REQUEST_INTERVAL_NS);
	}
	return callers;
}

static void expect_each_answered_once(MeshSim &sim,
				      const std::vector<uint64_t> &callers)
{
	for (size_t i = 0; i < callers.size(); i++)
		EXPECT_EQ(sim.replies[callers[i]], 1) << i;
	EXPECT_EQ(sim.unknown, 0);
	for (const std::string &v : sim.violations)
		ADD_FAILURE() << v;
}

/*
 * With a short time to stop, a node once was killed while it still took
 * requests: the stages of its stop lasted longer than that time.
 */
TEST(PlannedStop, EndsWithinAnyTimeItIsGiven)
{
	for (uint64_t stop_ms : {1000, 2000, 2500, 3000, 4500, 6000, 20000}) {
		MeshSimOpts opts;

		SCOPED_TRACE(stop_ms);
		opts.stop_ns = stop_ms * SIM_MS;
		opts.work_ns = 60 * SIM_MS;
		MeshSim sim(opts);
		std::vector<uint64_t> callers = stop_under_requests(sim);

		EXPECT_EQ(sim.procs[0].mesh, nullptr);
		EXPECT_GT(sim.served, 10);
		expect_each_answered_once(sim, callers);
	}
}

/*
 * Requests that a stopping node took were once cut at its end while their
 * upstreams worked on them, since their own deadlines were later.
 */
TEST(PlannedStop, RequestsTakenMeanwhileEndBeforeTheNode)
{
	for (uint64_t stop_ms : {1500, 2000, 3000, 4000}) {
		MeshSimOpts opts;

		SCOPED_TRACE(stop_ms);
		opts.stop_ns = stop_ms * SIM_MS;
		opts.work_ns = 1900 * SIM_MS;
		MeshSim sim(opts);
		std::vector<uint64_t> callers = stop_under_requests(sim);

		EXPECT_EQ(sim.procs[0].mesh, nullptr);
		expect_each_answered_once(sim, callers);
	}
}

/*
 * A process once ended 0.3 s after its last answer, while a caller that reads
 * slowly had not received it. The time for the stop is the limit.
 */
TEST(PlannedStop, CallersReceiveTheirAnswersBeforeTheEnd)
{
	for (uint64_t receive_ms : {0, 1000, 2000, 60000}) {
		const uint64_t last_ms = 6000;
		MeshSimOpts opts;
		uint64_t stop_at_ns, took_ms;

		SCOPED_TRACE(receive_ms);
		opts.stop_ns = last_ms * SIM_MS;
		opts.work_ns = 60 * SIM_MS;
		opts.receive_ns = receive_ms * SIM_MS;
		MeshSim sim(opts);

		sim.run_for(SETTLE_NS);
		sim.stop_process(0);
		stop_at_ns = sim.now;
		while (sim.procs[0].mesh && sim.now < stop_at_ns + opts.stop_ns)
			sim.run_for(REQUEST_INTERVAL_NS);
		took_ms = (sim.now - stop_at_ns) / SIM_MS;
		EXPECT_EQ(sim.procs[0].mesh, nullptr);
		EXPECT_GE(took_ms, std::min(2300 + receive_ms, last_ms - 200));
		EXPECT_LE(took_ms, std::min(2400 + receive_ms, last_ms));
	}
}
