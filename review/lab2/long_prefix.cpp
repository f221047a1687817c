/*
 * The configuration has a route whose prefix is long, and another one whose
 * prefix begins it. Which service runs the requests of the long one?
 */
#include "review/lab2/fleet.hpp"

using namespace lab;

#define SHORT_PREFIX "/api/v2/museums/"
#define LONG_PREFIX                                                            \
	SHORT_PREFIX "mora-ferenc-muzeum/collections/wedding-portraits/"       \
		     "restoration-orders/payments/captures/card-present/"      \
		     "without-signature/"
/* Without the disruption: a prefix of fewer than 128 bytes. */
#define USUAL_PREFIX SHORT_PREFIX "restoration-orders/payments/captures/"
#define REQUESTS     20
#define TIMEOUT_S    1.5

int main(int argc, char **argv)
{
	const char *prefix = trouble() ? LONG_PREFIX : USUAL_PREFIX;

	record::get().open(argc > 1 ? argv[1] : "record.txt");
	NOTE("event=prefix bytes=%zu", strlen(prefix));
	fleet f(EZUSTKEP,
		config({{SHORT_PREFIX, "idempotent", "archive", TIMEOUT_S},
			{prefix, "non_idempotent", "intake", TIMEOUT_S}},
		       {"archive", "intake"}));
	int wrong = 0, right = 0, code;

	f.add("hu-south-a", "hu-south", "archive");
	f.add("hu-south-a", "hu-south", "intake");
	run_list ran[2];
	for (size_t i = 0; i < 2; i++)
		f.endpoints[i]->run = [&, i](endpoint &at,
					     endpoint::request &r) {
			ran[i].add(r.id);
			DETAIL("event=run id=%s service=%s method=%s",
			       r.id.c_str(), at.service.c_str(),
			       r.m.method().c_str());
			sleep_s(0.05);
			return write_all(r.fd, at.sound_answer(r, "ok"));
		};
	f.start();
	for (int i = 0; i < REQUESTS; i++) {
		machine &m = *f.machines[(size_t)i % 2];
		std::string id = new_id();

		DETAIL("event=sent id=%s machine=%s", id.c_str(),
		       m.name.c_str());
		code = call(m.ip, m.outbound, "POST", std::string(prefix) + "a",
			    client_headers(id, 5000), "capture", 6)
			       .code();
		DETAIL("event=answered id=%s code=%d", id.c_str(), code);
		wrong += (int)ran[0].count(id);
		right += (int)ran[1].count(id);
	}
	NOTE("event=count sent=%d run_by_its_service=%d run_by_another=%d",
	     REQUESTS, right, wrong);
	if (!wrong && !right)
		f.end(NOT_RUN, "nothing was run");
	f.end(wrong ? BROKEN : HELD,
	      wrong ? "ROUTE: run by a service to which no configuration "
		      "allows it to go"
		    : "run by the service of its route");
}
