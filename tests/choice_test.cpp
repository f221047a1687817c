/*
 * Many entries that choose gates at once, by load reports as old as the product
 * sends them at that size. In virtual time, without a network.
 */
#include "jd_test.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

extern "C" {
#include "core/choice.h"
#include "core/mem.h"
}

static const double MS = 1e6;

struct LoadOpts {
	int entries = 65;
	int gates = 7;
	double slots_used = 0.55; /* by calls, of all slots at mean speed */
	double call_ms = 30;
	double call_limit_ms = 400;
	/* Bodies on each gate's link of 10 Mbit/s; 0: there are no uploads. */
	double link_used = 0;
	double upload_kb = 60;
	double upload_ms = 150;
	bool least_cost = false; /* as before: the least of all costs */
	double run_s = 60;
};

static const int SLOTS = 9;
static const double LINK_BYTES_PER_NS = 10e6 / 8 / 1e9;
static const double NETWORK_NS = 1 * MS;
/* Bytes that one connection has on the way at once. */
static const double WINDOW_BYTES = 16384;

struct LoadSim {
	struct Work {
		int entry;
		bool upload;
		double sent_ns, arrived_ns, work_ns;
	};
	struct Transfer {
		double left_bytes;
		Work work;
	};
	struct Gate {
		double speed;
		int running = 0;
		std::vector<Work> waiting;
		std::vector<Transfer> transfers;
		double transfers_at_ns = 0;
		int transfer_event = 0;
		double service_ns = 100 * MS, transit_ns = 0;
		double busy_ns = 0; /* slot time used */
		uint64_t served = 0;
	};
	LoadOpts opts;
	std::mt19937_64 random{7};
	struct rng rng;
	double now = 0;
	std::multimap<double, std::function<void()>> queue;
	std::vector<Gate> gates;
	std::vector<std::vector<struct dir_node *>> views; /* [entry][gate] */
	uint64_t calls = 0, calls_in_time = 0;
	double idle_while_queued_ns = 0;

	explicit LoadSim(const LoadOpts &o) : opts(o)
	{
		static const double speeds[] = {0.5, 1.0, 1.0, 1.5};

		rng_init(&rng, 7);
		gates.resize((size_t)o.gates);
		for (size_t g = 0; g < gates.size(); g++)
			gates[g].speed = speeds[g % 4];
		views.resize((size_t)o.entries);
		for (auto &view : views)
			for (size_t g = 0; g < gates.size(); g++) {
				struct dir_node *n = mem_new(struct dir_node);

				n->load.limit = SLOTS;
				n->load.service_ns = 200 * NS_PER_MS;
				view.push_back(n);
			}
	}
	~LoadSim()
	{
		for (auto &view : views)
			for (auto *n : view)
				free(n);
	}
	LoadSim(const LoadSim &) = delete;
	LoadSim &operator=(const LoadSim &) = delete;

	double unit()
	{
		return (double)(random() >> 11) / 9007199254740992.0;
	}
	double exponential(double mean)
	{
		return -std::log(1 - unit()) * mean;
	}
	/* Mean 1, as the work of requests is spread. */
	double spread()
	{
		std::normal_distribution<double> normal(0, 0.5);

		return std::exp(normal(random) - 0.125);
	}
	void at(double when, std::function<void()> fn)
	{
		queue.emplace(when, std::move(fn));
	}
	struct gate_load load_of(const Gate &g) const
	{
		struct gate_load l = {};

		l.running = (uint32_t)g.running;
		l.waiting = (uint32_t)g.waiting.size();
		l.limit = SLOTS;
		l.service_ns = (uint64_t)g.service_ns;
		l.open = true;
		l.transit_ms = (uint32_t)(g.transit_ns / MS);
		return l;
	}
	/* Each gate reports to each entry once in 10 ms times the entries. */
	void report(size_t g, size_t entry)
	{
		double interval = std::max(200.0, 10.0 * opts.entries) * MS;

		tell(entry, g);
		at(now + interval, [this, g, entry] { report(g, entry); });
	}
	void tell(size_t entry, size_t g)
	{
		struct gate_load l = load_of(gates[g]);

		directory_note_load(views[entry][g], &l, (uint64_t)now + 1);
	}
	int choose(size_t entry, double kb, double objective_ms)
	{
		struct choice_opts o = {};
		struct choice ch;
		int best = 0;
		double least = 0;

		o.region = o.dc = "";
		o.now_ns = (uint64_t)now + 1;
		o.objective_ns = (uint64_t)(objective_ms * MS);
		o.kb = kb;
		o.rng = &rng;
		if (opts.least_cost) {
			for (size_t g = 0; g < gates.size(); g++) {
				double cost = least_cost_ns(views[entry][g]) *
					      (1 + unit() * 0.063);

				if (g && cost >= least)
					continue;
				best = (int)g;
				least = cost;
			}
			return best;
		}
		choice_init(&ch, &o);
		for (auto *n : views[entry])
			choice_measure(&ch, n);
		for (auto *n : views[entry])
			choice_draw(&ch, n);
		for (size_t g = 0; g < gates.size(); g++)
			if (views[entry][g] == ch.picked)
				best = (int)g;
		return best;
	}
	static double least_cost_ns(const struct dir_node *n)
	{
		double busy = n->load.running + n->load.waiting +
			      n->unreported_requests;
		double service = (double)n->load.service_ns;
		double queued = busy >= SLOTS
					? (busy - SLOTS + 1) * service / SLOTS
					: 0;

		return service * (1 + 0.3 * busy / SLOTS) + queued;
	}
	void send(size_t entry, bool upload)
	{
		int g = choose(entry, upload ? opts.upload_kb : 1,
			       upload ? 800 : 120);
		Work w = {(int)entry, upload, now, now,
			  (upload ? opts.upload_ms : opts.call_ms) * MS *
				  spread()};
		Gate &gate = gates[(size_t)g];

		views[entry][(size_t)g]->unreported_requests++;
		if (upload) {
			advance_transfers(gate);
			gate.transfers.push_back(
				{opts.upload_kb * 1024 * spread(), w});
			plan_transfers((size_t)g);
		} else {
			double share = (double)gate.transfers.size();
			double wait = share * WINDOW_BYTES / LINK_BYTES_PER_NS;

			at(now + NETWORK_NS + wait,
			   [this, g, w] { arrive((size_t)g, w); });
		}
	}
	/* Connections share the link equally. */
	void advance_transfers(Gate &g)
	{
		double each = (now - g.transfers_at_ns) * LINK_BYTES_PER_NS /
			      (double)std::max<size_t>(1, g.transfers.size());

		for (auto &t : g.transfers)
			t.left_bytes -= each;
		g.transfers_at_ns = now;
	}
	void plan_transfers(size_t index)
	{
		Gate &g = gates[index];
		int event = ++g.transfer_event;
		double least = 1e18;

		if (g.transfers.empty())
			return;
		for (auto &t : g.transfers)
			least = std::min(least, t.left_bytes);
		least = std::max(least, 0.0) * (double)g.transfers.size();
		at(now + least / LINK_BYTES_PER_NS + 1, [this, index, event] {
			Gate &gate = gates[index];

			if (gate.transfer_event != event)
				return;
			advance_transfers(gate);
			for (size_t i = 0; i < gate.transfers.size();) {
				if (gate.transfers[i].left_bytes > 0) {
					i++;
					continue;
				}
				Work w = gate.transfers[i].work;

				gate.transfers.erase(gate.transfers.begin() +
						     (long)i);
				at(now + NETWORK_NS,
				   [this, index, w] { arrive(index, w); });
			}
			plan_transfers(index);
		});
	}
	void arrive(size_t index, Work w)
	{
		Gate &g = gates[index];

		w.arrived_ns = now;
		g.transit_ns +=
			0.1 * (now - w.sent_ns - NETWORK_NS - g.transit_ns);
		/* Calls run before uploads, as at the gate. */
		g.waiting.insert(w.upload ? g.waiting.end() : g.waiting.begin(),
				 w);
		start(index);
	}
	void start(size_t index)
	{
		Gate &g = gates[index];

		while (g.running < SLOTS && !g.waiting.empty()) {
			Work w = g.waiting.front();
			/* A neighbour on the machine triples a fifth of it. */
			double noise = unit() < 0.2 ? 3 : 1;
			double took = w.work_ns / g.speed * noise / 1.4;

			g.waiting.erase(g.waiting.begin());
			g.running++;
			g.busy_ns += w.work_ns / g.speed;
			at(now + took,
			   [this, index, w, took] { end(index, w, took); });
		}
	}
	void end(size_t index, const Work &w, double took)
	{
		Gate &g = gates[index];

		g.running--;
		g.served++;
		g.service_ns += 0.05 * (took - g.service_ns);
		tell((size_t)w.entry, index);
		if (!w.upload) {
			calls++;
			calls_in_time += now + NETWORK_NS - w.sent_ns <=
					 opts.call_limit_ms * MS;
		}
		start(index);
	}
	void arrivals(bool upload, double mean_gap_ns)
	{
		at(now + exponential(mean_gap_ns), [this, upload, mean_gap_ns] {
			send((size_t)(random() % (uint64_t)opts.entries),
			     upload);
			arrivals(upload, mean_gap_ns);
		});
	}
	void run()
	{
		double slot_ns = (double)SLOTS * opts.gates;
		double upload_gap = 0, upload_slots = 0;

		for (size_t g = 0; g < gates.size(); g++)
			for (size_t e = 0; e < views.size(); e++)
				at(unit() * 10 * MS * opts.entries,
				   [this, g, e] { report(g, e); });
		if (opts.link_used > 0) {
			upload_gap = opts.upload_kb * 1024 /
				     (LINK_BYTES_PER_NS * opts.gates *
				      opts.link_used);
			upload_slots = opts.upload_ms * MS / upload_gap;
			arrivals(true, upload_gap);
		}
		arrivals(false,
			 opts.call_ms * MS /
				 (slot_ns * opts.slots_used - upload_slots));
		while (!queue.empty() && now < opts.run_s * 1e9) {
			auto it = queue.begin();
			auto fn = std::move(it->second);

			note_idle(it->first - now);
			now = it->first;
			queue.erase(it);
			fn();
		}
	}
	/* Time in which one gate does nothing while half its slots queue. */
	void note_idle(double ns)
	{
		bool idle = false, queued = false;

		for (auto &g : gates) {
			idle |= !g.running && g.transfers.empty();
			queued |= g.waiting.size() > SLOTS;
		}
		idle_while_queued_ns += idle && queued ? ns : 0;
	}
	/* Of the work done for the speed. */
	double busiest_over_mean() const
	{
		double most = 0, sum = 0;

		for (auto &g : gates) {
			most = std::max(most, g.busy_ns);
			sum += g.busy_ns;
		}
		return most * (double)gates.size() / sum;
	}
	double in_time() const
	{
		return (double)calls_in_time / (double)calls;
	}
};

static void expect_spread(const LoadOpts &o)
{
	LoadSim sim(o);

	sim.run();
	printf("entries=%d gates=%d busiest/mean=%.2f in_time=%.4f "
	       "idle_while_queued=%.4f\n",
	       o.entries, o.gates, sim.busiest_over_mean(), sim.in_time(),
	       sim.idle_while_queued_ns / sim.now);
	EXPECT_LE(sim.busiest_over_mean(), 1.5) << o.entries;
	EXPECT_GE(sim.in_time(), 0.99) << o.entries;
	EXPECT_LE(sim.idle_while_queued_ns, 0.01 * sim.now) << o.entries;
}

/*
 * Guards against entries that all take the gate with the least load by reports
 * older than a service time: some upstreams got eight times the mean of the
 * work and others none, though there was room.
 */
TEST(Choice, CallsSpreadOverAllGatesAtAnyNumberOfEntries)
{
	for (int entries : {7, 65, 195, 710}) {
		LoadOpts o;

		o.entries = entries;
		expect_spread(o);
		o.gates = 26;
		expect_spread(o);
	}
}

TEST(Choice, CallsAreInTimeBesideUploadsOnNarrowLinks)
{
	for (int entries : {7, 65, 195, 710}) {
		LoadOpts o;

		o.entries = entries;
		o.link_used = 0.78;
		expect_spread(o);
	}
}

/* What the tests above would show for a choice of the least cost. */
TEST(Choice, TheLeastCostByOldReportsDoesNotSpread)
{
	LoadOpts o;

	o.gates = 26;
	o.least_cost = true;
	LoadSim sim(o);
	sim.run();
	EXPECT_GT(sim.busiest_over_mean(), 1.5);
}

/* A gate as an entry in data centre "a1" of region "a" knows it. */
struct ChoiceTest : public ::testing::Test {
	struct choice_opts opts = {};
	struct rng rng;
	std::vector<std::unique_ptr<struct dir_node, decltype(&free)>> gates;

	ChoiceTest()
	{
		rng_init(&rng, 1);
		opts.region = "a";
		opts.dc = "a1";
		opts.now_ns = 100 * NS_PER_S;
		opts.objective_ns = NS_PER_S;
		opts.kb = 1;
		opts.rng = &rng;
	}
	struct dir_node *add(const char *region, const char *dc)
	{
		struct dir_node *n = mem_new(struct dir_node);

		mem_copy_str(n->card.region, region, sizeof(n->card.region));
		mem_copy_str(n->card.dc, dc, sizeof(n->card.dc));
		n->heard_ns = opts.now_ns;
		n->load.limit = 10;
		n->load.service_ns = 100 * NS_PER_MS;
		gates.emplace_back(n, &free);
		return n;
	}
	/* Share of the requests that @n gets. */
	double share_of(const struct dir_node *n)
	{
		int got = 0;

		for (int i = 0; i < 4000; i++) {
			struct choice ch;

			choice_init(&ch, &opts);
			for (auto &g : gates)
				choice_measure(&ch, g.get());
			for (auto &g : gates)
				choice_draw(&ch, g.get());
			got += ch.picked == n;
		}
		return got / 4000.0;
	}
};

TEST_F(ChoiceTest, EqualGatesGetEqualShares)
{
	for (int i = 0; i < 5; i++)
		add("a", "a1");
	for (auto &g : gates)
		EXPECT_NEAR(share_of(g.get()), 0.2, 0.03);
}

TEST_F(ChoiceTest, AFasterGateGetsMore)
{
	struct dir_node *fast = add("a", "a1");

	add("a", "a1");
	fast->load.service_ns = 60 * NS_PER_MS;
	EXPECT_GT(share_of(fast), 0.6);
}

TEST_F(ChoiceTest, WorkStaysInTheRegionWhileThereIsRoom)
{
	struct dir_node *near = add("a", "a2");
	struct dir_node *far = add("b", "b1");

	EXPECT_EQ(share_of(far), 0);
	near->load.running = 10;
	near->load.waiting = 40;
	EXPECT_GT(share_of(far), 0.9);
}

/* An upload's body is paid for between regions, however small its answer. */
TEST_F(ChoiceTest, ALargeBodyStaysNearForLonger)
{
	struct dir_node *near = add("a", "a1");
	struct dir_node *far = add("b", "b1");

	near->load.running = 10;
	near->load.waiting = 30;
	EXPECT_GT(share_of(far), 0.5);
	opts.kb = 60;
	EXPECT_LT(share_of(far), 0.1);
}

/* With core/load/even.h. */
struct EvenChoiceTest : public ChoiceTest {
	struct even e;

	EvenChoiceTest()
	{
		even_init(&e);
		opts.even = even_service_for(&e, "s");
	}
	~EvenChoiceTest() override
	{
		even_done(&e);
	}
	void set_busy(struct dir_node *n, uint32_t busy)
	{
		n->load.running = busy;
		even_note_load(&n->even, &n->load, opts.now_ns);
	}
};

/* The load: some gates of a data centre got more of a clump than others. */
TEST_F(EvenChoiceTest, FreeSlotsDrawRequests)
{
	struct dir_node *busy = add("a", "a1");
	struct dir_node *idle = add("a", "a1");

	set_busy(busy, 8);
	set_busy(idle, 2);
	/* In proportion: eight free slots against two. */
	EXPECT_GE(share_of(idle), 0.8);
}

/*
 * The load: a data centre at the crest of its wave. Its full gates, which still
 * answer in time, must not send work over the links for the room there.
 */
TEST_F(EvenChoiceTest, RoomFarAwayDrawsNoRequestsByItself)
{
	struct dir_node *near = add("a", "a1");
	struct dir_node *far = add("b", "b1");

	opts.objective_ns = 300 * NS_PER_MS;
	set_busy(near, 10);
	set_busy(far, 0);
	EXPECT_LT(share_of(far), 0.5);
	near->load.waiting = 40;
	set_busy(near, 10);
	EXPECT_GT(share_of(far), 0.9);
}

TEST_F(ChoiceTest, AGateBehindABusyLinkGetsLess)
{
	struct dir_node *busy = add("a", "a1");

	add("a", "a1");
	busy->load.transit_ms = 100;
	EXPECT_NEAR(share_of(busy), 1.0 / 3, 0.03);
}
