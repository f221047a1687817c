/**
 * Load reports of one node to the others: an answer carries the load too, so
 * only those who got none lately are told. Nodes of other regions are told
 * more rarely; a gate that owes an answer and has gone silent is asked.
 */
#ifndef JD_CORE_REPORTS_H
#define JD_CORE_REPORTS_H

#include "core/gatekeeper.h"

struct reports {
	uint64_t next_ns;
	uint64_t rounds;
	bool was_open; /* as last reported */
	uint64_t sent;
};

/** What a report says beside the load. */
struct report_inputs {
	const struct gatekeeper *gate;
	const struct holder *holder;
	bool leaving; /* this process ends soon */
	bool watches; /* see core/relay.h */
};

/** True when a report is due; asked all the time, so it is cheap. */
bool reports_due(const struct reports *r, const struct mesh_ctx *c,
		 const struct report_inputs *state);

/** Sends what is due. */
void reports_work(struct reports *r, struct mesh_ctx *c,
		  const struct report_inputs *state);

#endif
