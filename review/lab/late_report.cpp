/*
 * A report of an endpoint's ended lifetime reaches a node that has just been
 * killed and started again: does any key get a second holder?
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

constexpr int NODES = 6;
/* The platform starts a killed process again "after a short delay". */
constexpr double RESTART_SOON_S = 0.25;
/* The leaving lifetime is cut off from its node for this long, and ends. */
constexpr double CUT_S = 3;
/* From the reports of the others to those of the new lifetime. */
constexpr double APART_S = 0.9;
constexpr double OVERLAP_MAX_S = 0.5; /* RULES.md, OWNER */

static Endpoint::Options options(const Node &n, const std::string &name)
{
	Endpoint::Options o;

	o.addr = n.app();
	o.control = n.control();
	o.name = name;
	o.service = "archive";
	o.zone = n.zone;
	o.keyed = true;
	return o;
}

int main()
{
	std::string dir = make_temp_dir();
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<std::unique_ptr<Endpoint>> endpoints;
	std::vector<Node *> all;
	std::vector<Endpoint *> live;
	std::atomic<bool> cut{false};
	std::mutex mutex;
	std::condition_variable arrival;
	bool arrives = false;
	Store store(Node::store_addr());
	Endpoint *first, *second;
	double base;

	signal(SIGPIPE, SIG_IGN);
	store.put("op/config", CONFIG);
	for (int i = 0; i < NODES; i++) {
		nodes.push_back(
			std::make_unique<Node>(i + 1, i % 2 ? "gij-b" : "gij-a",
					       "principado", "archive"));
		all.push_back(nodes.back().get());
		endpoints.push_back(std::make_unique<Endpoint>(options(
			*all.back(), "archive-" + std::to_string(i + 1))));
		live.push_back(endpoints.back().get());
		all.back()->start(dir, true);
	}
	base = now();
	first = live[0];
	/* Held up until the cut has healed and the node has started again. */
	first->hold_back = [&](uint64_t) {
		if (!cut)
			return false;
		std::unique_lock<std::mutex> lock(mutex);
		arrival.wait(lock, [&] { return arrives; });
		return true;
	};
	/* All machines start within 0.3 s of each other. */
	for (Endpoint *e : live) {
		e->first_report_at = base + (double)random_below(300) / 1000;
		e->start();
	}
	if (!wait_for(25, [&] {
		    int keys = 0;

		    for (Endpoint *e : live)
			    keys += e->held_count();
		    return keys == KEYS;
	    }))
		finish(all, dir, 2, "the keys were not all held in time");

	cut = true;
	first->drain();
	sleep_s(CUT_S);
	first->stop();
	sleep_s(0.3);
	endpoints.push_back(std::make_unique<Endpoint>(
		options(*all[0], "archive-1-again")));
	second = endpoints.back().get();
	live[0] = second;
	OwnerCheck check(live);
	/* The others report half way between two reports of this one. */
	second->first_report_at = base + APART_S;
	while (second->first_report_at < now())
		second->first_report_at += HEARTBEAT_S;
	second->start();
	if (!wait_for(15, [&] { return second->held_count() > 0; }))
		finish(all, dir, 2, "the new lifetime got no keys");
	sleep_s(2 * HEARTBEAT_S);

	if (trouble()) {
		double acked = second->first_report_at;

		while (acked + HEARTBEAT_S < now())
			acked += HEARTBEAT_S;
		/* Its next report is refused, as no process listens then. */
		sleep_until(acked + 2 * HEARTBEAT_S - 0.05);
		all[0]->send_signal(SIGKILL);
		all[0]->wait_end(2);
		sleep_s(RESTART_SOON_S);
		all[0]->start(dir, false);
		wait_for(3, [&] { return all[0]->ready(); });
	}
	{
		std::lock_guard<std::mutex> lock(mutex);

		arrives = true;
	}
	arrival.notify_all();
	sleep_s(12);
	if (check.longest_s() > OVERLAP_MAX_S)
		finish(all, dir, 1, "OWNER broken: " + check.text());
	finish(all, dir, 0,
	       "OWNER held: longest time with two holders " +
		       std::to_string(check.longest_s()) + " s");
}
