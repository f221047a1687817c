#include "core/node.h"

#include <stdlib.h>

#include "core/invariant.h"
#include "core/mem.h"

/* A drain that takes longer is cut off. */
#define DRAIN_MAX_NS	 (30 * NS_PER_S)
#define WATCH_BACKOFF_NS (100 * NS_PER_MS)
/* Time between two watches, so that one reads changes close together. */
#define WATCH_GAP_NS	 (300 * NS_PER_MS)
/* Time to the next tick when a deadline has passed but the work must still
 * wait. */
#define TICK_MIN_NS	 (5 * NS_PER_MS)

struct node *node_new(const struct node_opts *opts)
{
	struct node *n = mem_new(struct node);

	n->opts = *opts;
	ctx_init(&n->ctx, &n->opts);
	membership_init(&n->membership);
	keeper_init(&n->keeper);
	sweep_init(&n->sweep);
	planner_init(&n->planner);
	takeover_init(&n->takeover);
	gate_init(&n->gate);
	router_init(&n->router);
	return n;
}

void node_delete(struct node *n)
{
	router_done(&n->router);
	gate_done(&n->gate);
	takeover_done(&n->takeover);
	planner_done(&n->planner);
	sweep_done(&n->sweep);
	keeper_done(&n->keeper);
	ctx_done(&n->ctx);
	free(n);
}

/* Passes the gate's results to the router or back to the entry node. */
static void deliver_results(struct node *n)
{
	struct ctx *c = &n->ctx;
	struct gate_result *r;

	while ((r = gate_pop_result(&n->gate))) {
		struct msg_answer a = {
			.id = r->id,
			.attempt = r->attempt,
			.outcome = r->outcome,
			.refusal = r->refusal,
			.revision = c->view.revision,
			.answer = r->answer,
		};

		r->answer = NULL;
		if (r->from == c->boot) {
			router_on_answer(&n->router, c, 0, &a);
		} else {
			struct message *m = message_new(MSG_ANSWER);

			m->u.answer = a;
			ctx_send(c, r->from, r->reply_to, m);
			m->from = r->self;
		}
		gate_result_delete(r);
	}
}

static bool needs_watch(const struct node *n)
{
	return n->membership.state == MEMBERSHIP_IN &&
	       (keeper_active(&n->keeper) || n->planner.is_planner ||
		membership_keeper_silent(&n->membership, &n->ctx));
}

static void watch_work(struct node *n)
{
	struct ctx *c = &n->ctx;

	if (!needs_watch(n) || c->now_ns < n->next_watch_ns ||
	    ctx_call_pending(c, CALL_WATCH))
		return;
	ctx_call(c, &(struct call_opts){.owner = CALL_WATCH,
					.kind = STORE_WATCH,
					.revision = c->view.revision});
}

static void watch_on_store(struct node *n, const struct call *call,
			   struct ev_store *ev)
{
	struct ctx *c = &n->ctx;
	const struct doc *d = NULL;

	if (ev->status != STATUS_OK) {
		n->next_watch_ns = c->now_ns + ctx_jitter(c, WATCH_BACKOFF_NS);
		return;
	}
	n->next_watch_ns = call->sent_ns + ctx_jitter(c, WATCH_GAP_NS);
	view_sync(&c->view, call->revision, ev->revision, &ev->docs);
	while ((d = view_next(&c->view, DOC_ROSTER, d)))
		if (d->revision > call->revision)
			keeper_observe(&n->keeper, c, d->u.roster,
				       call->authority_period);
}

static bool owns_nothing(const struct node *n)
{
	const struct ctx *c = &n->ctx;
	const struct doc *d = NULL;

	while ((d = view_next(&c->view, DOC_MAP, d)))
		for (uint32_t i = 0; i < d->u.map->count; i++)
			if (d->u.map->shards[i].owner == c->self)
				return false;
	return true;
}

/* Removes the own entry; DRAIN_GONE once it is no longer there. */
static void write_leave(struct node *n)
{
	struct ctx *c = &n->ctx;
	const struct doc *old = view_doc(&c->view, DOC_ROSTER, n->opts.dc);
	struct member *self;
	struct doc *d;

	if (ctx_call_pending(c, CALL_JOIN) ||
	    c->now_ns < n->membership.next_try_ns)
		return;
	if (!old || !old->u.roster || !roster_find(old->u.roster, c->self)) {
		n->drain = DRAIN_GONE;
		return;
	}
	d = doc_new(DOC_ROSTER, n->opts.dc);
	d->u.roster = roster_copy(old->u.roster);
	self = roster_find(d->u.roster, c->self);
	roster_remove(d->u.roster, self);
	ctx_call(c, &(struct call_opts){.owner = CALL_JOIN,
					.kind = STORE_CAS,
					.doc_kind = DOC_ROSTER,
					.name = n->opts.dc,
					.revision = old->revision,
					.doc = d});
}

static void drain_work(struct node *n)
{
	struct ctx *c = &n->ctx;
	bool overdue = c->now_ns >= n->drain_deadline_ns;

	switch (n->drain) {
	case DRAIN_NONE:
	case DRAIN_GONE:
		break;
	case DRAIN_HANDOVER:
		if (!owns_nothing(n) && !overdue)
			break;
		n->router.leaving = true;
		n->drain = DRAIN_FINISH;
		break;
	case DRAIN_FINISH:
		if ((gate_busy(&n->gate) || n->router.count) && !overdue)
			break;
		n->membership.lease.lost = true;
		n->drain = DRAIN_LEAVE;
		break;
	case DRAIN_LEAVE:
		write_leave(n);
		if (overdue || n->drain == DRAIN_GONE) {
			n->drain = DRAIN_GONE;
			actions_add(c->out, ACT_EXIT);
		}
		break;
	}
}

static void on_drain(struct node *n)
{
	if (n->drain != DRAIN_NONE)
		return;
	actions_log(n->ctx.out, LOG_INFO, "event=drain_started");
	n->drain = DRAIN_HANDOVER;
	n->drain_deadline_ns = n->ctx.now_ns + DRAIN_MAX_NS;
	n->membership.leaving = true;
}

/* Logs when a manifest comes into force; its revision never falls. */
static void follow_manifest(struct node *n)
{
	const struct doc *d = view_doc(&n->ctx.view, DOC_MANIFEST, "");

	if (!d || !d->u.manifest || d->revision == n->manifest_revision)
		return;
	JD_INVARIANT(d->revision > n->manifest_revision,
		     "manifest_revision=%lu->%lu",
		     (unsigned long)n->manifest_revision,
		     (unsigned long)d->revision);
	n->manifest_revision = d->revision;
	actions_log(n->ctx.out, LOG_INFO,
		    "event=manifest_in_force revision=%lu change=%s",
		    (unsigned long)d->revision, d->u.manifest->change_id);
}

/* Drains when an operator has set the own entry to LEAVING. */
static void follow_drain(struct node *n)
{
	const struct member *self =
		view_member(&n->ctx.view, n->ctx.self, NULL);

	if (self && self->state == MEMBER_LEAVING &&
	    !n->membership.leaving_for_upstream)
		on_drain(n);
}

static void on_store(struct node *n, struct ev_store *ev)
{
	struct ctx *c = &n->ctx;
	struct call *call = ctx_remove_call(c, ev->op);

	if (!call)
		return;
	switch (call->owner) {
	case CALL_BOOT:
	case CALL_JOIN:
	case CALL_CONFIRM:
		membership_on_store(&n->membership, c, call, ev);
		break;
	case CALL_WATCH:
		watch_on_store(n, call, ev);
		break;
	case CALL_CONTACT:
	case CALL_KEEPER:
		keeper_on_store(&n->keeper, c, call, ev);
		break;
	case CALL_SWEEP:
		sweep_on_store(&n->sweep, c, call, ev);
		break;
	case CALL_PLANNER:
		planner_on_store(&n->planner, c, call, ev);
		break;
	case CALL_TAKEOVER:
		takeover_on_store(&n->takeover, c, call, ev);
		break;
	}
	free(call);
}

static void on_message(struct node *n, struct message *m)
{
	struct ctx *c = &n->ctx;

	if (!m->from || (m->to != c->self && m->to != c->boot)) {
		n->refused_messages++;
		return;
	}
	switch (m->kind) {
	case MSG_HEARTBEAT:
		keeper_on_heartbeat(&n->keeper, c, m);
		break;
	case MSG_HEARTBEAT_ACK:
		membership_on_ack(&n->membership, c, m);
		break;
	case MSG_ADOPT:
		keeper_on_adopt(&n->keeper, c, m);
		break;
	case MSG_SYNC:
		view_apply_sync(&c->view, &m->u.sync);
		if (c->view.needs_documents)
			n->membership.next_heartbeat_ns = c->now_ns;
		break;
	case MSG_RELEASE:
		planner_on_release(&n->planner, c, m);
		break;
	case MSG_HOT_KEYS:
		planner_on_hot_keys(&n->planner, c, &m->u.hot_keys);
		break;
	case MSG_FORWARD:
		gate_submit(&n->gate, c, &n->membership.lease, &m->u.forward,
			    m->from);
		break;
	case MSG_ANSWER:
		if (message_drop_invalid_answer(&m->u.answer))
			actions_log(c->out, LOG_WARN,
				    "event=answer_invalid why=head from=%lx",
				    (unsigned long)m->from);
		router_on_answer(&n->router, c, m->from, &m->u.answer);
		break;
	case MSG_CANCEL:
		gate_on_cancel(&n->gate, c, &m->u.cancel);
		break;
	case MSG_LOAD:
	case MSG_RENEW:
	case MSG_RENEWED:
	case MSG_CHANGES:
	case MSG_MANIFEST_GET:
	case MSG_QUOTA_ASK:
	case MSG_QUOTA_GRANT:
		/* Only in leased fleets; core/mesh.c handles them. */
		n->refused_messages++;
		break;
	case MSG_KIND_COUNT:
		break;
	}
}

static void dispatch(struct node *n, struct event *ev)
{
	struct ctx *c = &n->ctx;

	switch (ev->kind) {
	case EV_TICK:
		break;
	case EV_STORE:
		on_store(n, &ev->u.store);
		docs_delete(&ev->u.store.docs);
		break;
	case EV_MESSAGE:
		on_message(n, ev->u.message);
		message_delete(ev->u.message);
		break;
	case EV_REQUEST:
		router_on_request(&n->router, c, &n->gate, &n->membership.lease,
				  &ev->u.request);
		break;
	case EV_CALLER_DISCONNECTED:
		router_on_caller_disconnected(&n->router, c, &n->gate,
					      ev->u.caller_disconnected.caller);
		break;
	case EV_UPSTREAM_ANSWER:
		gate_on_upstream_answer(&n->gate, c, &ev->u.upstream_answer,
					&n->membership.lease);
		http_answer_delete(ev->u.upstream_answer.answer);
		break;
	case EV_ANNOUNCEMENT:
		gate_on_announcement(&n->gate, c, &ev->u.announce);
		membership_on_announcement(&n->membership,
					   ev->u.announce.service,
					   ev->u.announce.draining);
		break;
	case EV_DRAIN:
		on_drain(n);
		break;
	}
}

/*
 * The node has a new incarnation: requests that wait at the gate were accepted
 * under the epochs of the former one and must not run under the new lease.
 */
static void change_incarnation(struct node *n)
{
	gate_refuse_waiting(&n->gate, &n->ctx);
	keeper_reset(&n->keeper);
	n->kept_nodes_inc = n->ctx.self;
}

static void work(struct node *n)
{
	struct ctx *c = &n->ctx;

	membership_follow(&n->membership, c);
	follow_manifest(n);
	follow_drain(n);
	if (c->self != n->kept_nodes_inc)
		change_incarnation(n);
	membership_work(&n->membership, c);
	keeper_work(&n->keeper, c);
	if (n->keeper.roster_written) {
		n->keeper.roster_written = false;
		sweep_request_as_backup(&n->sweep, c);
	}
	planner_work(&n->planner, c, &n->sweep, needs_watch(n));
	takeover_work(&n->takeover, c, n->planner.is_planner);
	sweep_work(&n->sweep, c);
	watch_work(n);
	drain_work(n);
	gate_work(&n->gate, c, &n->membership.lease);
	deliver_results(n);
	router_work(&n->router, c, &n->gate, &n->membership.lease);
	deliver_results(n);
}

void node_handle(struct node *n, struct event *ev, struct actions *out)
{
	n->ctx.now_ns = ev->now_ns;
	n->ctx.out = out;
	dispatch(n, ev);
	work(n);
	n->ctx.out = NULL;
}

static uint64_t earlier(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

uint64_t node_next_ns(const struct node *n)
{
	uint64_t t = membership_next_ns(&n->membership);

	t = earlier(t, keeper_next_ns(&n->keeper, &n->ctx));
	t = earlier(t, sweep_next_ns(&n->sweep));
	t = earlier(t, planner_next_ns(&n->planner));
	t = earlier(t, takeover_next_ns(&n->takeover));
	t = earlier(t, gate_next_ns(&n->gate));
	t = earlier(t, router_next_ns(&n->router));
	if (needs_watch(n) && !ctx_call_pending(&n->ctx, CALL_WATCH))
		t = earlier(t, n->next_watch_ns);
	return t > n->ctx.now_ns ? t : n->ctx.now_ns + TICK_MIN_NS;
}
