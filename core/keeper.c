#include "core/keeper.h"

#include <stdlib.h>
#include <string.h>

#include "core/invariant.h"
#include "core/mem.h"
#include "core/text.h"

/* Documents that no heartbeat acknowledges for this time are sent again. */
#define RESEND_NS	(400 * NS_PER_MS)
#define RETRY_NS	(40 * NS_PER_MS)
/*
 * Known rosters are scanned, and a roster is read for a heartbeat of an
 * unknown node, at most this often.
 */
#define ROSTER_CHECK_NS (200 * NS_PER_MS)

void keeper_init(struct keeper *k)
{
	memset(k, 0, sizeof(*k));
	list_init(&k->dcs);
}

static void dc_delete(struct keeper_dc *dc)
{
	struct kept_node *kept, *kept_tmp;
	struct adoption *a, *a_tmp;

	list_for_each_entry_safe(kept, kept_tmp, &dc->kept_nodes, link)
		free(kept);
	list_for_each_entry_safe(a, a_tmp, &dc->adoptions, link)
		free(a);
	list_remove(&dc->link);
	free(dc);
}

void keeper_done(struct keeper *k)
{
	struct keeper_dc *dc, *tmp;

	list_for_each_entry_safe(dc, tmp, &k->dcs, link)
		dc_delete(dc);
}

void keeper_reset(struct keeper *k)
{
	keeper_done(k);
	keeper_init(k);
}

static struct keeper_dc *dc_find(struct keeper *k, const char *name)
{
	struct keeper_dc *dc;

	list_for_each_entry(dc, &k->dcs, link)
		if (!strcmp(dc->name, name))
			return dc;
	return NULL;
}

static struct keeper_dc *dc_get(struct keeper *k, const char *name)
{
	struct keeper_dc *dc = dc_find(k, name);

	if (dc)
		return dc;
	dc = mem_new(struct keeper_dc);
	mem_copy_str(dc->name, name, sizeof(dc->name));
	list_init(&dc->kept_nodes);
	list_init(&dc->adoptions);
	list_push_back(&k->dcs, &dc->link);
	return dc;
}

static struct kept_node *kept_find(const struct keeper_dc *dc,
				   incarnation_t inc)
{
	struct kept_node *kept;

	list_for_each_entry(kept, &dc->kept_nodes, link)
		if (kept->inc == inc)
			return kept;
	return NULL;
}

static void kept_delete(struct kept_node *kept)
{
	list_remove(&kept->link);
	free(kept);
}

bool keeper_active(const struct keeper *k)
{
	return !list_empty(&k->dcs);
}

bool keeper_has_authority(const struct keeper *k, const struct ctx *c)
{
	return k->contact_ns &&
	       c->now_ns <= k->contact_ns + c->opts->timing.authority_ns;
}

/* Rosters that were read before, or are being read, must be read again. */
static void end_authority_period(struct keeper *k, struct ctx *c)
{
	struct keeper_dc *dc;

	c->authority_period++;
	list_for_each_entry(dc, &k->dcs, link) {
		struct kept_node *kept;

		list_for_each_entry(kept, &dc->kept_nodes, link) {
			if (kept->state == KEPT_CONFIRMED)
				kept->state = KEPT_UNVERIFIED;
		}
		dc->must_read = true;
	}
}

static void contact_renewed(struct keeper *k, struct ctx *c, uint64_t sent_ns)
{
	/*
	 * A roster read counts only if it was sent after the period's first
	 * contact was in the store: the list of contacts is the last thing
	 * that a takeover reads before it writes.
	 */
	if (!k->contact_ns ||
	    c->now_ns > k->contact_ns + c->opts->timing.authority_ns)
		end_authority_period(k, c);
	if (k->contact_ns < sent_ns)
		k->contact_ns = sent_ns;
}

static void renew_contact(struct keeper *k, struct ctx *c)
{
	uint64_t period = timing_contact_ns(&c->opts->timing);
	char name[JD_NAME_MAX];
	struct doc *d;

	if (c->now_ns < k->next_contact_ns || ctx_call_pending(c, CALL_CONTACT))
		return;
	k->next_contact_ns = c->now_ns + ctx_jitter(c, period);
	text_format(name, sizeof(name), "%016lx", (unsigned long)c->self);
	d = doc_new(DOC_CONTACT, name);
	d->u.contact.node = c->self;
	d->u.contact.count = ++k->contact_count;
	ctx_call(c, &(struct call_opts){.owner = CALL_CONTACT,
					.kind = STORE_CAS,
					.doc_kind = DOC_CONTACT,
					.name = name,
					.revision = k->contact_revision,
					.doc = d});
}

static void on_contact(struct keeper *k, struct ctx *c, const struct call *call,
		       struct ev_store *ev)
{
	const struct doc *d;

	if (ev->status == STATUS_OK)
		contact_renewed(k, c, call->sent_ns);
	if (ev->status == STATUS_OK || ev->status == STATUS_CONFLICT) {
		k->contact_revision = 0;
		list_for_each_entry(d, &ev->docs, link)
			k->contact_revision = d->revision;
	}
	if (ev->status != STATUS_OK)
		k->next_contact_ns = c->now_ns + ctx_jitter(c, RETRY_NS);
}

/* Updates the kept node from its entry in the store. */
static void observe_entry(struct keeper_dc *dc, struct ctx *c,
			  const struct member *m)
{
	struct kept_node *kept = kept_find(dc, m->inc);

	if (!kept) {
		kept = mem_new(struct kept_node);
		kept->inc = m->inc;
		kept->last_heartbeat_ns = c->now_ns;
		mem_copy_str(kept->dc, dc->name, sizeof(kept->dc));
		list_push_back(&dc->kept_nodes, &kept->link);
	}
	mem_copy_str(kept->addr, m->peer_addr, sizeof(kept->addr));
	JD_INVARIANT(m->term >= kept->term, "inc=%016lx term=%lu->%lu",
		     (unsigned long)m->inc, (unsigned long)kept->term,
		     (unsigned long)m->term);
	if (m->state == MEMBER_REVOKED) {
		if (kept->state != KEPT_REVOKED && kept->state != KEPT_LAPSED) {
			const struct timing *t = &c->opts->timing;

			kept->state = KEPT_REVOKED;
			kept->lease_end_ns =
				c->now_ns + t->lease_ns +
				t->lease_ns * 2 * t->drift_ppm / 1000000;
		}
	} else if (m->term > kept->term || kept->state == KEPT_UNVERIFIED ||
		   kept->state == KEPT_TAKEN_OVER) {
		kept->state =
			m->former_keeper ? KEPT_TAKEN_OVER : KEPT_CONFIRMED;
		kept->last_heartbeat_ns = c->now_ns;
	}
	kept->term = m->term;
}

/* Drops nodes whose entries are gone or name another keeper. */
static void drop_former_nodes(struct keeper_dc *dc, const struct ctx *c,
			      const struct roster *r)
{
	struct kept_node *kept, *tmp;

	list_for_each_entry_safe(kept, tmp, &dc->kept_nodes, link) {
		const struct member *m = roster_find(r, kept->inc);

		if (!m || m->keeper != c->self)
			kept_delete(kept);
	}
}

void keeper_observe(struct keeper *k, struct ctx *c, const struct roster *r,
		    uint64_t authority_period)
{
	struct keeper_dc *dc;
	const struct member *m;
	bool any = false;

	if (authority_period != c->authority_period ||
	    !keeper_has_authority(k, c))
		return;
	list_for_each_entry(m, &r->members, link)
		any |= m->keeper == c->self;
	if (!any && !keeper_active(k))
		return;
	dc = dc_get(k, r->dc);
	list_for_each_entry(m, &r->members, link)
		if (m->keeper == c->self)
			observe_entry(dc, c, m);
	drop_former_nodes(dc, c, r);
}

void keeper_on_heartbeat(struct keeper *k, struct ctx *c,
			 const struct message *msg)
{
	const struct msg_heartbeat *hb = &msg->u.heartbeat;
	struct keeper_dc *dc = dc_get(k, hb->dc);
	struct kept_node *kept = kept_find(dc, msg->from);
	struct message *ack;

	if (!kept || kept->state == KEPT_UNVERIFIED || hb->term > kept->term) {
		dc->must_read |= c->now_ns >= dc->next_read_ns;
		return;
	}
	if (kept->term != hb->term)
		return;
	/* The node uses the new term, so it ignores its former keeper. */
	if (kept->state == KEPT_TAKEN_OVER)
		kept->state = KEPT_CONFIRMED;
	if (kept->state != KEPT_CONFIRMED)
		return;
	kept->last_heartbeat_ns = c->now_ns;
	if (kept->revision > hb->revision &&
	    (hb->needs_documents ||
	     c->now_ns > kept->documents_sent_ns + RESEND_NS)) {
		kept->revision = hb->revision;
		kept->send_complete = true;
	}
	if (kept->revision < hb->revision)
		kept->revision = hb->revision;
	if (!keeper_has_authority(k, c))
		return;
	ack = message_new(MSG_HEARTBEAT_ACK);
	ack->u.heartbeat_ack.sent_ns = hb->sent_ns;
	ack->u.heartbeat_ack.term = hb->term;
	ack->u.heartbeat_ack.revision = c->view.revision;
	ctx_send(c, kept->inc, kept->addr, ack);
}

void keeper_on_adopt(struct keeper *k, struct ctx *c, const struct message *msg)
{
	struct keeper_dc *dc = dc_get(k, msg->u.adopt.dc);
	struct adoption *a;

	list_for_each_entry(a, &dc->adoptions, link)
		if (a->inc == msg->from && a->old_term == msg->u.adopt.old_term)
			return;
	a = mem_new(struct adoption);
	a->inc = msg->from;
	a->old_term = msg->u.adopt.old_term;
	list_push_back(&dc->adoptions, &a->link);
	dc->dirty = true;
	dc->must_read = true;
}

static void check_deadlines(struct keeper_dc *dc, struct ctx *c)
{
	struct kept_node *kept;

	list_for_each_entry(kept, &dc->kept_nodes, link) {
		if (kept->state == KEPT_CONFIRMED &&
		    c->now_ns > kept->last_heartbeat_ns +
					c->opts->timing.detect_ns) {
			actions_log(c->out, LOG_WARN,
				    "event=node_silent inc=%016lx dc=%s",
				    (unsigned long)kept->inc, dc->name);
			kept->state = KEPT_SILENT;
		}
		if (kept->state == KEPT_REVOKED &&
		    c->now_ns >= kept->lease_end_ns)
			kept->state = KEPT_LAPSED;
		if (kept->state == KEPT_SILENT || kept->state == KEPT_LAPSED)
			dc->dirty = true;
	}
}

static bool edit_kept(struct roster *r, struct ctx *c,
		      const struct kept_node *kept)
{
	struct member *m = roster_find(r, kept->inc);

	if (!m || m->keeper != c->self || m->term != kept->term)
		return false;
	if (kept->state == KEPT_SILENT && m->state != MEMBER_REVOKED) {
		m->state = MEMBER_REVOKED;
		m->former_keeper = 0;
		return true;
	}
	if (kept->state == KEPT_LAPSED && m->state == MEMBER_REVOKED) {
		roster_remove(r, m);
		return true;
	}
	return false;
}

static bool edit_adoption(struct roster *r, struct ctx *c,
			  const struct adoption *a)
{
	struct member *m = roster_find(r, a->inc);

	if (!m || m->term != a->old_term || m->state == MEMBER_REVOKED)
		return false;
	m->keeper = c->self;
	m->term = a->old_term + 1;
	m->former_keeper = 0;
	return true;
}

/* Clears former_keeper in entries of nodes that this node no longer answers. */
static bool clear_former_keeper(struct roster *r, const struct ctx *c)
{
	struct member *m;
	bool any = false;

	list_for_each_entry(m, &r->members, link) {
		if (m->former_keeper != c->self)
			continue;
		m->former_keeper = 0;
		any = true;
	}
	return any;
}

/* Applies all pending edits to @r; false when nothing changed. */
static bool edit_roster(struct keeper_dc *dc, struct ctx *c, struct roster *r)
{
	struct adoption *a, *tmp;
	struct kept_node *kept;
	bool any;

	drop_former_nodes(dc, c, r);
	any = clear_former_keeper(r, c);
	list_for_each_entry(kept, &dc->kept_nodes, link)
		any |= edit_kept(r, c, kept);
	list_for_each_entry_safe(a, tmp, &dc->adoptions, link) {
		if (edit_adoption(r, c, a)) {
			any = true;
			continue;
		}
		list_remove(&a->link);
		free(a);
	}
	return any;
}

static void read_roster(struct keeper_dc *dc, struct ctx *c)
{
	dc->call_pending = true;
	dc->next_read_ns = c->now_ns + ROSTER_CHECK_NS;
	ctx_call(c, &(struct call_opts){.owner = CALL_KEEPER,
					.kind = STORE_GET,
					.doc_kind = DOC_ROSTER,
					.name = dc->name});
}

static void write_roster(struct keeper_dc *dc, struct ctx *c)
{
	const struct doc *old = view_doc(&c->view, DOC_ROSTER, dc->name);
	struct doc *d;

	dc->dirty = false;
	if (!old || !old->u.roster) {
		dc->must_read = true;
		return;
	}
	d = doc_new(DOC_ROSTER, dc->name);
	d->u.roster = roster_copy(old->u.roster);
	if (!edit_roster(dc, c, d->u.roster)) {
		doc_delete(d);
		return;
	}
	dc->call_pending = true;
	ctx_call(c, &(struct call_opts){.owner = CALL_KEEPER,
					.kind = STORE_CAS,
					.doc_kind = DOC_ROSTER,
					.name = dc->name,
					.revision = old->revision,
					.doc = d});
}

static void dc_work(struct keeper_dc *dc, struct ctx *c)
{
	check_deadlines(dc, c);
	if (dc->call_pending || c->now_ns < dc->next_try_ns)
		return;
	if (dc->must_read)
		read_roster(dc, c);
	else if (dc->dirty)
		write_roster(dc, c);
}

static void fill_sync(struct msg_sync *s, const struct ctx *c,
		      const struct kept_node *kept)
{
	if (!kept->send_complete) {
		view_fill_sync(&c->view, kept->revision, s);
		return;
	}
	s->from = kept->revision;
	s->to = c->view.revision;
	view_copy_newer(&c->view, kept->revision, &s->docs);
}

static void send_documents(struct ctx *c, struct kept_node *kept)
{
	struct message *msg;

	/* Revision 0: no heartbeat has said yet what the node has. */
	if (kept->state != KEPT_CONFIRMED || !kept->revision ||
	    kept->revision >= c->view.revision ||
	    kept->revision >= c->view.newest)
		return;
	msg = message_new(MSG_SYNC);
	fill_sync(&msg->u.sync, c, kept);
	kept->revision = c->view.revision;
	kept->documents_sent_ns = c->now_ns;
	kept->send_complete = false;
	ctx_send(c, kept->inc, kept->addr, msg);
}

/* True when nothing is left to do for the data centre. */
static bool dc_idle(const struct keeper_dc *dc)
{
	return list_empty(&dc->kept_nodes) && list_empty(&dc->adoptions) &&
	       !dc->call_pending && !dc->must_read && !dc->dirty;
}

/*
 * Moves the time of the last heartbeat by the length of the pause, but not into
 * the future: the heartbeat may have been handled after the pause.
 */
static void discount_pause(struct kept_node *kept, const struct ctx *c,
			   uint64_t paused_ns)
{
	kept->last_heartbeat_ns += paused_ns;
	if (kept->last_heartbeat_ns > c->now_ns)
		kept->last_heartbeat_ns = c->now_ns;
}

/*
 * After a pause of this process, heartbeats are still unread: the time of the
 * pause does not count as silence of the nodes.
 */
static void discount_own_pause(struct keeper *k, struct ctx *c)
{
	uint64_t paused_ns = c->now_ns - k->last_work_ns;
	struct keeper_dc *dc;
	struct kept_node *kept;

	if (k->last_work_ns && paused_ns > c->opts->timing.detect_ns / 2)
		list_for_each_entry(dc, &k->dcs, link)
			list_for_each_entry(kept, &dc->kept_nodes, link)
				discount_pause(kept, c, paused_ns);
	k->last_work_ns = c->now_ns;
}

/* True when the view has a newer entry than the one read from the store. */
static bool kept_outdated(const struct kept_node *kept, const struct member *m)
{
	if (!kept || kept->term < m->term)
		return true;
	if (m->state == MEMBER_REVOKED)
		return kept->state != KEPT_REVOKED &&
		       kept->state != KEPT_LAPSED;
	return kept->state == KEPT_TAKEN_OVER && !m->former_keeper;
}

/*
 * Finds entries that name this node as keeper, whether or not their node has
 * sent a heartbeat, and entries that were taken over from it. A node that is
 * not kept any more is never answered again, so its entry need not name this
 * one as former_keeper.
 */
static void scan_roster(struct keeper *k, struct ctx *c, const struct roster *r)
{
	struct keeper_dc *dc = dc_find(k, r->dc);
	const struct member *m;

	list_for_each_entry(m, &r->members, link) {
		if (m->keeper != c->self && m->former_keeper != c->self)
			continue;
		dc = dc_get(k, r->dc);
		if (m->former_keeper == c->self)
			dc->dirty = true;
		else if (kept_outdated(kept_find(dc, m->inc), m))
			dc->must_read = true;
	}
	if (dc)
		drop_former_nodes(dc, c, r);
}

static void scan(struct keeper *k, struct ctx *c)
{
	const struct doc *d = NULL;

	if (c->now_ns < k->next_scan_ns)
		return;
	k->next_scan_ns = c->now_ns + ROSTER_CHECK_NS;
	while ((d = view_next(&c->view, DOC_ROSTER, d)))
		scan_roster(k, c, d->u.roster);
}

void keeper_work(struct keeper *k, struct ctx *c)
{
	struct keeper_dc *dc, *tmp;

	scan(k, c);
	discount_own_pause(k, c);
	if (!keeper_active(k))
		return;
	if (k->contact_ns && !keeper_has_authority(k, c)) {
		end_authority_period(k, c);
		k->contact_ns = 0;
	}
	renew_contact(k, c);
	list_for_each_entry_safe(dc, tmp, &k->dcs, link) {
		struct kept_node *kept;

		if (keeper_has_authority(k, c))
			dc_work(dc, c);
		list_for_each_entry(kept, &dc->kept_nodes, link)
			send_documents(c, kept);
		if (dc_idle(dc))
			dc_delete(dc);
	}
}

static void on_roster(struct keeper *k, struct ctx *c, const struct call *call,
		      struct ev_store *ev)
{
	struct keeper_dc *dc = dc_get(k, call->key.name);
	bool reread = false;
	bool answered =
		ev->status == STATUS_OK || ev->status == STATUS_CONFLICT;

	dc->call_pending = false;
	if (ev->status == STATUS_CONFLICT) {
		/* After the loss of a data centre, many keepers write this. */
		dc->dirty = true;
		reread = true;
		dc->next_try_ns = c->now_ns + rng_below(&c->rng, RETRY_NS);
	}
	if (answered)
		dc->must_read =
			reread || call->authority_period != c->authority_period;
	if (!answered) {
		/* The write may have taken effect: read before the next. */
		dc->must_read = true;
		dc->dirty = true;
		dc->next_try_ns = c->now_ns + ctx_jitter(c, RETRY_NS);
	}
	if (view_apply_all(&c->view, &ev->docs) && call->kind == STORE_CAS &&
	    ev->status == STATUS_OK)
		k->roster_written = true;
	if (answered && view_roster(&c->view, call->key.name))
		keeper_observe(k, c, view_roster(&c->view, call->key.name),
			       call->authority_period);
}

void keeper_on_store(struct keeper *k, struct ctx *c, const struct call *call,
		     struct ev_store *ev)
{
	if (call->owner == CALL_CONTACT)
		on_contact(k, c, call, ev);
	else
		on_roster(k, c, call, ev);
}

static uint64_t kept_next_ns(const struct kept_node *kept, const struct ctx *c)
{
	switch (kept->state) {
	case KEPT_CONFIRMED:
		return kept->last_heartbeat_ns + c->opts->timing.detect_ns + 1;
	case KEPT_REVOKED:
		return kept->lease_end_ns;
	case KEPT_UNVERIFIED:
	case KEPT_TAKEN_OVER:
	case KEPT_SILENT:
	case KEPT_LAPSED:
		break;
	}
	return DEADLINE_NEVER;
}

uint64_t keeper_next_ns(const struct keeper *k, const struct ctx *c)
{
	uint64_t next = DEADLINE_NEVER;
	const struct keeper_dc *dc;

	if (!keeper_active(k))
		return next;
	next = k->next_contact_ns;
	list_for_each_entry(dc, &k->dcs, link) {
		const struct kept_node *kept;

		if (!dc->call_pending && (dc->dirty || dc->must_read) &&
		    dc->next_try_ns < next)
			next = dc->next_try_ns;
		list_for_each_entry(kept, &dc->kept_nodes, link) {
			uint64_t t = kept_next_ns(kept, c);

			if (t < next)
				next = t;
		}
	}
	return next;
}
