/*
 * A planned restart of a node while the endpoint beside it leaves: does any
 * key get a second holder?
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

constexpr int NODES = 7;
constexpr int CLIENTS = 6; /* on each machine */
constexpr double WORK_S = 0.55;
/* A node that gets SIGTERM ends this much later if it has no more work. */
constexpr double STOP_S = 2.3;
/* The endpoint deregisters after a report of its, this long before that. */
constexpr double LEAVE_BEFORE_S = 0.75;
/* It serves for drainS after the ack and a little longer. */
constexpr double SERVES_S = DRAIN_S + 1.5;
constexpr double OVERLAP_MAX_S = 0.5; /* RULES.md, OWNER */

static void send_scan(const Node &entry)
{
	send_request(entry, "GET /scan/" + std::to_string(random_below(1000)),
		     "scan.example",
		     "Jackdawpaddle-Shard-Key: " +
			     std::to_string(random_below(KEYS)) + "\r\n",
		     4);
}

int main()
{
	std::string dir = make_temp_dir();
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<std::unique_ptr<Endpoint>> endpoints;
	std::vector<Node *> all;
	std::vector<Endpoint *> all_endpoints;
	std::vector<std::unique_ptr<Clients>> clients;
	Store store(Node::store_addr());
	bool held;
	double base;
	double leave_at;

	signal(SIGPIPE, SIG_IGN);
	store.put("op/config", CONFIG);
	for (int i = 0; i < NODES; i++) {
		nodes.push_back(std::make_unique<Node>(
			i + 1, i % 2 ? "hu-south-b" : "hu-south-a", "hu-south",
			"archive"));
		all.push_back(nodes.back().get());
		Endpoint::Options o;
		o.addr = all.back()->app();
		o.control = all.back()->control();
		o.name = "archive-" + std::to_string(i + 1);
		o.service = "archive";
		o.zone = all.back()->zone;
		o.keyed = true;
		o.work_s = WORK_S;
		endpoints.push_back(std::make_unique<Endpoint>(o));
		all_endpoints.push_back(endpoints.back().get());
		all.back()->start(dir, true);
	}
	/* All machines start within 0.3 s of each other. */
	base = now() + 0.3;
	for (Endpoint *e : all_endpoints) {
		e->first_report_at = base + (double)random_below(300) / 1000;
		e->start();
	}
	held = wait_for(25, [&] {
		int keys = 0;

		for (Endpoint *e : all_endpoints)
			keys += e->held_count();
		return keys == KEYS;
	});
	if (!held)
		finish(all, dir, 2, "the keys were not all held in time");
	OwnerCheck check(all_endpoints);
	for (Node *n : all)
		clients.push_back(std::make_unique<Clients>(*n, CLIENTS, 0.02,
							    send_scan));
	sleep_s(5);

	leave_at = all_endpoints[0]->first_report_at + 0.05;
	while (leave_at < now() + STOP_S)
		leave_at += HEARTBEAT_S;
	clients[0]->poll_at(leave_at + LEAVE_BEFORE_S - STOP_S - 0.05);
	sleep_until(leave_at + LEAVE_BEFORE_S - STOP_S);
	if (trouble())
		all[0]->send_signal(SIGTERM);
	std::thread restart([&] {
		if (!trouble() || !all[0]->wait_end(6))
			return;
		sleep_s(RESTART_S);
		all[0]->start(dir, false);
	});
	sleep_until(leave_at);
	if (!all_endpoints[0]->deregister(true))
		finish(all, dir, 2, "the leave was not acknowledged");
	sleep_s(SERVES_S);
	all_endpoints[0]->stop();
	sleep_s(8);
	for (auto &c : clients)
		c->stop();
	restart.join();
	if (check.longest_s() > OVERLAP_MAX_S)
		finish(all, dir, 1, "OWNER broken: " + check.text());
	finish(all, dir, 0,
	       "OWNER held: longest time with two holders " +
		       std::to_string(check.longest_s()) + " s");
}
