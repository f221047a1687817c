/**
 * Simulation of requests in virtual time: a few complete nodes with fake
 * upstreams, and a network that drops, duplicates, delays and misdelivers
 * messages. It aborts with one line of key=value pairs when a guarantee to a
 * caller is violated.
 */
#ifndef JD_FAKES_REQUEST_SIM_H
#define JD_FAKES_REQUEST_SIM_H

#include <stdint.h>

struct request_sim_opts {
	uint64_t seed;
	uint32_t requests;	 /* one per caller */
	uint32_t loss_ppm;	 /* of messages between nodes */
	uint32_t double_ppm;	 /* of messages; the copy may be seconds late */
	uint32_t misdeliver_ppm; /* of messages: another node gets a copy */
	uint32_t fault_ppm;	 /* of calls to an upstream */
	uint32_t gone_ppm;	 /* of callers that disconnect */
	uint64_t churn_ms; /* between shard moves, restarts, lapsed leases */
};

/** Fault rates at which a short run has faults of every kind. */
extern const struct request_sim_opts request_sim_default;

struct request_sim_result {
	uint64_t requests;
	uint64_t done;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t gone; /* callers that disconnected or whose entry restarted */
	uint64_t executed; /* by upstreams */
	uint64_t forwards;
	uint64_t doubled;   /* copies dropped by gates */
	uint64_t unmatched; /* answers dropped by entries */
	uint64_t moves;
	uint64_t restarts;
};

/** Runs until each request has ended and late copies have arrived. */
struct request_sim_result request_sim_run(const struct request_sim_opts *o);

#endif
