/**
 * What a node knows of forwards that reached no gate. A forward is written to
 * one connection, once; so the process that reads it is the only one that can
 * run it. docs/design/not-run.md has the argument of each case.
 */
#ifndef JD_CORE_LOAD_NOT_RUN_H
#define JD_CORE_LOAD_NOT_RUN_H

#include "core/gatekeeper.h"
#include "core/pending.h"

/**
 * Answers @m, a MSG_FORWARD to a process that had this node's address before:
 * no process has run it, and none will.
 */
void not_run_tell_sender(struct mesh_ctx *c, const struct message *m);

/**
 * Cancels the attempt of @p that is at a gate; @own is that of this node. True
 * if it may have run all the same: only the own gate can tell at once.
 */
bool not_run_cancel(struct mesh_ctx *c, struct gatekeeper *own,
		    const struct pending_request *p);

/**
 * Handles the load in @a from the gate @n, except in an answer that another
 * process has given in its place: the gate has then sent nothing, and gets no
 * requests until it has.
 */
void not_run_note_load(struct dir_node *n, const struct msg_answer *a,
		       uint64_t now_ns);

#endif
