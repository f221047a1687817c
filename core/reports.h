/**
 * Sends a node's load reports to the other nodes. Answers carry the load too,
 * so only nodes that got none lately get a report. Nodes of other regions get
 * reports more rarely. A node that owes an answer and has gone silent gets a
 * probe: a report that asks for one in return.
 */
#ifndef JD_CORE_REPORTS_H
#define JD_CORE_REPORTS_H

#include "core/gatekeeper.h"

struct reports {
	uint64_t next_ns;   /* next round */
	uint64_t rounds;    /* so far */
	bool reported_open; /* the gate's state last reported to all nodes */
	uint64_t sent;	    /* reports */
};

/** What a report is made from, besides struct mesh_ctx. */
struct report_inputs {
	const struct gatekeeper *gate;
	const struct holder *holder;
	bool leaving; /* this process ends soon */
	bool watches; /* this node watches the store; see core/relay.h */
};

/** True when a report is due. Cheap, as it is called on each event. */
bool reports_due(const struct reports *r, const struct mesh_ctx *c,
		 const struct report_inputs *state);

/** Sends the reports that are due. */
void reports_work(struct reports *r, struct mesh_ctx *c,
		  const struct report_inputs *state);

#endif
