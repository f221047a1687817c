/**
 * The order in a gate's queue when there is more work than room, and who is
 * refused early. What can still meet its objective goes before what can't, then
 * the more urgent rank, then calls of runs that have started, then what is due
 * first. Used if mesh_opts.heavy_load is set.
 */
#ifndef JD_CORE_LOAD_GATE_ORDER_H
#define JD_CORE_LOAD_GATE_ORDER_H

#include "core/load/call_room.h"
#include "core/types.h"

/** What the order depends on, of one attempt; times are points in time. */
struct order_terms {
	uint32_t rank; /* of the run that it works for; 0 is the most urgent */
	bool call;     /* made by a run that has started */
	bool late;     /* it can't meet its objective any more */
	bool again;    /* its caller was sent away before */
	uint64_t objective_at_ns;
	uint64_t deadline_ns;
	uint64_t late_until_ns; /* if @late: it leaves the queue then */
};

/** How fast a gate's queue moves. */
struct order_pace {
	uint64_t now_ns;
	uint32_t running;
	uint32_t limit; /* requests that may run at once */
	double mean_ns; /* that a slot is held, however the run ends */
	/* Starts that a cold upstream allows; 0: it is warm. */
	double cold_per_s;
	/* Of the room, as more urgent ranks go on arriving; 0: all of it. */
	double share_left;
};

/** Run time of one route's requests. */
struct order_run {
	double mean_ns;
	double deviation_ns; /* mean absolute deviation */
};

enum order_verdict {
	ORDER_STAYS,
	ORDER_BECOMES_LATE, /* it goes to the end of the queue */
	ORDER_HOPELESS,	    /* it is refused now */
};

bool order_before(const struct order_terms *a, const struct order_terms *b);

/** Expected time in ns until an attempt behind @ahead others starts. */
uint64_t order_wait_ns(const struct order_pace *p, uint32_t ahead);

/** Sets @t->late and how long it may then wait, if its objective is missed. */
void order_note_late(struct order_terms *t, const struct order_run *r,
		     uint64_t now_ns);

/** True if an attempt that finds @ahead others before it is to be queued. */
bool order_admits(const struct order_terms *t, const struct order_pace *p,
		  const struct order_run *r, uint32_t ahead);

/** The same for one that waits, as later arrivals may have pushed it back. */
enum order_verdict order_review(const struct order_terms *t,
				const struct order_pace *p,
				const struct order_run *r, uint32_t ahead);

#endif
