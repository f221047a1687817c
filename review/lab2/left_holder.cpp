/*
 * A server of a sharded service leaves in good order: it deregisters, serves
 * on, stops listening, and ends once the requests that it has begun are done.
 * Are its keys given to others while it holds them and is at work on them?
 */
#include "review/lab2/fleet.hpp"

using namespace lab;

#define DRAIN_S	      3.0
#define LITTLE_MORE_S 0.1
/* As the class scan-preview of the sheet, whose longest work is 6.2 s. */
#define WORK_S	      4.9
#define DEADLINE_MS   8000
#define TIMEOUT_S     5.0
#define REQUESTS      8
/* One of so many leaves: a seventh. */
#define MACHINES      7
/* The leave follows when so many have begun and the hold lasts so long. */
#define BEGUN_MIN     3
#define HOLD_LEFT_S   5.0
#define BOTH_HOLD_S   0.5

int main(int argc, char **argv)
{
	record::get().open(argc > 1 ? argv[1] : "record.txt");
	fleet f(LARGE, config({{"/scans/", "idempotent", "archive", TIMEOUT_S}},
			      {"archive"}, "archive"));
	std::vector<key_holder> holders(MACHINES);
	std::atomic<int> at_work{0}, answered{0};
	std::map<uint32_t, double> both_since;
	std::vector<uint32_t> keys;
	std::mutex lock;
	std::map<uint32_t, int> working; /* at the one that leaves */
	int given_at_work = 0, both_hold = 0;
	double left_s = 0, until;
	bool listens = true;

	for (int i = 0; i < MACHINES; i++)
		f.add(i % 2 ? "hu-south-a" : "hu-south-b", "hu-south",
		      "archive");
	endpoint &leaving = *f.endpoints[0];
	for (size_t i = 0; i < f.endpoints.size(); i++) {
		key_holder &h = holders[i];

		f.endpoints[i]->keys = &h;
		f.endpoints[i]->run = [&](endpoint &at, endpoint::request &r) {
			uint32_t key = (uint32_t)atoi(
				r.m.header("Jackdawpaddle-Shard-Key").c_str());
			bool ok;

			if (!h.begin(key))
				return write_all(
					r.fd,
					answer_text(
						421,
						{{"Jackdawpaddle-Request-Id",
						  r.id},
						 {"Jackdawpaddle-Not-Executed",
						  "1"}},
						""));
			DETAIL("event=run endpoint=%s id=%s key=%u",
			       at.id.c_str(), r.id.c_str(), key);
			if (&at == &leaving) {
				std::lock_guard<std::mutex> l(lock);

				working[key]++;
				at_work++;
			}
			sleep_s(WORK_S);
			ok = write_all(r.fd, at.sound_answer(r, "ok"));
			h.end(key);
			if (&at == &leaving) {
				std::lock_guard<std::mutex> l(lock);

				working.erase(key);
				at_work--;
			}
			return ok;
		};
	}
	f.start();
	for (int i = 0; i < 100 && !holders[0].count(); i++)
		sleep_s(0.1);
	sleep_s(2);
	for (size_t i = 0; i < holders.size(); i++)
		NOTE("event=holds endpoint=%s keys=%u",
		     f.endpoints[i]->id.c_str(), holders[i].count());
	for (uint32_t k = 0; k < key_holder::KEYS && keys.size() < REQUESTS;
	     k += 97)
		if (holders[0].holds(k))
			keys.push_back(k);
	if (keys.size() < REQUESTS)
		f.end(NOT_RUN, "the server holds too few keys");
	for (int i = 0; i < 2000 && holders[0].left_s() < HOLD_LEFT_S; i++)
		sleep_s(0.005);
	for (uint32_t key : keys)
		std::thread([&, key] {
			machine &m = *f.machines[1];
			std::string id = new_id();
			headers h = client_headers(id, DEADLINE_MS);
			int code;

			h.emplace_back("Jackdawpaddle-Shard-Key",
				       std::to_string(key));
			DETAIL("event=sent id=%s key=%u", id.c_str(), key);
			code = call(m.ip, m.outbound, "GET", "/scans/a", h, "",
				    10)
				       .code();
			DETAIL("event=answered id=%s code=%d", id.c_str(),
			       code);
			answered += code == 200;
		}).detach();
	for (int i = 0; i < 40 && at_work < BEGUN_MIN; i++)
		sleep_s(0.005);
	if (at_work < BEGUN_MIN)
		f.end(NOT_RUN, "the requests haven't begun");

	if (trouble()) {
		leaving.beating = false;
		if (leaving.deregister().code() != 200)
			f.end(NOT_RUN, "the leave wasn't acknowledged");
		left_s = now_s();
		NOTE("event=leave_acknowledged endpoint=%s hold_left_s=%.2f",
		     leaving.id.c_str(), holders[0].left_s());
	}
	/* It is up until its work is done. */
	until = now_s() + 2 * WORK_S;
	while (at_work && now_s() < until) {
		if (left_s && listens &&
		    now_s() >= left_s + DRAIN_S + LITTLE_MORE_S) {
			listens = false;
			leaving.stop_listening();
			NOTE("event=stops_listening at_work=%d hold_left_s="
			     "%.2f",
			     at_work.load(), holders[0].left_s());
		}
		for (uint32_t key : keys) {
			bool works;

			for (size_t i = 1; i < holders.size(); i++) {
				if (!holders[i].holds(key))
					continue;
				if (!holders[0].holds(key))
					continue;
				{
					std::lock_guard<std::mutex> l(lock);

					works = working.count(key) != 0;
				}
				if (!both_since.count(key)) {
					both_since[key] = now_s();
					given_at_work += works;
					NOTE("event=two_hold key=%u first=%s "
					     "second=%s first_at_work=%d "
					     "first_hold_left_s=%.2f",
					     key, leaving.id.c_str(),
					     f.endpoints[i]->id.c_str(),
					     (int)works, holders[0].left_s());
				} else if (now_s() >
					   both_since[key] + BOTH_HOLD_S) {
					both_hold++;
				}
			}
		}
		sleep_s(0.005);
	}
	leaving.crash();
	sleep_s(0.5);
	NOTE("event=count answered=%d given_while_at_work=%d "
	     "both_hold_over_half_a_second=%d",
	     answered.load(), given_at_work, both_hold > 0);
	f.end(given_at_work || both_hold ? BROKEN : HELD,
	      given_at_work || both_hold
		      ? "OWNER: keys were given on while their holder was up, "
			"held them and was at work on them"
		      : "no key had two holders");
}
