/**
 * A few whole nodes with fake upstreams and a network that drops, doubles,
 * delays and misdelivers, in virtual time. Drives the request core and
 * aborts with one key=value line when a promise to a caller is broken.
 */
#ifndef JD_FAKES_REQUEST_SIM_H
#define JD_FAKES_REQUEST_SIM_H

#include <stdint.h>

struct request_sim_opts {
	uint64_t seed;
	uint32_t requests;   /* how many callers ask */
	uint32_t loss_ppm;   /* of messages between nodes */
	uint32_t double_ppm; /* copies may come seconds later */
	uint32_t stray_ppm;  /* delivered to another node */
	uint32_t fault_ppm;  /* of calls to an upstream */
	uint32_t gone_ppm;   /* of callers that go away */
	uint64_t churn_ms;   /* between moves, restarts, lapsed leases */
};

/** Faults of every kind at rates that hit each in a short run. */
extern const struct request_sim_opts request_sim_default;

struct request_sim_result {
	uint64_t requests;
	uint64_t done;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t gone; /* callers that went away or lost their entry */
	uint64_t executed;
	uint64_t forwards;
	uint64_t doubled;   /* copies that the gates dropped */
	uint64_t unmatched; /* answers that the entries dropped */
	uint64_t moves;
	uint64_t restarts;
};

/** Runs until each request has ended and late copies have come. */
struct request_sim_result request_sim_run(const struct request_sim_opts *o);

#endif
