/*
 * A node is killed while a write of its, which moves keys, has no answer. The
 * store runs that write seconds later: does any key get a second holder?
 */
#include "lab.hpp"

using namespace lab;

static const char CONFIG[] =
	"{\"version\":\"00000007\",\"routes\":[{\"name\":\"r-scan\",\"host\":"
	"\"scan.example\",\"pathPrefix\":\"/scan/\",\"type\":\"idempotent\","
	"\"timeoutS\":2.5,\"targetLatencyS\":1.5,\"priority\":2,\"service\":"
	"\"archive\",\"maxAttempts\":2,\"allowedRegions\":[]}],\"services\":[{"
	"\"name\":\"archive\",\"healthPath\":\"/healthz\",\"maxConnections\":"
	"130,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":"
	"16.0,\"sharded\":true,\"warmS\":5.0,\"grants\":\"heartbeat\"}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
	"\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";

constexpr int NODES = 5;
/* From the reports of the endpoint that is cut off to those of the others. */
constexpr double APART_S = 0.6;
/* The store runs the write this long after a report that the cut let pass. */
constexpr double RUN_AFTER_REPORT_S = 0.12;
constexpr double LATE_MIN_S = 1;
constexpr double LATE_MAX_S = 6;
constexpr double OVERLAP_MAX_S = 0.5; /* RULES.md, OWNER */

/* The first report at or after @t of an endpoint that began at @first. */
static double report_after(double first, double t)
{
	while (first < t)
		first += HEARTBEAT_S;
	return first;
}

static bool moves_keys(const json_t *txn)
{
	const json_t *put;
	size_t i;

	json_array_foreach(get(txn, "puts"), i, put)
	{
		const char *key = json_string_value(get(put, "key"));

		if (key && strstr(key, "archive"))
			return true;
	}
	return false;
}

int main()
{
	std::string dir = make_temp_dir();
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<std::unique_ptr<Endpoint>> endpoints;
	std::vector<Node *> all;
	std::vector<Endpoint *> live;
	std::atomic<bool> loses{false};
	std::atomic<double> lost_at{0};
	std::atomic<double> first_report{0};
	std::atomic<double> heals_at{0};
	Store store(Node::store_addr());
	double base;

	signal(SIGPIPE, SIG_IGN);
	store.put("op/config", CONFIG);
	store.late_write = [&](const json_t *txn) {
		double until;

		if (!loses || !moves_keys(txn))
			return 0.0;
		loses = false;
		lost_at = now();
		/* The node starts again and registers with the first report
		 * after the cut; it grants keys with the second one. */
		heals_at = now() + RESTART_S + 0.4;
		until = report_after(first_report, heals_at) + HEARTBEAT_S +
			RUN_AFTER_REPORT_S;
		record("store: a write that moves keys gets no answer; it is "
		       "run %.2f s later",
		       until - now());
		return std::min(std::max(until - now(), LATE_MIN_S),
				LATE_MAX_S);
	};
	for (int i = 0; i < NODES; i++) {
		nodes.push_back(
			std::make_unique<Node>(i + 1, i % 2 ? "gij-b" : "gij-a",
					       "principado", "archive"));
		all.push_back(nodes.back().get());
		Endpoint::Options o;
		o.addr = all.back()->app();
		o.control = all.back()->control();
		o.name = "archive-" + std::to_string(i + 1);
		o.service = "archive";
		o.zone = all.back()->zone;
		o.keyed = true;
		endpoints.push_back(std::make_unique<Endpoint>(o));
		live.push_back(endpoints.back().get());
		all.back()->start(dir, true);
	}
	base = now() + 0.2;
	first_report = base;
	for (Endpoint *e : live) {
		e->first_report_at = base;
		if (e != live[0])
			e->first_report_at +=
				APART_S + (double)random_below(100) / 1000;
		e->start();
	}
	if (!wait_for(25, [&] {
		    int keys = 0;

		    for (Endpoint *e : live)
			    keys += e->held_count();
		    return keys == KEYS;
	    }))
		finish(all, dir, 2, "the keys were not all held in time");
	OwnerCheck check(live);
	sleep_s(2);

	if (trouble()) {
		record("endpoint %s: cut off from its node",
		       live[0]->name().c_str());
		live[0]->is_cut = true;
		loses = true;
		if (!wait_for(10, [&] { return lost_at > 0; }))
			finish(all, dir, 2, "the node moved no keys");
		sleep_s(0.05);
		all[0]->send_signal(SIGKILL);
		all[0]->wait_end(2);
		sleep_s(RESTART_S);
		all[0]->start(dir, false);
		sleep_until(heals_at);
		record("endpoint %s: the cut has healed",
		       live[0]->name().c_str());
		live[0]->is_cut = false;
	}
	sleep_s(10);
	if (check.longest_s() > OVERLAP_MAX_S)
		finish(all, dir, 1, "OWNER broken: " + check.text());
	finish(all, dir, 0,
	       "OWNER held: longest time with two holders " +
		       std::to_string(check.longest_s()) + " s");
}
