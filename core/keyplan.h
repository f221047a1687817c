/**
 * Who gets keys that nobody looks after: the first keymap of a service, the
 * keys of nodes whose card is gone, and moves that even the load out. Each
 * is one write of the store under conditions, so it does not matter which
 * node makes it, or whether two try.
 */
#ifndef JD_CORE_KEYPLAN_H
#define JD_CORE_KEYPLAN_H

#include "core/session.h"

struct keyplan {
	uint64_t op; /* write under way; 0: none */
	uint64_t next_ns;
	uint64_t seen_changes; /* of the directory, at the last look */
	uint64_t first_ns;     /* a first keymap may be made from then on */
	uint64_t stable_ns;    /* the candidates are the same since */
	uint64_t last_set;     /* a number that changes with them */
	uint64_t deals;
	uint64_t adopted_keys;
	uint64_t balance_moves;
};

void keyplan_init(struct keyplan *p, uint64_t now_ns);

/** True when the call was the plan's. */
bool keyplan_on_end(struct keyplan *p, const struct mesh_ctx *c,
		    const struct ev_store_end *e);

void keyplan_work(struct keyplan *p, struct mesh_ctx *c,
		  const struct session *s);
uint64_t keyplan_next_ns(const struct keyplan *p);

#endif
