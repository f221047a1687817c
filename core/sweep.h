/** Gives shards whose owner is in no roster a new owner. */
#ifndef JD_CORE_SWEEP_H
#define JD_CORE_SWEEP_H

#include "core/ctx.h"

enum sweep_state {
	SWEEP_IDLE,
	SWEEP_MAPS,    /* reads the maps first */
	SWEEP_ROSTERS, /* then, and only then, the rosters */
	SWEEP_WRITE,   /* writes each map on the revision it read */
};

struct sweep {
	enum sweep_state state;
	bool wanted;
	bool unless_planned; /* not when the planner was faster */
	uint64_t next_try_ns;
	uint32_t writing; /* writes that have not ended */
	struct list maps; /* of struct doc, as read in SWEEP_MAPS */
};

void sweep_init(struct sweep *s);
void sweep_done(struct sweep *s);
void sweep_request(struct sweep *s);
/** The planner sweeps; if shards are still orphaned a while later, we do. */
void sweep_request_as_backup(struct sweep *s, struct ctx *c);
void sweep_work(struct sweep *s, struct ctx *c);
uint64_t sweep_next_ns(const struct sweep *s);
void sweep_on_store(struct sweep *s, struct ctx *c, const struct call *call,
		    struct ev_store *ev);

#endif
