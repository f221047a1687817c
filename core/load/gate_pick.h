/**
 * The gate that gets a request: the owner of its key, or one of the service's
 * gates by core/choice.h.
 */
#ifndef JD_CORE_LOAD_GATE_PICK_H
#define JD_CORE_LOAD_GATE_PICK_H

#include "core/mesh_ctx.h"
#include "core/pending.h"

/** NULL: no gate that was not tried yet is usable. @answer_kb: its mean. */
struct dir_node *pick_gate(struct mesh_ctx *c, const struct pending_request *p,
			   double answer_kb);

/** The node that owns the key of @p; NULL: none that is usable. */
struct dir_node *pick_owner(struct mesh_ctx *c,
			    const struct pending_request *p);

/** Time in ns until the gates that may get @p have run what they have. */
uint64_t pick_expected_wait_ns(const struct mesh_ctx *c,
			       const struct pending_request *p);

/** Notes that the node has not served @p. */
void pick_mark_tried(struct pending_request *p, const char *node);

/** Notes that @p, sent to a gate, is no longer there for this entry. */
void pick_mark_left(struct mesh_ctx *c, const struct pending_request *p);

/** Under heavy load, notes the pace that an answer of @n to @p states. */
void pick_note_pace(struct mesh_ctx *c, const struct pending_request *p,
		    struct dir_node *n, uint64_t route_ns);

/** Counts a request for @n; true if it is not to try, as most are refused. */
bool pick_throttled(struct mesh_ctx *c, const struct pending_request *p,
		    struct dir_node *n);

/** Counts how @n has answered a keyed request. */
void pick_note_answer(struct mesh_ctx *c, const struct pending_request *p,
		      struct dir_node *n, enum refusal why);

#endif
