/**
 * Makes this node the keeper of entries that have no keeper or whose keeper has
 * lost its authority or is gone. Only the planner does so.
 */
#ifndef JD_CORE_TAKEOVER_H
#define JD_CORE_TAKEOVER_H

#include "core/ctx.h"

/** A keeper's contact document as last listed by the store. */
struct keeper_contact {
	struct list link;
	incarnation_t inc;
	revision_t revision;	     /* 0: absent */
	uint64_t unchanged_since_ns; /* when the revision was first seen */
	bool referenced;	     /* an entry names the node */
};

struct takeover {
	bool is_planner; /* this node is the planner */
	uint64_t next_list_ns;
	uint64_t next_scan_ns;
	struct list contacts; /* of struct keeper_contact */
};

void takeover_init(struct takeover *t);
void takeover_done(struct takeover *t);

/**
 * Lists the contacts and takes over entries when due. @is_planner: this node is
 * the planner; without the role nothing is done.
 */
void takeover_work(struct takeover *t, struct ctx *c, bool is_planner);
/** When takeover_work() is due next; DEADLINE_NEVER without the role. */
uint64_t takeover_next_ns(const struct takeover *t);
void takeover_on_store(struct takeover *t, struct ctx *c,
		       const struct call *call, struct ev_store *ev);

#endif
