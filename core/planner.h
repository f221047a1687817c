/** The planner's role, one a fleet: planned moves and orphaned shards. */
#ifndef JD_CORE_PLANNER_H
#define JD_CORE_PLANNER_H

#include "core/ctx.h"
#include "core/hot_shards.h"
#include "core/sweep.h"

/** Shards of one route that their owner has released. */
struct release {
	struct list link;
	incarnation_t owner;
	struct msg_release msg;
};

struct planner {
	bool holder;
	revision_t lease_revision;
	uint64_t next_renew_ns;
	uint64_t next_plan_ns;
	uint64_t next_claim_ns;
	bool writing;	      /* a map write has not ended */
	revision_t planned;   /* the view's revision at the last plan */
	revision_t rosters;   /* the newest roster's revision seen */
	uint64_t quiet_ns;    /* from then on the rosters count as settled */
	uint64_t quiet_by_ns; /* they do so then at the latest */
	bool unsettled;	      /* they changed since the last balance */
	struct list releases; /* of struct release */
	struct hot_shards hot;
};

void planner_init(struct planner *p);
void planner_done(struct planner *p);

/** @candidate: the node watches the store and may take up the role. */
void planner_work(struct planner *p, struct ctx *c, struct sweep *s,
		  bool candidate);
uint64_t planner_next_ns(const struct planner *p);
void planner_on_release(struct planner *p, struct ctx *c, struct message *msg);
void planner_on_hot_keys(struct planner *p, struct ctx *c,
			 const struct msg_hot_keys *m);
void planner_on_store(struct planner *p, struct ctx *c, const struct call *call,
		      struct ev_store *ev);

#endif
