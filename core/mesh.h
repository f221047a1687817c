/**
 * One node of a leased fleet, driven by events, answering with actions. The
 * store's leases say who is there; docs/OWNERSHIP.md argues why no key has
 * two owners.
 */
#ifndef JD_CORE_MESH_H
#define JD_CORE_MESH_H

#include "core/dispatch.h"
#include "core/keyplan.h"
#include "core/reports.h"

enum mesh_stop {
	MESH_RUNS,
	MESH_UNREADY, /* callers are told to go; all is still served */
	MESH_CLOSED,  /* what was taken is finished */
	MESH_ENDED,
};

struct mesh {
	struct mesh_opts opts;
	struct mesh_ctx ctx;
	struct session session;
	struct holder holder;
	struct keyplan keyplan;
	struct gatekeeper gate;
	struct dispatch dispatch;
	enum mesh_stop stop;
	uint64_t close_ns;  /* while unready: nothing new from then on */
	uint64_t refuse_ns; /* no request is taken from then on */
	uint64_t end_ns;    /* the process ends by then */
	struct reports reports;
	uint64_t relay_op[16]; /* renewals under way for others; 0: free */
	struct msg_renew relays[16];
	uint64_t relay_to[16];
};

struct mesh *mesh_new(const struct mesh_opts *o, uint64_t now_ns);
void mesh_delete(struct mesh *m);

/** Handles one event; what it owns is taken. */
void mesh_handle(struct mesh *m, struct mesh_event *ev,
		 struct mesh_actions *out);

/** When the next ME_TICK is due. */
uint64_t mesh_next_ns(const struct mesh *m);

/** True while callers may be sent here. */
bool mesh_ready(const struct mesh *m);

#endif
