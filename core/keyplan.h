/**
 * Plans key assignments that no owner makes itself: the first keymap of a
 * service, adoption of the keys of nodes whose card has expired, and moves
 * that balance the number of keys. Each is one conditional write to the store,
 * so any node may make it, and of several nodes that try only one succeeds.
 */
#ifndef JD_CORE_KEYPLAN_H
#define JD_CORE_KEYPLAN_H

#include "core/session.h"

/** What the planner knows of one keyed service. */
struct keyplan_service {
	struct list link;
	char service[JD_NAME_MAX];
	uint64_t candidates_since_ns; /* last change of the candidates */
	uint64_t candidates_hash;     /* changes with the set of candidates */
	struct keymap_spread spread;  /* at the last check */
	bool uneven;		      /* beyond the limits of a balanced map */
	uint64_t weighed_ns;	      /* when the shares of keys last changed */
	uint64_t balanced_ns; /* when keys last moved for balance; 0: never */
};

struct keyplan {
	uint64_t op;		/* write in progress; 0: none */
	revision_t op_revision; /* of the keymap that it changes */
	/* The keymap that a write found outdated, until it is known. */
	revision_t outdated;
	uint64_t outdated_until_ns;
	uint64_t next_ns;
	uint64_t seen_apply_count; /* directory's count at the last check */
	uint64_t first_deal_ns;	   /* earliest time for a first keymap */
	struct list services;	   /* of struct keyplan_service */
	uint64_t deals;		   /* first keymaps that it wrote */
	uint64_t adopted_keys;
	uint64_t balance_moves; /* writes that set targets */
};

void keyplan_init(struct keyplan *p, uint64_t now_ns);
void keyplan_done(struct keyplan *p);

/** True if the call was made by this module. */
bool keyplan_on_end(struct keyplan *p, const struct mesh_ctx *c,
		    const struct ev_store_end *e);

/** Makes at most one write, if any is due. */
void keyplan_work(struct keyplan *p, struct mesh_ctx *c,
		  const struct session *s);

/** When keyplan_work() is next due; UINT64_MAX while a write is in progress. */
uint64_t keyplan_next_ns(const struct keyplan *p);

#endif
