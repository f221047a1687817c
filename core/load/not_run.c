#include "core/load/not_run.h"

#include "core/load/gate_pick.h"
#include "core/message.h"
#include "core/name.h"

void not_run_tell_sender(struct mesh_ctx *c, const struct message *m)
{
	const struct msg_forward *f = &m->u.forward;
	struct message *answer = message_new(MSG_ANSWER);

	answer->u.answer.id = f->id;
	answer->u.answer.attempt = f->attempt;
	answer->u.answer.outcome = OUTCOME_NOT_RUN;
	answer->u.answer.refusal = REFUSAL_PEER_DOWN;
	mesh_send(c, m->from, f->reply_to, answer);
	/* The sender waits for an answer of that process. */
	answer->from = m->to;
	mesh_log(c->out, LOG_INFO,
		 "event=forward_not_run why=former_process id=%s attempt=%u "
		 "reply_to=%s",
		 name_for_log(f->caller_id).text, f->attempt, f->reply_to);
}

bool not_run_cancel(struct mesh_ctx *c, struct gatekeeper *own,
		    const struct pending_request *p)
{
	const struct dir_node *n = directory_node(&c->dir, p->gate_node);
	struct msg_cancel cancel = {.id = p->id, .attempt = p->attempt};
	struct message *m;

	if (p->state != PENDING_SENT)
		return false;
	pick_mark_left(c, p);
	if (p->gate_boot == c->opts->boot)
		return !gatekeeper_cancel(own, c, c->opts->boot, &cancel);
	if (!n)
		return true;
	m = message_new(MSG_CANCEL);
	m->u.cancel = cancel;
	/* Behind the request that it cancels. */
	mesh_send(c, p->gate_boot, n->card.peer_addr, m)->bulk =
		pending_is_bulk(p);
	return true;
}

void not_run_note_load(struct dir_node *n, const struct msg_answer *a,
		       uint64_t now_ns)
{
	if (a->outcome == OUTCOME_NOT_RUN && a->refusal == REFUSAL_PEER_DOWN)
		n->load.open = false;
	else
		directory_note_load(n, &a->load, now_ns);
}
