/**
 * Sends a node's load reports to the other nodes. Answers carry the load too,
 * so only nodes that got none lately get a report. Nodes of other regions get
 * reports more rarely. A node that owes an answer and has gone silent gets a
 * probe: a report that asks for one in return.
 *
 * The time between two reports to a node grows with the fleet, so that a node
 * sends the same number a second in a fleet of any size. They are spread over
 * that time: no turn of the loop sends more than a few.
 */
#ifndef JD_CORE_REPORTS_H
#define JD_CORE_REPORTS_H

#include "core/gatekeeper.h"

struct reports {
	uint64_t next_ns;	  /* next report that is due */
	uint64_t next_measure_ns; /* of the fleet's size */
	uint64_t young_until_ns; /* other nodes may not know this process yet */
	bool reported_open; /* the gate's state last reported to all nodes */
	uint64_t flush_ns;  /* nodes with an older report get one at once */
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
