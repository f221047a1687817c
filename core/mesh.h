/**
 * The state machine of one node of a leased fleet: it handles events and
 * returns actions. Leases in the store tell which nodes are alive;
 * docs/OWNERSHIP.md explains why no key has two owners.
 */
#ifndef JD_CORE_MESH_H
#define JD_CORE_MESH_H

#include "core/dispatch.h"
#include "core/keyplan.h"
#include "core/reports.h"

/** Stages of a planned stop. */
enum mesh_stop {
	MESH_RUNS,
	MESH_UNREADY,  /* replies close the connection; all are still served */
	MESH_CLOSED,   /* reported as leaving; finishes requests in progress */
	MESH_FLUSHING, /* MA_FLUSH was returned; callers are refused */
	MESH_ENDED,    /* MA_EXIT was returned */
};

struct mesh {
	struct mesh_opts opts;
	struct mesh_ctx ctx;
	struct session session;
	struct holder holder;
	struct keyplan keyplan;
	struct gatekeeper gate;
	struct dispatch dispatch;
	bool was_ready;		/* it has accepted callers' requests */
	uint64_t hear_peers_ns; /* it is ready then; 0: no records yet */
	enum mesh_stop stop;
	uint64_t close_ns;  /* MESH_CLOSED begins */
	uint64_t refuse_ns; /* callers' requests are refused from then on */
	uint64_t end_ns;    /* requests end by then */
	uint64_t flush_ns;  /* callers receive their answers until then */
	struct reports reports;
	/* Lease renewals in progress for other nodes; op 0: free. */
	uint64_t peer_renewal_op[16];
	struct msg_renew peer_renewals[16];
	uint64_t peer_renewal_to[16]; /* boots of the nodes that asked */
};

struct mesh *mesh_new(const struct mesh_opts *o, uint64_t now_ns);
void mesh_delete(struct mesh *m);

/** Handles @ev, takes ownership of its contents, appends actions to @out. */
void mesh_handle(struct mesh *m, struct mesh_event *ev,
		 struct mesh_actions *out);

/** When the next ME_TICK is due. */
uint64_t mesh_next_ns(const struct mesh *m);

/** True while the node accepts callers' requests. */
bool mesh_ready(const struct mesh *m);

#endif
