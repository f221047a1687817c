/** The state of the gate that has a request's attempt. */
#ifndef JD_CORE_LOAD_ATTEMPT_GATE_H
#define JD_CORE_LOAD_ATTEMPT_GATE_H

#include "core/mesh_ctx.h"
#include "core/pending.h"

/** True when the process that has the attempt is lost or was replaced. */
bool attempt_gate_lost(const struct mesh_ctx *c,
		       const struct pending_request *p);

/**
 * True when no answer can come any more. A gate that is only silent may answer
 * yet, and its upstream may be at work at the request.
 */
bool attempt_gate_gone(const struct mesh_ctx *c,
		       const struct pending_request *p);

/** Has the gate probed if it has sent neither an answer nor a report. */
void attempt_probe_gate(struct mesh_ctx *c, const struct pending_request *p);

#endif
