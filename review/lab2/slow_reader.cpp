/*
 * A client that pipelines and reads slowly, but steadily and in time: does the
 * router close its kept connection without answering it?
 */
#include "review/lab2/fleet.hpp"

using namespace lab;

/* As the class fault-history of the sheet, with its longest answer. */
#define DEADLINE_MS    8000
#define TIMEOUT_S      4.0
#define ANSWER_BYTES   9000
#define WORK_S	       0.05
/* The client's; it would have read all of its answers after 7.2 s. */
#define REQUESTS       16
#define READ_PER_S     20000.0
#define STEP_S	       0.1
#define RECEIVE_BUFFER 16384
/* More than so many break the rule. */
#define LOST_ALLOWED   3

int main(int argc, char **argv)
{
	record::get().open(argc > 1 ? argv[1] : "record.txt");
	fleet f(ACAP,
		config({{"/history/", "idempotent", "ordenes", TIMEOUT_S}},
		       {"ordenes"}));
	machine &m = f.add("oviedo-a", "asturias", "ordenes");
	run_list ran;
	std::vector<std::string> ids;
	std::string input;
	std::string ended;
	message first;
	int unanswered = 0;
	double start_s;
	int fd;

	f.endpoints[0]->run = [&](endpoint &e, endpoint::request &r) {
		ran.add(r.id);
		DETAIL("event=run id=%s", r.id.c_str());
		sleep_s(WORK_S);
		return write_all(
			r.fd,
			e.sound_answer(r, std::string(ANSWER_BYTES, 'x')));
	};
	f.start();

	/* The connection has served a request already. */
	fd = connect_to(m.ip, m.outbound, RECEIVE_BUFFER);
	if (fd < 0 ||
	    !write_all(fd, request_text("GET", "/history/a",
					client_headers(new_id(), DEADLINE_MS),
					"")) ||
	    !reader(fd).read_message(&first, now_s() + 4) ||
	    first.code() != 200)
		f.end(NOT_RUN, "the first request isn't served");
	start_s = now_s();
	for (int i = 0; i < REQUESTS; i++) {
		ids.push_back(new_id());
		write_all(fd,
			  request_text("GET", "/history/a",
				       client_headers(ids.back(), DEADLINE_MS),
				       ""));
		DETAIL("event=sent id=%s", ids.back().c_str());
	}
	while (ended.empty() && now_s() - start_s < DEADLINE_MS / 1000.0) {
		char part[65536];
		size_t step = trouble() ? (size_t)(READ_PER_S * STEP_S)
					: sizeof(part);
		ssize_t n = recv(fd, part, step, MSG_DONTWAIT);

		if (n > 0)
			input.append(part, (size_t)n);
		else if (n == 0)
			ended = "eof";
		else if (errno != EAGAIN)
			ended = strerror(errno);
		if (trouble() || n < 0)
			sleep_s(STEP_S);
	}
	NOTE("event=client_done received=%zu ended=\"%s\" after_s=%.2f",
	     input.size(), ended.c_str(), now_s() - start_s);

	for (const std::string &id : ids) {
		bool begun = input.find("Jackdawpaddle-Request-Id: " + id) !=
			     std::string::npos;

		if (begun)
			DETAIL("event=answered id=%s", id.c_str());
		if (begun || ended.empty() || !ran.has(id))
			continue;
		DETAIL("event=unanswered id=%s", id.c_str());
		unanswered++;
	}
	NOTE("event=count sent=%zu run=%d unanswered=%d", ids.size(),
	     f.endpoints[0]->runs.load() - 1, unanswered);
	f.end(unanswered > LOST_ALLOWED ? BROKEN : HELD,
	      unanswered > LOST_ALLOWED
		      ? "LOST: passed on, the kept connection was closed "
			"without an answer"
		      : "the connection was kept open");
}
