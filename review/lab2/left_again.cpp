/*
 * A server deregisters and serves on for a while; the process beside it loses
 * power and starts again; reports from before the leave arrive late. Does the
 * server get requests again?
 */
#include "review/lab2/fleet.hpp"

using namespace lab;

#define DRAIN_S		     2.0
/* Power is off for as long as the kind node_kill says, then a short delay. */
#define DARK_S		     5.0
#define RESTART_S	     0.3
/* The process is killed so long after it renewed its lease. */
#define KILL_AFTER_RENEWAL_S 0.9
/* The server serves on for so long after its leave was acknowledged. */
#define SERVES_ON_S	     13.0
#define REQUESTS_PER_S	     40
#define TIMEOUT_S	     1.5

int main(int argc, char **argv)
{
	record::get().open(argc > 1 ? argv[1] : "record.txt");
	fleet f(EZUSTKEP,
		config({{"/orders/", "idempotent", "intake", TIMEOUT_S}},
		       {"intake"}));
	machine &m1 = f.add("hu-south-a", "hu-south", "intake");
	machine &m2 = f.add("hu-south-b", "hu-south", "intake");
	endpoint &leaving = *f.endpoints[0];
	std::atomic<bool> done{false};
	std::atomic<int> late_runs{0}, in_touch_runs{0};
	std::atomic<int> served{0};
	double acked_s = 0, touch_s = 0;
	std::string late[2];
	double until;

	for (auto &e : f.endpoints)
		e->run = [&](endpoint &at, endpoint::request &r) {
			double t = now_s();

			DETAIL("event=run endpoint=%s id=%s", at.id.c_str(),
			       r.id.c_str());
			if (&at == &leaving && acked_s &&
			    t > acked_s + DRAIN_S) {
				late_runs++;
				if (t > touch_s)
					in_touch_runs++;
				DETAIL("event=run_after_leave id=%s "
				       "after_ack_s=%.2f in_touch=%d",
				       r.id.c_str(), t - acked_s,
				       (int)(t > touch_s));
			}
			sleep_s(0.05);
			return write_all(r.fd, at.sound_answer(r, "ok"));
		};
	f.start();

	/* Clients of the other machine, which nothing happens to. */
	std::thread load([&] {
		while (!done) {
			std::thread([&] {
				std::string id = new_id();
				int code;

				DETAIL("event=sent id=%s", id.c_str());
				code = call(m2.ip, m2.outbound, "GET",
					    "/orders/a",
					    client_headers(id, 1500), "", 2)
					       .code();
				DETAIL("event=answered id=%s code=%d",
				       id.c_str(), code);
				served += code == 200;
			}).detach();
			sleep_s(1.0 / REQUESTS_PER_S);
		}
	});
	load.detach();
	sleep_s(2);
	NOTE("event=served requests=%d by_leaving=%d", served.load(),
	     leaving.runs.load());
	if (!leaving.runs)
		f.end(NOT_RUN, "the server got nothing before");

	/* Two reports are on their way when it leaves; they arrive later. */
	leaving.beating = false;
	sleep_s(0.1);
	for (std::string &body : late)
		body = leaving.beat_body(++leaving.sequence, false);
	if (leaving.deregister().code() != 200)
		f.end(NOT_RUN, "the leave wasn't acknowledged");
	acked_s = now_s();
	NOTE("event=leave_acknowledged endpoint=%s", leaving.id.c_str());

	touch_s = acked_s;
	sleep_s(0.2);
	if (trouble()) {
		std::string card = "own/node/" + m1.name;

		while (now_s() <
		       f.platform.renewed_s(card) + KILL_AFTER_RENEWAL_S)
			sleep_s(0.002);
		NOTE("event=power_off machine=%s", m1.name.c_str());
		m1.kill_now();
		sleep_s(DARK_S + RESTART_S);
		m1.write_settings(false);
		m1.start();
		touch_s = now_s() + f.common.contact_s;
		NOTE("event=started machine=%s card_left=%d", m1.name.c_str(),
		     (int)(f.platform.renewed_s(card) > 0));
	} else {
		sleep_s(DARK_S + RESTART_S + 0.5);
	}
	for (const std::string &body : late) {
		sleep_s(0.3);
		NOTE("event=late_report after_leave_s=%.2f code=%d",
		     now_s() - acked_s, leaving.send_beat(body).code());
		sleep_s(1.7);
	}
	until = acked_s + SERVES_ON_S;
	sleep_s(until - now_s());
	leaving.crash();
	done = true;
	sleep_s(1);
	NOTE("event=count served=%d after_leave=%d of_them_in_touch=%d",
	     served.load(), late_runs.load(), in_touch_runs.load());
	f.end(in_touch_runs ? BROKEN : HELD,
	      in_touch_runs ? "DRAIN: requests reached a server that had left"
			    : "nothing reached the server after its leave");
}
