/** Callers: requests at a steady rate to random nodes, each recorded. */
#ifndef JD_CHAOS_LOAD_H
#define JD_CHAOS_LOAD_H

#include <event2/event.h>

#include "core/list.h"
#include "core/rng.h"
#include "core/types.h"

#define LOAD_TARGETS_MAX 32

enum op_outcome {
	OP_PENDING,
	OP_DONE,
	OP_NOT_RUN,
	OP_UNKNOWN,
	OP_NO_ANSWER, /* the entry itself went away: no word of it */
};

/** One request of a caller. */
struct op {
	struct list link;
	uint64_t id;
	uint32_t key;
	bool idempotent;
	bool crossed; /* the answer is another's, or not whole */
	enum op_outcome end;
	uint64_t start_ns;
	uint64_t end_ns;
};

struct load_opts {
	struct event_base *base;
	const char *path; /* prefix of the route */
	uint32_t keys;
	uint32_t per_second;
	uint32_t in_flight_max;
	uint64_t seed;
};

struct load {
	struct load_opts opts;
	struct rng rng;
	struct event *timer;
	struct list ops; /* of struct op, by id */
	uint64_t count;
	uint32_t in_flight;
	uint32_t targets;
	char addr[LOAD_TARGETS_MAX][JD_ADDR_MAX];
	bool up[LOAD_TARGETS_MAX]; /* callers know it */
	bool paused;
};

void load_init(struct load *l, const struct load_opts *o);
void load_done(struct load *l);
void load_add_target(struct load *l, const char *addr);

/**
 * The longest that a key which was asked for at or after @from_ns went
 * without any request of it being done, ms.
 */
uint64_t load_unavailable_ms(const struct load *l, uint64_t from_ns);

/** How many requests ended that way. */
uint64_t load_count(const struct load *l, enum op_outcome end);

#endif
