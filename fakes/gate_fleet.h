/**
 * Entries that choose gates by news that are a little old, in virtual time:
 * the load of a service without keys. Speeds of upstreams differ, a neighbour
 * on the machine slows each at times, and requests arrive in clumps.
 */
#ifndef JD_FAKES_GATE_FLEET_H
#define JD_FAKES_GATE_FLEET_H

#include <stdbool.h>
#include <stdint.h>

enum gate_fleet_way {
	GATE_FLEET_CENTRAL, /* one queue that knows all: the lower bound */
	GATE_FLEET_CHOICE,  /* core/choice.h, as without heavy load */
	GATE_FLEET_EVEN,    /* the same with core/load/even.h */
	GATE_FLEET_WAYS,
};

struct gate_fleet_opts {
	enum gate_fleet_way way;
	uint32_t entries;
	uint32_t gates;
	uint32_t slots;
	double slots_used; /* share of the slots at their speed */
	uint32_t clump;	   /* most requests that reach an entry at once */
	bool unequal_mix;  /* half of the entries call one route only */
	uint64_t run_ns;
	uint64_t seed;
};

struct gate_fleet_result {
	double busiest_over_mean; /* of the work done for the speed */
	double wait_p99_ms;	  /* from the choice until the start */
	uint64_t requests;
	uint64_t messages; /* requests, answers and reports */
};

/** Plays the load; a run repeats with the same options. */
struct gate_fleet_result gate_fleet_run(const struct gate_fleet_opts *o);

#endif
