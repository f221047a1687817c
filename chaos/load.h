/** Sends requests at a constant rate to random nodes and records each one. */
#ifndef JD_CHAOS_LOAD_H
#define JD_CHAOS_LOAD_H

#include <event2/event.h>

#include "core/list.h"
#include "core/rng.h"
#include "core/types.h"

#define LOAD_TARGETS_MAX 32

enum op_outcome {
	OP_PENDING,
	/* By the header X-Jackdaw-Outcome of the answer: */
	OP_DONE,
	OP_NOT_RUN,
	OP_UNKNOWN,
	/* No answer of a node, as when the entry node died or was frozen. */
	OP_NO_ANSWER,
};

/** One request of a caller. */
struct op {
	struct list link;
	uint64_t id;
	uint32_t key;
	bool idempotent;
	bool crossed; /* answer is incomplete or of another request */
	enum op_outcome outcome;
	uint64_t start_ns;
	uint64_t end_ns;
};

struct load_opts {
	struct event_base *base;
	const char *path; /* prefix of the route; must outlive the load */
	uint32_t keys;	  /* number of keys to choose from */
	uint32_t per_second;
	uint32_t in_flight_max; /* no request is sent while reached */
	uint64_t seed;
};

struct load {
	struct load_opts opts;
	struct rng rng;
	struct event *timer;
	struct list ops; /* of struct op, by id */
	uint64_t count;	 /* requests sent; also the last id */
	uint32_t in_flight;
	uint32_t targets; /* number of nodes in addr and up */
	char addr[LOAD_TARGETS_MAX][JD_ADDR_MAX];
	bool up[LOAD_TARGETS_MAX]; /* only these are sent requests */
	bool paused;		   /* send nothing */
};

/** Starts sending once a target is added; copies *@o. */
void load_init(struct load *l, const struct load_opts *o);
void load_done(struct load *l);
/** Adds a node by its HTTP address; at most LOAD_TARGETS_MAX. */
void load_add_target(struct load *l, const char *addr);

/**
 * The longest time in ms, over all requests sent at or after @from_ns, until
 * a request of the same key was done; until now for a key that never was.
 */
uint64_t load_unavailable_ms(const struct load *l, uint64_t from_ns);

/** The number of requests with @outcome. */
uint64_t load_count(const struct load *l, enum op_outcome outcome);

#endif
