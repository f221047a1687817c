#include "core/mesh.h"

#include <stdlib.h>
#include <string.h>

#include "core/load/not_run.h"
#include "core/mem.h"
#include "core/relay.h"

/*
 * A first card without an upstream is written only if none was announced in
 * this many announcement intervals and FIRST_CARD_MARGIN_NS.
 */
#define FIRST_CARD_ANNOUNCEMENTS 3
#define FIRST_CARD_MARGIN_NS	 (500 * NS_PER_MS)
/* Nodes that start together have registered this long after first_card_ns. */
#define CARDS_SETTLE_NS		 (2 * NS_PER_S)
/* Callers notice within this time that a stopping node is not ready. */
#define STOP_UNREADY_NS		 (2300 * NS_PER_MS)
/* Requests of callers that have not noticed by then are refused. */
#define STOP_REFUSE_NS		 (2900 * NS_PER_MS)
/* Part of a planned stop's time kept for what follows the last request. */
#define STOP_MARGIN_NS		 (400 * NS_PER_MS)
/* The same as shares of the time for a stop, which apply if it is short. */
#define STOP_UNREADY_SHARE	 0.39
#define STOP_REFUSE_SHARE	 0.49
#define STOP_MARGIN_SHARE	 0.07
/* Share of that margin in which callers may still receive their answers. */
#define STOP_FLUSH_SHARE	 0.75
/* Requests taken meanwhile end this long before the process, if not earlier. */
#define STOP_ANSWER_NS		 (100 * NS_PER_MS)
/* Renewals in progress for other nodes; further requests are ignored. */
#define PEER_RENEWALS_MAX	 16
/*
 * A new process asks so many nodes which version of the manifest they have, and
 * waits at most for this time until it is ready.
 */
#define HEAR_PEERS_MAX		 8
#define HEAR_PEERS_NS		 (400 * NS_PER_MS)
/* Ticks of a stopping node are at most this far apart. */
#define STOP_TICK_NS		 (20 * NS_PER_MS)
/* Ticks are at least this far apart, even if overdue work can't start yet. */
#define TICK_MIN_NS		 (2 * NS_PER_MS)

struct mesh *mesh_new(const struct mesh_opts *o, uint64_t now_ns)
{
	struct mesh *m = mem_new(struct mesh);

	m->opts = *o;
	m->ctx.opts = &m->opts;
	m->ctx.now_ns = now_ns;
	directory_init(&m->ctx.dir, o->region);
	rng_init(&m->ctx.rng, o->seed);
	session_init(&m->session, &m->opts);
	m->session.first_card_ns =
		now_ns + FIRST_CARD_ANNOUNCEMENTS * o->announce_interval_ns +
		FIRST_CARD_MARGIN_NS;
	m->session.cards_settled_ns =
		m->session.first_card_ns + CARDS_SETTLE_NS;
	holder_init(&m->holder, &m->opts, now_ns);
	keyplan_init(&m->keyplan, now_ns);
	gatekeeper_init(&m->gate);
	dispatch_init(&m->dispatch);
	return m;
}

void mesh_delete(struct mesh *m)
{
	dispatch_done(&m->dispatch);
	gatekeeper_done(&m->gate);
	keyplan_done(&m->keyplan);
	holder_done(&m->holder);
	directory_done(&m->ctx.dir);
	free(m);
}

static bool has_records(const struct mesh *m)
{
	return m->ctx.dir.loaded && m->ctx.dir.manifest;
}

bool mesh_ready(const struct mesh *m)
{
	return m->stop == MESH_RUNS && has_records(m) && m->was_ready;
}

/* Returns false if there is no other node. */
static bool ask_peers(struct directory *d, const char *own)
{
	struct dir_node *n;
	uint32_t asked = 0;

	list_for_each_entry(n, &d->nodes, link) {
		if (asked == HEAR_PEERS_MAX)
			break;
		if (!n->revision || !strcmp(n->name, own))
			continue;
		n->probe_due = true;
		asked++;
	}
	d->urgent_reports |= asked > 0;
	return asked > 0;
}

static bool all_asked_heard(const struct directory *d)
{
	const struct dir_node *n;

	list_for_each_entry(n, &d->nodes, link)
		if (n->probe_due || n->probed_ns > n->heard_ns)
			return false;
	return true;
}

/*
 * A store that came back from an older copy may show an older manifest than
 * other nodes have in force: a new process must not begin with that one.
 */
static void check_ready(struct mesh *m)
{
	struct directory *d = &m->ctx.dir;

	if (m->was_ready || !has_records(m))
		return;
	if (!m->hear_peers_ns) {
		m->hear_peers_ns = m->ctx.now_ns;
		/* A store without eras has never lost anything. */
		if (d->era && ask_peers(d, m->opts.node))
			m->hear_peers_ns += HEAR_PEERS_NS;
	}
	if (m->ctx.now_ns < m->hear_peers_ns && !all_asked_heard(d))
		return;
	m->was_ready = !directory_live_version_behind(d, m->ctx.now_ns);
}

static struct local_gate local_gate(struct mesh *m)
{
	return (struct local_gate){.gate = &m->gate, .holder = &m->holder};
}

static void send_answer(struct mesh *m, struct attempt_result *r)
{
	struct message *msg = message_new(MSG_ANSWER);

	msg->u.answer = r->answer;
	struct dir_node *n = directory_by_boot(&m->ctx.dir, r->from);

	gatekeeper_fill_load(&m->gate, &m->ctx, &m->holder,
			     &msg->u.answer.load);
	if (n)
		n->load_sent_ns = m->ctx.now_ns;
	mesh_send(&m->ctx, r->from, r->reply_to, msg)->bulk =
		r->answer.answer &&
		r->answer.answer->payload.body_len >= MESH_BULK_BYTES;
}

/*
 * Sends the results of attempts to the nodes that forwarded them. A result for
 * this node's own dispatch may start the next attempt.
 */
static void deliver_results(struct mesh *m)
{
	struct local_gate g = local_gate(m);
	struct attempt_result *r;

	while ((r = gatekeeper_pop_result(&m->gate))) {
		if (r->from != m->opts.boot) {
			send_answer(m, r);
		} else {
			dispatch_on_answer(&m->dispatch, &m->ctx, &g, r->from,
					   &r->answer);
			http_answer_delete(r->answer.answer);
		}
		free(r);
	}
}

static void renew_for_peer(struct mesh *m, uint64_t from,
			   const struct msg_renew *r)
{
	struct act_store_call *a;

	/* In another era the store has given its id to another node. */
	if (m->ctx.store_down || (r->era && r->era != m->ctx.dir.era))
		return;
	for (int i = 0; i < PEER_RENEWALS_MAX; i++) {
		if (m->peer_renewal_op[i])
			continue;
		a = mesh_store_call(&m->ctx, CALL_LEASE_KEEP);
		a->lease = r->lease;
		a->deadline_ns = m->ctx.now_ns + STORE_LATE_NS;
		m->peer_renewal_op[i] = a->op;
		m->peer_renewals[i] = *r;
		m->peer_renewal_to[i] = from;
		return;
	}
}

static bool peer_renewal_on_end(struct mesh *m, const struct ev_store_end *e)
{
	for (int i = 0; i < PEER_RENEWALS_MAX; i++) {
		struct message *msg;

		if (!m->peer_renewal_op[i] || m->peer_renewal_op[i] != e->op)
			continue;
		m->peer_renewal_op[i] = 0;
		if (e->end != STORE_DONE && e->end != STORE_NO_LEASE)
			return true;
		if (m->peer_renewals[i].era &&
		    m->peer_renewals[i].era != e->era)
			return true;
		msg = message_new(MSG_RENEWED);
		msg->u.renewed.lease = m->peer_renewals[i].lease;
		msg->u.renewed.sent_ns = m->peer_renewals[i].sent_ns;
		msg->u.renewed.ended = e->end == STORE_NO_LEASE;
		msg->u.renewed.era = e->era;
		mesh_send(&m->ctx, m->peer_renewal_to[i],
			  m->peer_renewals[i].reply_to, msg);
		return true;
	}
	return false;
}

static void on_message(struct mesh *m, struct message *msg)
{
	struct mesh_ctx *c = &m->ctx;
	struct local_gate g = local_gate(m);
	struct dir_node *n;

	if (msg->to && msg->to != m->opts.boot && msg->kind != MSG_LOAD) {
		if (msg->kind == MSG_FORWARD)
			not_run_tell_sender(c, msg);
		return;
	}
	switch (msg->kind) {
	case MSG_FORWARD:
		n = directory_by_boot(&c->dir, msg->from);
		gatekeeper_offer(&m->gate, c, &m->holder, &msg->u.forward,
				 msg->from,
				 n ? peer_clock_delay_ns(&n->clock,
							 msg->u.forward.sent_ns,
							 c->now_ns)
				   : 0);
		break;
	case MSG_ANSWER:
		dispatch_on_answer(&m->dispatch, c, &g, msg->from,
				   &msg->u.answer);
		break;
	case MSG_CANCEL:
		gatekeeper_cancel(&m->gate, c, msg->from, &msg->u.cancel);
		break;
	case MSG_LOAD:
		directory_on_load_report(&c->dir, msg->from, &msg->u.load,
					 c->now_ns);
		session_on_revision(&m->session, c, msg->u.load.revision);
		break;
	case MSG_RENEW:
		renew_for_peer(m, msg->from, &msg->u.renew);
		break;
	case MSG_RENEWED:
		session_on_renewed(&m->session, c, &msg->u.renewed);
		break;
	case MSG_CHANGES:
		relay_note_sender(c, msg->from, &msg->u.changes);
		session_on_changes(&m->session, c, &msg->u.changes);
		break;
	case MSG_MANIFEST_GET:
		relay_send_manifest(c, msg->from, &msg->u.manifest_get);
		break;
	case MSG_QUOTA_ASK:
		quotas_on_ask(&m->dispatch.quotas, c, &m->holder, msg->from,
			      &msg->u.quota_ask);
		break;
	case MSG_QUOTA_GRANT:
		quotas_on_grant(&m->dispatch.quotas, c, &msg->u.quota_grant);
		break;
	default:
		break;
	}
}

static void log_failed_call(struct mesh *m, const struct ev_store_end *e)
{
	const struct store_call_note *n = mesh_call_note(&m->ctx, e->op);

	if (!n || store_answered(e->end))
		return;
	mesh_log(m->ctx.out, LOG_WARN,
		 "event=store_call_failed call=%s end=%s ms=%lu",
		 store_call_name(n->kind),
		 e->end == STORE_REFUSED ? "refused" : "no_answer",
		 (unsigned long)((m->ctx.now_ns - n->sent_ns) / NS_PER_MS));
}

/*
 * Notes whether the store serves this node. A call that got no answer, while a
 * later one did, says nothing about that.
 */
static void note_call_end(struct mesh *m, const struct ev_store_end *e)
{
	const struct store_call_note *n = mesh_call_note(&m->ctx, e->op);

	if (store_answered(e->end) && n && n->sent_ns > m->ctx.answered_sent_ns)
		m->ctx.answered_sent_ns = n->sent_ns;
	if (e->end == STORE_NO_ANSWER && n &&
	    n->sent_ns < m->ctx.answered_sent_ns)
		session_note_lost_call(&m->session, &m->ctx);
	else
		session_note_call_end(&m->session, &m->ctx, e->end);
}

static void on_store(struct mesh *m, struct ev_store_end *e)
{
	log_failed_call(m, e);
	note_call_end(m, e);
	if (session_note_era(&m->session, &m->ctx, e))
		holder_on_era(&m->holder, &m->ctx);
	if (!session_on_end(&m->session, &m->ctx, e) &&
	    !holder_on_end(&m->holder, &m->ctx, e) &&
	    !keyplan_on_end(&m->keyplan, &m->ctx, e))
		peer_renewal_on_end(m, e);
	records_delete(&e->records);
}

/* The card has what is known of the upstream, if only that it leaves. */
static void update_card(struct mesh *m)
{
	struct node_card card = m->session.card;
	const struct holder *h = &m->holder;
	bool left = !h->known || h->left.born > h->id.born;

	if (!h->known && !h->left.instance[0])
		return;
	card.upstream = left ? h->left : h->id;
	card.slots = h->slots;
	card.draining = left || h->draining;
	session_set_card(&m->session, &card);
}

static void on_announcement(struct mesh *m, struct upstream_announcement *ann)
{
	holder_on_announcement(&m->holder, &m->ctx, &m->session, ann);
	upstream_announcement_done(ann);
	update_card(m);
}

static void on_upstream_end(struct mesh *m, struct ev_upstream_end *e)
{
	if (e->refused_connection)
		holder_on_gone(&m->holder, &m->ctx);
	gatekeeper_on_upstream_end(&m->gate, &m->ctx, e);
	http_answer_delete(e->answer);
}

/* @max_ns, or less if the whole stop is short. */
static uint64_t stop_part_ns(const struct mesh *m, uint64_t max_ns,
			     double share)
{
	uint64_t part_ns = (uint64_t)((double)m->opts.stop_ns * share);

	return part_ns < max_ns ? part_ns : max_ns;
}

static void start_stop(struct mesh *m)
{
	uint64_t margin_ns = stop_part_ns(m, STOP_MARGIN_NS, STOP_MARGIN_SHARE);
	uint64_t now = m->ctx.now_ns;

	if (m->stop != MESH_RUNS)
		return;
	m->stop = MESH_UNREADY;
	m->dispatch.stopping = true;
	m->close_ns =
		now + stop_part_ns(m, STOP_UNREADY_NS, STOP_UNREADY_SHARE);
	m->refuse_ns = now + stop_part_ns(m, STOP_REFUSE_NS, STOP_REFUSE_SHARE);
	m->end_ns = now + m->opts.stop_ns - margin_ns;
	m->flush_ns =
		m->end_ns + (uint64_t)((double)margin_ns * STOP_FLUSH_SHARE);
	mesh_log(m->ctx.out, LOG_INFO, "event=stopping requests=%u",
		 m->dispatch.count);
}

/*
 * An upstream stops work at the deadline that it is given, so a request that a
 * stopping node takes is answered before the process ends.
 */
static void limit_deadline(const struct mesh *m, struct caller_request *r)
{
	uint64_t latest_ns = m->end_ns - STOP_ANSWER_NS;

	if (m->stop != MESH_RUNS &&
	    (!r->deadline_ns || r->deadline_ns > latest_ns))
		r->deadline_ns = latest_ns;
}

static bool all_finished(const struct mesh *m)
{
	return !m->dispatch.count && !gatekeeper_attempt_count(&m->gate);
}

/*
 * Without the lease others may give the node's keys away at once, and its card
 * is gone, by which the next process learns that the upstream leaves. So the
 * lease of an upstream that may still run is left to end by itself.
 */
static bool may_end_lease(const struct mesh *m)
{
	/* Once it has ended, its id may be another node's in a later era. */
	return m->session.lease &&
	       m->ctx.now_ns < m->session.lease_deadline_ns && m->holder.gone;
}

static void on_flushed(struct mesh *m)
{
	if (m->stop != MESH_FLUSHING)
		return;
	/* Work that other nodes have sent meanwhile ends before the process. */
	if (!all_finished(m) && m->ctx.now_ns < m->end_ns) {
		m->stop = MESH_CLOSED;
		return;
	}
	m->stop = MESH_ENDED;
	if (may_end_lease(m))
		session_end(&m->session, &m->ctx);
	mesh_actions_add(m->ctx.out, MA_EXIT);
}

static void dispatch_event(struct mesh *m, struct mesh_event *ev)
{
	struct mesh_ctx *c = &m->ctx;
	struct local_gate g = local_gate(m);

	switch (ev->kind) {
	case ME_TICK:
		break;
	case ME_REQUEST:
		limit_deadline(m, &ev->u.request);
		dispatch_on_request(&m->dispatch, c, &g, &ev->u.request);
		caller_request_done(&ev->u.request);
		break;
	case ME_CALLER_DISCONNECTED:
		dispatch_on_caller_disconnected(&m->dispatch, c, &g,
						ev->u.caller);
		break;
	case ME_UPSTREAM_END:
		on_upstream_end(m, &ev->u.upstream);
		break;
	case ME_UPSTREAM_GONE:
		holder_on_gone(&m->holder, c);
		break;
	case ME_ANNOUNCEMENT:
		on_announcement(m, &ev->u.announcement);
		break;
	case ME_MESSAGE:
		on_message(m, ev->u.message);
		message_delete(ev->u.message);
		break;
	case ME_STORE_END:
		on_store(m, &ev->u.store);
		break;
	case ME_STOP:
		start_stop(m);
		break;
	case ME_FLUSHED:
		on_flushed(m);
		break;
	}
}

/* Updates this node in its own directory, as it sends itself no report. */
static void note_own_load(struct mesh *m)
{
	struct dir_node *n = directory_node(&m->ctx.dir, m->opts.node);

	if (!n)
		return;
	directory_set_boot(&m->ctx.dir, n, m->opts.boot);
	n->heard_ns = m->ctx.now_ns;
	n->leaving = m->stop >= MESH_CLOSED;
	n->unreported_requests = 0;
	gatekeeper_fill_load(&m->gate, &m->ctx, &m->holder, &n->load);
	even_note_load(&n->even, &n->load, m->ctx.now_ns);
	if (n->revision)
		return;
	/* The directory has no card of this node yet. */
	n->card = m->session.card;
}

static void report_load(struct mesh *m)
{
	struct report_inputs state = {
		.gate = &m->gate,
		.holder = &m->holder,
		.leaving = m->stop >= MESH_CLOSED,
	};

	note_own_load(m);
	if (!reports_due(&m->reports, &m->ctx, &state))
		return;
	state.watches = session_watches(&m->session, &m->ctx);
	reports_work(&m->reports, &m->ctx, &state);
}

static void advance_stop(struct mesh *m)
{
	uint64_t now = m->ctx.now_ns;
	struct local_gate g = local_gate(m);

	if (m->stop == MESH_UNREADY && now >= m->close_ns) {
		m->stop = MESH_CLOSED;
		m->gate.end_ns = m->end_ns;
		mesh_log(m->ctx.out, LOG_INFO, "event=closed requests=%u",
			 m->dispatch.count);
	}
	if (m->stop == MESH_CLOSED && now >= m->refuse_ns) {
		m->dispatch.closed = true;
		dispatch_end_all(&m->dispatch, &m->ctx, &g, now >= m->end_ns);
	}
	if (m->stop != MESH_CLOSED || (!all_finished(m) && now < m->end_ns))
		return;
	m->stop = MESH_FLUSHING;
	m->dispatch.closed = true;
	/* The upstream's keys don't wait for callers that read slowly. */
	if (may_end_lease(m))
		session_end(&m->session, &m->ctx);
	mesh_actions_add(m->ctx.out, MA_FLUSH)->u.flush_deadline_ns =
		m->flush_ns;
}

/*
 * Runs what is due. Delivered results may start attempts, and the gate may end
 * those at once, hence the repeated calls.
 */
static void work(struct mesh *m)
{
	struct mesh_ctx *c = &m->ctx;
	struct local_gate g = local_gate(m);

	holder_work(&m->holder, c, &m->session);
	update_card(m);
	session_work(&m->session, c);
	keyplan_work(&m->keyplan, c, &m->session);
	deliver_results(m);
	dispatch_work(&m->dispatch, c, &g);
	gatekeeper_work(&m->gate, c, &m->holder);
	deliver_results(m);
	gatekeeper_work(&m->gate, c, &m->holder);
	deliver_results(m);
	report_load(m);
	advance_stop(m);
}

void mesh_handle(struct mesh *m, struct mesh_event *ev,
		 struct mesh_actions *out)
{
	m->ctx.now_ns = ev->now_ns;
	m->ctx.out = out;
	dispatch_event(m, ev);
	check_ready(m);
	work(m);
}

/* Lowers @next to @at if that is earlier. */
static void include(uint64_t *next, uint64_t at)
{
	if (at < *next)
		*next = at;
}

uint64_t mesh_next_ns(const struct mesh *m)
{
	uint64_t next = m->reports.next_ns;

	include(&next, session_next_ns(&m->session, &m->ctx));
	include(&next, keyplan_next_ns(&m->keyplan));
	include(&next, gatekeeper_next_ns(&m->gate));
	include(&next, dispatch_next_ns(&m->dispatch));
	if (!m->was_ready && m->hear_peers_ns > m->ctx.now_ns)
		include(&next, m->hear_peers_ns);
	if (m->stop != MESH_RUNS)
		include(&next, m->ctx.now_ns + STOP_TICK_NS);
	return next > m->ctx.now_ns + TICK_MIN_NS ? next
						  : m->ctx.now_ns + TICK_MIN_NS;
}
