#include "core/keeper.h"

#include <stdlib.h>
#include <string.h>

#include "core/invariant.h"
#include "core/mem.h"
#include "core/text.h"

/* Documents are sent again to a node that has not taken them. */
#define PUSH_AGAIN_NS	(400 * NS_PER_MS)
#define RETRY_NS	(40 * NS_PER_MS)
/* A heartbeat of an unknown node reads its roster at most this often. */
#define VERIFY_AGAIN_NS (200 * NS_PER_MS)

void keeper_init(struct keeper *k)
{
	memset(k, 0, sizeof(*k));
	list_init(&k->dcs);
}

static void dc_delete(struct keeper_dc *dc)
{
	struct charge *ch, *ct;
	struct adoption *a, *at;

	list_for_each_entry_safe(ch, ct, &dc->charges, link)
		free(ch);
	list_for_each_entry_safe(a, at, &dc->adoptions, link)
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
	list_init(&dc->charges);
	list_init(&dc->adoptions);
	list_push_back(&k->dcs, &dc->link);
	return dc;
}

static struct charge *charge_find(const struct keeper_dc *dc, incarnation_t inc)
{
	struct charge *ch;

	list_for_each_entry(ch, &dc->charges, link)
		if (ch->inc == inc)
			return ch;
	return NULL;
}

static void charge_delete(struct charge *ch)
{
	list_remove(&ch->link);
	free(ch);
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

/* Out of authority: nothing known before counts, whatever comes next. */
static void forget(struct keeper *k, struct ctx *c)
{
	struct keeper_dc *dc;

	c->stretch++;
	list_for_each_entry(dc, &k->dcs, link) {
		struct charge *ch;

		list_for_each_entry(ch, &dc->charges, link) {
			if (ch->state == CHARGE_OK)
				ch->state = CHARGE_VERIFY;
		}
		dc->verify = true;
	}
}

static void renewed(struct keeper *k, struct ctx *c, uint64_t sent_ns)
{
	/*
	 * Reads count only if they were sent after the first contact of a
	 * stretch was in the store: a taker looks at the contact last.
	 */
	if (!k->contact_ns ||
	    c->now_ns > k->contact_ns + c->opts->timing.authority_ns)
		forget(k, c);
	if (k->contact_ns < sent_ns)
		k->contact_ns = sent_ns;
}

static void renew_contact(struct keeper *k, struct ctx *c)
{
	uint64_t period = timing_contact_ns(&c->opts->timing);
	char name[JD_NAME_MAX];
	struct doc *d;

	if (c->now_ns < k->next_contact_ns || ctx_calling(c, CALL_CONTACT))
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
		renewed(k, c, call->sent_ns);
	if (ev->status == STATUS_OK || ev->status == STATUS_CONFLICT) {
		k->contact_revision = 0;
		list_for_each_entry(d, &ev->docs, link)
			k->contact_revision = d->revision;
	}
	if (ev->status != STATUS_OK)
		k->next_contact_ns = c->now_ns + ctx_jitter(c, RETRY_NS);
}

/* What a shown entry says of the charge. */
static void observe_entry(struct keeper_dc *dc, struct ctx *c,
			  const struct member *m)
{
	struct charge *ch = charge_find(dc, m->inc);

	if (!ch) {
		ch = mem_new(struct charge);
		ch->inc = m->inc;
		ch->heard_ns = c->now_ns;
		mem_copy_str(ch->dc, dc->name, sizeof(ch->dc));
		list_push_back(&dc->charges, &ch->link);
	}
	mem_copy_str(ch->addr, m->peer_addr, sizeof(ch->addr));
	JD_INVARIANT(m->term >= ch->term, "inc=%016lx term=%lu->%lu",
		     (unsigned long)m->inc, (unsigned long)ch->term,
		     (unsigned long)m->term);
	if (m->state == MEMBER_REVOKED) {
		if (ch->state != CHARGE_WAIT && ch->state != CHARGE_LAPSED) {
			const struct timing *t = &c->opts->timing;

			ch->state = CHARGE_WAIT;
			ch->wait_until_ns =
				c->now_ns + t->lease_ns +
				t->lease_ns * 2 * t->drift_ppm / 1000000;
		}
	} else if (m->term > ch->term || ch->state == CHARGE_VERIFY ||
		   ch->state == CHARGE_TAKEN) {
		ch->state = m->former_keeper ? CHARGE_TAKEN : CHARGE_OK;
		ch->heard_ns = c->now_ns;
	}
	ch->term = m->term;
}

/* Entries that are gone or name another keeper are no charges any more. */
static void drop_charges(struct keeper_dc *dc, const struct ctx *c,
			 const struct roster *r)
{
	struct charge *ch, *tmp;

	list_for_each_entry_safe(ch, tmp, &dc->charges, link) {
		const struct member *m = roster_find(r, ch->inc);

		if (!m || m->keeper != c->self)
			charge_delete(ch);
	}
}

void keeper_observe(struct keeper *k, struct ctx *c, const struct roster *r,
		    uint64_t stretch)
{
	struct keeper_dc *dc;
	const struct member *m;
	bool any = false;

	if (stretch != c->stretch || !keeper_has_authority(k, c))
		return;
	list_for_each_entry(m, &r->members, link)
		any |= m->keeper == c->self;
	if (!any && !keeper_active(k))
		return;
	dc = dc_get(k, r->dc);
	list_for_each_entry(m, &r->members, link)
		if (m->keeper == c->self)
			observe_entry(dc, c, m);
	drop_charges(dc, c, r);
}

void keeper_on_heartbeat(struct keeper *k, struct ctx *c,
			 const struct message *msg)
{
	const struct msg_heartbeat *hb = &msg->u.heartbeat;
	struct keeper_dc *dc = dc_get(k, hb->dc);
	struct charge *ch = charge_find(dc, msg->from);
	struct message *ack;

	if (!ch || ch->state == CHARGE_VERIFY || hb->term > ch->term) {
		dc->verify |= c->now_ns >= dc->next_verify_ns;
		return;
	}
	if (ch->term != hb->term)
		return;
	/* It knows of us, so it takes no answer of its former keeper. */
	if (ch->state == CHARGE_TAKEN)
		ch->state = CHARGE_OK;
	if (ch->state != CHARGE_OK)
		return;
	ch->heard_ns = c->now_ns;
	if (ch->revision > hb->revision &&
	    (hb->missed || c->now_ns > ch->pushed_ns + PUSH_AGAIN_NS)) {
		ch->revision = hb->revision;
		ch->missed = true;
	}
	if (ch->revision < hb->revision)
		ch->revision = hb->revision;
	if (!keeper_has_authority(k, c))
		return;
	ack = message_new(MSG_HEARTBEAT_ACK);
	ack->u.heartbeat_ack.sent_ns = hb->sent_ns;
	ack->u.heartbeat_ack.term = hb->term;
	ack->u.heartbeat_ack.revision = c->view.revision;
	ctx_send(c, ch->inc, ch->addr, ack);
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
	dc->verify = true;
}

static void check_silence(struct keeper_dc *dc, struct ctx *c)
{
	struct charge *ch;

	list_for_each_entry(ch, &dc->charges, link) {
		if (ch->state == CHARGE_OK &&
		    c->now_ns > ch->heard_ns + c->opts->timing.detect_ns) {
			actions_log(c->out, LOG_WARN,
				    "event=node_silent inc=%016lx dc=%s",
				    (unsigned long)ch->inc, dc->name);
			ch->state = CHARGE_REVOKE;
		}
		if (ch->state == CHARGE_WAIT && c->now_ns >= ch->wait_until_ns)
			ch->state = CHARGE_LAPSED;
		if (ch->state == CHARGE_REVOKE || ch->state == CHARGE_LAPSED)
			dc->dirty = true;
	}
}

static bool edit_charge(struct roster *r, struct ctx *c,
			const struct charge *ch)
{
	struct member *m = roster_find(r, ch->inc);

	if (!m || m->keeper != c->self || m->term != ch->term)
		return false;
	if (ch->state == CHARGE_REVOKE && m->state != MEMBER_REVOKED) {
		m->state = MEMBER_REVOKED;
		m->former_keeper = 0;
		return true;
	}
	if (ch->state == CHARGE_LAPSED && m->state == MEMBER_REVOKED) {
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

/* Owns up to having lost entries to another keeper. */
static bool edit_ousted(struct roster *r, const struct ctx *c)
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

/* All wanted edits in one write; false when none is left. */
static bool edit_roster(struct keeper_dc *dc, struct ctx *c, struct roster *r)
{
	struct adoption *a, *tmp;
	struct charge *ch;
	bool any;

	drop_charges(dc, c, r);
	any = edit_ousted(r, c);
	list_for_each_entry(ch, &dc->charges, link)
		any |= edit_charge(r, c, ch);
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
	dc->calling = true;
	dc->next_verify_ns = c->now_ns + VERIFY_AGAIN_NS;
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
		dc->verify = true;
		return;
	}
	d = doc_new(DOC_ROSTER, dc->name);
	d->u.roster = roster_copy(old->u.roster);
	if (!edit_roster(dc, c, d->u.roster)) {
		doc_delete(d);
		return;
	}
	dc->calling = true;
	ctx_call(c, &(struct call_opts){.owner = CALL_KEEPER,
					.kind = STORE_CAS,
					.doc_kind = DOC_ROSTER,
					.name = dc->name,
					.revision = old->revision,
					.doc = d});
}

static void dc_work(struct keeper_dc *dc, struct ctx *c)
{
	check_silence(dc, c);
	if (dc->calling || c->now_ns < dc->next_try_ns)
		return;
	if (dc->verify)
		read_roster(dc, c);
	else if (dc->dirty)
		write_roster(dc, c);
}

static void fill_sync(struct msg_sync *s, const struct ctx *c,
		      const struct charge *ch)
{
	if (!ch->missed) {
		view_changes(&c->view, ch->revision, s);
		return;
	}
	s->from = ch->revision;
	s->to = c->view.revision;
	view_newer(&c->view, ch->revision, &s->docs);
}

static void push(struct ctx *c, struct charge *ch)
{
	struct message *msg;

	/* Its first heartbeat says what it knows. */
	if (ch->state != CHARGE_OK || !ch->revision ||
	    ch->revision >= c->view.revision || ch->revision >= c->view.newest)
		return;
	msg = message_new(MSG_SYNC);
	fill_sync(&msg->u.sync, c, ch);
	ch->revision = c->view.revision;
	ch->pushed_ns = c->now_ns;
	ch->missed = false;
	ctx_send(c, ch->inc, ch->addr, msg);
}

/* A data centre without charges or wishes is none of our business. */
static bool dc_idle(const struct keeper_dc *dc)
{
	return list_empty(&dc->charges) && list_empty(&dc->adoptions) &&
	       !dc->calling && !dc->verify && !dc->dirty;
}

/* One that was heard since, or came since, was heard now at the latest. */
static void forgive(struct charge *ch, const struct ctx *c, uint64_t paused)
{
	ch->heard_ns += paused;
	if (ch->heard_ns > c->now_ns)
		ch->heard_ns = c->now_ns;
}

/*
 * After a pause of our own, heartbeats wait unread: nobody was silent, we
 * were deaf. The time of the pause does not count.
 */
static void forgive_pause(struct keeper *k, struct ctx *c)
{
	uint64_t paused = c->now_ns - k->worked_ns;
	struct keeper_dc *dc;
	struct charge *ch;

	if (k->worked_ns && paused > c->opts->timing.detect_ns / 2)
		list_for_each_entry(dc, &k->dcs, link)
			list_for_each_entry(ch, &dc->charges, link)
				forgive(ch, c, paused);
	k->worked_ns = c->now_ns;
}

/* The view has more of the entry than the store has shown the keeper. */
static bool outdated(const struct charge *ch, const struct member *m)
{
	if (!ch || ch->term < m->term)
		return true;
	if (m->state == MEMBER_REVOKED)
		return ch->state != CHARGE_WAIT && ch->state != CHARGE_LAPSED;
	return ch->state == CHARGE_TAKEN && !m->former_keeper;
}

/*
 * Entries that name us, although their node may never have been heard, and
 * entries taken from us: without the charge we never answer the node again,
 * so the entry need not name us as former_keeper.
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
		else if (outdated(charge_find(dc, m->inc), m))
			dc->verify = true;
	}
	if (dc)
		drop_charges(dc, c, r);
}

static void scan(struct keeper *k, struct ctx *c)
{
	const struct doc *d = NULL;

	if (c->now_ns < k->next_scan_ns)
		return;
	k->next_scan_ns = c->now_ns + VERIFY_AGAIN_NS;
	while ((d = view_next(&c->view, DOC_ROSTER, d)))
		scan_roster(k, c, d->u.roster);
}

void keeper_work(struct keeper *k, struct ctx *c)
{
	struct keeper_dc *dc, *tmp;

	scan(k, c);
	forgive_pause(k, c);
	if (!keeper_active(k))
		return;
	if (k->contact_ns && !keeper_has_authority(k, c)) {
		forget(k, c);
		k->contact_ns = 0;
	}
	renew_contact(k, c);
	list_for_each_entry_safe(dc, tmp, &k->dcs, link) {
		struct charge *ch;

		if (keeper_has_authority(k, c))
			dc_work(dc, c);
		list_for_each_entry(ch, &dc->charges, link)
			push(c, ch);
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

	dc->calling = false;
	if (ev->status == STATUS_CONFLICT) {
		/* Others write too; after a data centre's loss many do. */
		dc->dirty = true;
		reread = true;
		dc->next_try_ns = c->now_ns + rng_below(&c->rng, RETRY_NS);
	}
	if (answered)
		dc->verify = reread || call->stretch != c->stretch;
	if (!answered) {
		/* It may have taken effect: read before the next write. */
		dc->verify = true;
		dc->dirty = true;
		dc->next_try_ns = c->now_ns + ctx_jitter(c, RETRY_NS);
	}
	if (view_apply_all(&c->view, &ev->docs) && call->kind == STORE_CAS &&
	    ev->status == STATUS_OK)
		k->released = true;
	if (answered && view_roster(&c->view, call->key.name))
		keeper_observe(k, c, view_roster(&c->view, call->key.name),
			       call->stretch);
}

void keeper_on_store(struct keeper *k, struct ctx *c, const struct call *call,
		     struct ev_store *ev)
{
	if (call->owner == CALL_CONTACT)
		on_contact(k, c, call, ev);
	else
		on_roster(k, c, call, ev);
}

static uint64_t charge_next_ns(const struct charge *ch, const struct ctx *c)
{
	switch (ch->state) {
	case CHARGE_OK:
		return ch->heard_ns + c->opts->timing.detect_ns + 1;
	case CHARGE_WAIT:
		return ch->wait_until_ns;
	case CHARGE_VERIFY:
	case CHARGE_TAKEN:
	case CHARGE_REVOKE:
	case CHARGE_LAPSED:
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
		const struct charge *ch;

		if (!dc->calling && (dc->dirty || dc->verify) &&
		    dc->next_try_ns < next)
			next = dc->next_try_ns;
		list_for_each_entry(ch, &dc->charges, link) {
			uint64_t t = charge_next_ns(ch, c);

			if (t < next)
				next = t;
		}
	}
	return next;
}
