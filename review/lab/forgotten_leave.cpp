/*
 * A planned restart of a node, whose endpoint deregisters soon after: does it
 * get requests later than drainS after the ack?
 */
#include "lab.hpp"

using namespace lab;

static const char CONFIG[] =
	"{\"version\":\"00000007\",\"routes\":[{\"name\":\"r-past\",\"host\":"
	"\"past.example\",\"pathPrefix\":\"/past/\",\"type\":\"idempotent\","
	"\"timeoutS\":4,\"targetLatencyS\":0.6,\"priority\":2,\"service\":"
	"\"book\",\"maxAttempts\":2,\"allowedRegions\":[]}],\"services\":[{"
	"\"name\":\"book\",\"healthPath\":\"/healthz\",\"maxConnections\":"
	"130,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":"
	"16.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
	"\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";

constexpr int NODES = 7;
constexpr int CLIENTS = 4; /* on each machine */
constexpr double WORK_S = 0.22;
/* The first report after the restart arrives this much late. */
constexpr double LATE_S = 3.2;
/* The endpoint deregisters this long after it sent that report. */
constexpr double LEAVE_AFTER_S = 0.6;
/* It serves for drainS after the ack and some seconds longer. */
constexpr double SERVES_S = DRAIN_S + 4;

static void send_past(const Node &entry)
{
	send_request(entry, "GET /past/" + std::to_string(random_below(1000)),
		     "past.example", "", 4);
}

int main()
{
	std::string dir = make_temp_dir();
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<std::unique_ptr<Endpoint>> endpoints;
	std::vector<std::unique_ptr<Clients>> clients;
	std::vector<Node *> all;
	std::vector<Endpoint *> all_endpoints;
	std::atomic<bool> hold_up{false};
	std::atomic<double> late_sent{0};
	std::atomic<double> judged_from{1e9};
	std::atomic<int> late_runs{0};
	std::atomic<int> runs{0};
	Store store(Node::store_addr());
	double restarted = 0;
	Endpoint *leaving;

	signal(SIGPIPE, SIG_IGN);
	store.put("op/config", CONFIG);
	for (int i = 0; i < NODES; i++) {
		nodes.push_back(
			std::make_unique<Node>(i + 1, i % 2 ? "ovd-b" : "ovd-a",
					       "principado", "book"));
		all.push_back(nodes.back().get());
		Endpoint::Options o;
		o.addr = all.back()->app();
		o.control = all.back()->control();
		o.name = "book-" + std::to_string(i + 1);
		o.service = "book";
		o.zone = all.back()->zone;
		o.work_s = WORK_S;
		endpoints.push_back(std::make_unique<Endpoint>(o));
		all_endpoints.push_back(endpoints.back().get());
		all.back()->start(dir, true);
	}
	leaving = all_endpoints[0];
	leaving->on_run = [&](const Endpoint &e, const std::string &id) {
		runs++;
		if (now() <= judged_from)
			return;
		late_runs++;
		record("endpoint %s: %s reached it %.3f s after the bound",
		       e.name().c_str(), id.c_str(), now() - judged_from);
	};
	leaving->delay = [&](uint64_t) {
		if (!hold_up.exchange(false))
			return 0.0;
		late_sent = now();
		return LATE_S;
	};
	for (Endpoint *e : all_endpoints)
		e->start();
	if (!wait_for(20, [&] {
		    return all[0]->ready() && all[1]->ready() &&
			   all[2]->ready();
	    }))
		finish(all, dir, 2, "the nodes were not ready in time");
	for (Node *n : all)
		clients.push_back(std::make_unique<Clients>(*n, CLIENTS, 0.05,
							    send_past));
	if (!wait_for(15, [&] { return runs > 20; }))
		finish(all, dir, 2, "the endpoint got no requests");

	if (trouble()) {
		all[0]->send_signal(SIGTERM);
		if (!all[0]->wait_end(6))
			finish(all, dir, 2, "the node did not end in time");
		/* Reports sent until then are refused. */
		sleep_s(RESTART_S);
		all[0]->start(dir, false);
		restarted = now();
		if (!wait_for(5, [&] { return all[0]->ready(); }))
			finish(all, dir, 2, "the node did not start again");
	}
	/* Its next report is held up; it leaves before another one is due. */
	hold_up = true;
	if (!wait_for(3, [&] { return late_sent > 0; }))
		finish(all, dir, 2, "no report was held up");
	sleep_until(late_sent + LEAVE_AFTER_S);
	if (!leaving->deregister(false))
		finish(all, dir, 2, "the leave was not acknowledged");
	double acked = now();
	/* The rule judges requests that machines in touch have sent on. */
	judged_from = std::max(acked + DRAIN_S,
			       restarted > 0 ? restarted + CONTACT_S + 0.2 : 0);
	sleep_until(acked + SERVES_S);
	leaving->stop();
	for (auto &c : clients)
		c->stop();
	if (late_runs)
		finish(all, dir, 1,
		       "DRAIN broken: " + std::to_string(late_runs) +
			       " requests reached the endpoint more than "
			       "drainS after the ack of its leave");
	finish(all, dir, 0, "DRAIN held");
}
