/*
 * Some clients upload bodies below the config's maxBodyBytes at the same time:
 * does the node stay within its memory, and are other requests answered?
 *
 * The platform kills a process that exceeds memoryMb; a thread of this program
 * does that in its place.
 */
#include "lab.hpp"

using namespace lab;

static const char CONFIG[] =
	"{\"version\":\"00000007\",\"routes\":[{\"name\":\"r-past\",\"host\":"
	"\"past.example\",\"pathPrefix\":\"/past/\",\"type\":\"idempotent\","
	"\"timeoutS\":4,\"targetLatencyS\":0.6,\"priority\":2,\"service\":"
	"\"book\",\"maxAttempts\":2,\"allowedRegions\":[]},{\"name\":\"r-arm\","
	"\"host\":\"past.example\",\"pathPrefix\":\"/arm/\",\"type\":"
	"\"non_idempotent\",\"timeoutS\":5,\"targetLatencyS\":0.8,\"priority\":"
	"1,\"service\":\"book\",\"maxAttempts\":2,\"allowedRegions\":[]}],"
	"\"services\":[{\"name\":\"book\",\"healthPath\":\"/healthz\","
	"\"maxConnections\":130,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":"
	"3.0,\"warmupPerS\":16.0}],\"limits\":{\"maxHeaderBytes\":16384,"
	"\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";

constexpr int NODES = 3;
constexpr int CLIENTS = 10; /* with kept connections, at the first node */
constexpr int UPLOADS = 4;
constexpr size_t UPLOAD_BYTES = 60u << 20; /* below maxBodyBytes */
constexpr double WORK_S = 0.3;
constexpr long MEMORY_MB = 260;
constexpr int CLOSED_MAX = 3; /* RULES.md, LOST */

/* The kilobytes that @field of the process's status states. */
static long status_kb(pid_t pid, const char *field)
{
	std::string path = "/proc/" + std::to_string(pid) + "/status";
	FILE *f = fopen(path.c_str(), "r");
	char line[256];
	long kb = 0;

	while (f && fgets(line, sizeof(line), f))
		if (strncmp(line, field, strlen(field)) == 0)
			kb = atol(line + strlen(field) + 1);
	if (f)
		fclose(f);
	return kb;
}

/* Requests that an endpoint has begun, by id. */
class Runs
{
public:
	void note(const std::string &id)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		ids_[id] = true;
	}

	bool has(const std::string &id)
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return ids_.count(id) > 0;
	}

private:
	std::mutex mutex_;
	std::map<std::string, bool> ids_;
};

/* Sends requests on one kept connection until it is closed. */
static void use_connection(const Node &entry, const std::atomic<bool> &running,
			   Runs &runs, std::atomic<int> &closed)
{
	int fd = connect_to(entry.outbound(), 6);
	Reader reader(fd);
	Message answer;

	while (running && fd >= 0) {
		std::string id = hex_token();
		std::string text = request_text(
			"GET /past/" + std::to_string(random_below(1000)),
			entry.outbound(),
			"Host: past.example\r\nJackdawpaddle-Request-Id: " +
				id +
				"\r\nJackdawpaddle-Request-Deadline: 4000\r\n",
			"");

		record("client: sends %s", id.c_str());
		if (send_all(fd, text) && reader.read(&answer)) {
			record("client: %s gets %d", id.c_str(), answer.code());
			sleep_s(0.01);
			continue;
		}
		record("client: %s has no answer, connection closed",
		       id.c_str());
		/* The endpoint may begin the request a moment later. */
		sleep_s(0.5);
		if (runs.has(id))
			closed++;
		break;
	}
	if (fd >= 0)
		close(fd);
}

static void upload(const Node &entry, int i)
{
	std::string body(UPLOAD_BYTES, 'x');
	std::string id = hex_token();
	Message answer;
	bool ok;

	record("client: uploads %s, %zu bytes", id.c_str(), body.size());
	ok = http_call(entry.outbound(), "POST /arm/" + std::to_string(i),
		       "Host: past.example\r\nJackdawpaddle-Request-Id: " + id +
			       "\r\nJackdawpaddle-Request-Deadline: 5000\r\n",
		       body, 8, &answer);
	record("client: upload %s gets %d", id.c_str(), ok ? answer.code() : 0);
}

int main()
{
	std::string dir = make_temp_dir();
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<std::unique_ptr<Endpoint>> endpoints;
	std::vector<Node *> all;
	std::vector<std::thread> threads;
	std::atomic<bool> running{true};
	std::atomic<bool> killed{false};
	std::atomic<int> closed{0};
	Runs runs;
	Store store(Node::store_addr());

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
		endpoints.back()->on_run = [&](const Endpoint &,
					       const std::string &id) {
			runs.note(id);
		};
		endpoints.back()->start();
		all.back()->start(dir, true);
	}
	if (!wait_for(20, [&] { return all[0]->ready(); }))
		finish(all, dir, 2, "the node was not ready in time");
	sleep_s(4);
	for (int i = 0; i < CLIENTS; i++)
		threads.emplace_back([&] {
			use_connection(*all[0], running, runs, closed);
		});
	sleep_s(3);
	std::thread platform([&] {
		while (running && !killed) {
			long mb = status_kb(all[0]->pid(), "VmRSS") / 1024;

			if (mb > MEMORY_MB) {
				record("platform: node %s uses %ld MB, more "
				       "than memoryMb: killed",
				       all[0]->name.c_str(), mb);
				killed = true;
				all[0]->send_signal(SIGKILL);
			}
			sleep_s(0.002);
		}
	});
	if (trouble())
		for (int i = 0; i < UPLOADS; i++)
			threads.emplace_back([&, i] { upload(*all[0], i); });
	sleep_s(12);
	running = false;
	platform.join();
	for (auto &t : threads)
		t.join();
	if (killed && closed > CLOSED_MAX)
		finish(all, dir, 1,
		       "LOST broken: the node exceeded its memory, and " +
			       std::to_string(closed) +
			       " requests that endpoints ran got no answer");
	finish(all, dir, 0, "LOST held");
}
