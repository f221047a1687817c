/**
 * Sweep: reassigns orphaned shards, those whose owner is in no roster. Reads
 * all maps and rosters afresh from the store and writes the changed maps.
 */
#ifndef JD_CORE_SWEEP_H
#define JD_CORE_SWEEP_H

#include "core/ctx.h"

enum sweep_state {
	SWEEP_IDLE,
	SWEEP_MAPS, /* reading the maps */
	/*
	 * Reading the rosters: after the maps, so that an owner missing in them
	 * has left for good.
	 */
	SWEEP_ROSTERS,
	SWEEP_WRITE, /* writing maps, each against the revision read */
};

struct sweep {
	enum sweep_state state;
	bool wanted;	/* a sweep is due at next_try_ns */
	bool as_backup; /* only if the view still shows orphans then */
	uint64_t next_try_ns;
	uint32_t writing; /* writes that the store has not answered */
	struct list maps; /* of struct doc, as read in SWEEP_MAPS */
};

void sweep_init(struct sweep *s);
void sweep_done(struct sweep *s);

/** Requests a sweep, whether or not the view shows orphaned shards. */
void sweep_request(struct sweep *s);

/**
 * Requests a sweep. If another node is the planner, the sweep starts after a
 * delay, and only if the planner's own sweep has left orphaned shards by then.
 */
void sweep_request_as_backup(struct sweep *s, struct ctx *c);

/** Starts a sweep that is due. */
void sweep_work(struct sweep *s, struct ctx *c);

/** When sweep_work() is due next; DEADLINE_NEVER when no sweep is requested. */
uint64_t sweep_next_ns(const struct sweep *s);

/** Handles the end of a store call of the sweep. */
void sweep_on_store(struct sweep *s, struct ctx *c, const struct call *call,
		    struct ev_store *ev);

#endif
