/*
 * A planned stop while a client that pipelines reads its answers slowly: do
 * all requests that were passed on to the endpoint get their whole answers?
 */
#include "review/lab2/fleet.hpp"

using namespace lab;

/* As the class fault-history of the sheet, with its longest answer. */
#define DEADLINE_MS  8000
#define TIMEOUT_S    4.0
#define ANSWER_BYTES 9000
#define WORK_S	     0.2
/* The client's. */
#define OUTSTANDING  20
#define READ_PER_S   100000.0
#define STEP_S	     0.02
#define BUSY_S	     3.0
#define TERM_AT_S    1.5

struct sent_request {
	std::string id;
	double sent_s;
};

/** A client that keeps OUTSTANDING requests on one connection. */
class client
{
public:
	explicit client(const machine &m)
	{
		fd = connect_to(m.ip, m.outbound);
	}
	void send_one()
	{
		std::string id = new_id();

		if (!write_all(fd, request_text("GET", "/history/a",
						client_headers(id, DEADLINE_MS),
						""))) {
			can_send = false;
			return;
		}
		DETAIL("event=sent id=%s", id.c_str());
		sent.push_back({id, now_s()});
	}
	/** Reads a step's bytes; false once the connection has ended. */
	bool read_step()
	{
		char part[(size_t)(READ_PER_S * STEP_S)];
		ssize_t n = recv(fd, part, sizeof(part), MSG_DONTWAIT);

		if (n == 0 || (n < 0 && errno != EAGAIN)) {
			NOTE("event=connection_ended why=\"%s\"",
			     n ? strerror(errno) : "eof");
			return false;
		}
		if (n > 0)
			take(std::string(part, (size_t)n));
		return true;
	}

	int fd;
	bool can_send = true;
	bool told_to_close = false;
	std::vector<sent_request> sent;
	std::vector<std::string> answered;

private:
	/** Answers come in the order of the requests. */
	void take(const std::string &bytes)
	{
		size_t head_end, body;

		input += bytes;
		while ((head_end = input.find("\r\n\r\n")) !=
		       std::string::npos) {
			std::string head = input.substr(0, head_end);
			size_t at = head.find("Content-Length: ");

			body = at == std::string::npos
				       ? 0
				       : strtoul(head.c_str() + at + 16,
						 nullptr, 10);
			if (input.size() < head_end + 4 + body)
				return;
			at = head.find("Jackdawpaddle-Request-Id: ");
			answered.push_back(head.substr(at + 26, 16));
			told_to_close |= head.find("Connection: close") !=
					 std::string::npos;
			DETAIL("event=answered id=%s code=%s close=%d",
			       answered.back().c_str(),
			       head.substr(9, 3).c_str(), (int)told_to_close);
			input.erase(0, head_end + 4 + body);
		}
	}

	std::string input;
};

int main(int argc, char **argv)
{
	record::get().open(argc > 1 ? argv[1] : "record.txt");
	fleet f(ACAP,
		config({{"/history/", "idempotent", "ordenes", TIMEOUT_S}},
		       {"ordenes"}));
	machine &m = f.add("oviedo-a", "asturias", "ordenes");
	run_list ran;
	int lost = 0;
	bool stopped = false;

	f.endpoints[0]->run = [&](endpoint &e, endpoint::request &r) {
		ran.add(r.id);
		DETAIL("event=run id=%s", r.id.c_str());
		sleep_s(WORK_S);
		return write_all(
			r.fd,
			e.sound_answer(r, std::string(ANSWER_BYTES, 'x')));
	};
	f.start();

	client c(m);
	double start_s = now_s();

	if (c.fd < 0)
		f.end(NOT_RUN, "no connection");
	do {
		double t = now_s() - start_s;

		while (t < BUSY_S && c.can_send && !c.told_to_close &&
		       c.sent.size() < c.answered.size() + OUTSTANDING)
			c.send_one();
		if (t >= TERM_AT_S && !stopped) {
			stopped = true;
			if (trouble()) {
				NOTE("event=sigterm machine=%s",
				     m.name.c_str());
				kill(m.pid, SIGTERM);
			}
		}
		sleep_s(STEP_S);
	} while (c.read_step() && now_s() - start_s < 10 &&
		 (now_s() - start_s < BUSY_S ||
		  c.answered.size() < c.sent.size()));

	for (const sent_request &s : c.sent) {
		bool has = std::find(c.answered.begin(), c.answered.end(),
				     s.id) != c.answered.end();

		if (has || !ran.has(s.id))
			continue;
		/* Only what was still within the route's timeout counts. */
		if (now_s() - s.sent_s >= TIMEOUT_S)
			continue;
		DETAIL("event=lost id=%s age_s=%.2f", s.id.c_str(),
		       now_s() - s.sent_s);
		lost++;
	}
	NOTE("event=count sent=%zu run=%d answered=%zu lost=%d", c.sent.size(),
	     f.endpoints[0]->runs.load(), c.answered.size(), lost);
	if (c.answered.empty())
		f.end(NOT_RUN, "nothing was answered");
	f.end(lost ? BROKEN : HELD,
	      lost ? "LOST: passed on, the connection ended without the "
		     "whole answer"
		   : "all that was passed on was answered");
}
