/**
 * How many keys an upstream is to own: in proportion to what it serves in a
 * given time. Each node measures its own upstream, compares it with what the
 * load reports of the others state, and puts the result as a weight on its card
 * in the store, which all nodes that plan moves of keys read. The weight
 * changes in few, large steps, as each costs callers a hand-over of keys.
 */
#ifndef JD_CORE_LOAD_CAPACITY_H
#define JD_CORE_LOAD_CAPACITY_H

#include "core/directory.h"

/* Weight of an upstream of mean speed, and of one that is not measured. */
#define CAPACITY_WEIGHT_UNIT 8u

/** Mean time of an upstream's requests over some seconds. */
struct work_time {
	double mean_ns;
	uint32_t samples; /* up to the number that the mean remembers */
};

struct capacity {
	struct holder_id of; /* the upstream's lifetime that was measured */
	uint32_t weight;     /* as on the card; 0: not measured yet */
	uint64_t next_check_ns;
	uint64_t next_change_ns;
};

/** What a decision is made from. */
struct capacity_opts {
	const struct directory *dir;
	const char *node;    /* this one */
	const char *service; /* of its upstream */
	const struct work_time *work;
	uint32_t slots; /* of its upstream */
	uint64_t now_ns;
};

/** Adds a request that the upstream has answered in @took_ns. */
void work_time_add(struct work_time *w, double took_ns);

/** The mean to state in load reports, in ns; 0: too few samples. */
uint64_t work_time_stated_ns(const struct work_time *w);

/** Updates @cp; true when the weight has changed. */
bool capacity_update(struct capacity *cp, const struct capacity_opts *o);

#endif
