/**
 * The planner: the one node of the fleet that plans the moves of shards and
 * has orphaned shards reassigned.
 */
#ifndef JD_CORE_PLANNER_H
#define JD_CORE_PLANNER_H

#include "core/ctx.h"
#include "core/hot_shards.h"
#include "core/sweep.h"

/**
 * An owner's message that it has released shards of one route: it no longer
 * serves them under these epochs. Owns the arrays of @msg.
 */
struct release {
	struct list link;
	incarnation_t owner;
	struct msg_release msg;
};

struct planner {
	bool is_planner; /* this node has the role */
	revision_t lease_revision;
	uint64_t next_renew_ns;
	uint64_t next_plan_ns;
	uint64_t next_claim_ns;
	bool map_write_pending;	     /* the store has not answered it */
	revision_t planned_revision; /* of the view, at the last plan */
	revision_t roster_revision;  /* of the newest roster seen */
	uint64_t settled_ns;	     /* rosters count as settled from then on */
	uint64_t settled_by_ns;	     /* upper bound of settled_ns */
	bool rosters_changed; /* since the last plan with settled rosters */
	struct list releases; /* of struct release */
	struct hot_shards hot;
};

void planner_init(struct planner *p);
void planner_done(struct planner *p);

/**
 * Claims or renews the planner's role and writes planned moves. @candidate:
 * the node watches the store and so may be the planner.
 */
void planner_work(struct planner *p, struct ctx *c, struct sweep *s,
		  bool candidate);

/** When planner_work() is due next; DEADLINE_NEVER when no time is set. */
uint64_t planner_next_ns(const struct planner *p);

/** Queues a MSG_RELEASE for the next plan; takes ownership of its arrays. */
void planner_on_release(struct planner *p, struct ctx *c, struct message *msg);

/** Adds the hot keys that another node reported. */
void planner_on_hot_keys(struct planner *p, struct ctx *c,
			 const struct msg_hot_keys *m);

/** Handles the end of a store call of the planner. */
void planner_on_store(struct planner *p, struct ctx *c, const struct call *call,
		      struct ev_store *ev);

#endif
