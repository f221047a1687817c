#include "core/taker.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

#define LIST_AGAIN_NS	  (200 * NS_PER_MS)
#define SCAN_NS		  (250 * NS_PER_MS)
/* Contacts of nodes long gone that are removed after one list. */
#define REMOVALS_PER_LIST 8

enum taker_step { STEP_ROSTER = 1, STEP_REMOVE };

/* A list of the contacts: when it was asked for, what the store was then. */
struct proof {
	uint64_t sent_ns;
	revision_t revision;
};

void taker_init(struct taker *t)
{
	memset(t, 0, sizeof(*t));
	list_init(&t->contacts);
}

static void contact_delete(struct keeper_contact *kc)
{
	list_remove(&kc->link);
	free(kc);
}

void taker_done(struct taker *t)
{
	struct keeper_contact *kc, *tmp;

	list_for_each_entry_safe(kc, tmp, &t->contacts, link)
		contact_delete(kc);
}

static struct keeper_contact *contact_find(const struct taker *t,
					   incarnation_t inc)
{
	struct keeper_contact *kc;

	list_for_each_entry(kc, &t->contacts, link)
		if (kc->inc == inc)
			return kc;
	return NULL;
}

static uint64_t silence_ns(const struct ctx *c)
{
	const struct timing *t = &c->opts->timing;
	uint64_t wait = t->authority_ns + t->lease_ns;

	return wait + wait * 2 * t->drift_ppm / 1000000;
}

/*
 * True when the authority of @inc that rests on contacts before the proof
 * has lapsed, and the leases that it confirmed under it.
 */
static bool silent(const struct taker *t, const struct ctx *c,
		   incarnation_t inc, const struct proof *proof)
{
	const struct keeper_contact *kc = contact_find(t, inc);

	if (inc == c->self)
		return true;
	return proof && kc && proof->sent_ns >= kc->since_ns + silence_ns(c);
}

/*
 * The former keeper may not answer any more: it was still silent in a list
 * made after the entry had been taken from it, so it reads the entry before
 * it answers again.
 */
static bool ousted_done(const struct taker *t, const struct ctx *c,
			const struct member *m, revision_t revision,
			const struct proof *proof)
{
	if (!m->former_keeper)
		return true;
	return proof && revision <= proof->revision &&
	       silent(t, c, m->former_keeper, proof);
}

static bool may_take(const struct taker *t, const struct ctx *c,
		     const struct member *m, const struct proof *proof)
{
	const struct member *keeper;

	if (!m->keeper)
		return true;
	if (m->state != MEMBER_REVOKED)
		return silent(t, c, m->keeper, proof);
	/* Nobody answers a revoked node; it only needs somebody to wait. */
	keeper = view_member(&c->view, m->keeper, NULL);
	return !keeper || keeper->state == MEMBER_REVOKED;
}

static bool edit_entry(const struct taker *t, struct ctx *c, struct member *m,
		       revision_t revision, const struct proof *proof)
{
	bool clear = ousted_done(t, c, m, revision, proof);
	bool cleared = m->former_keeper && clear;

	if (cleared)
		m->former_keeper = 0;
	if (m->inc == c->self || m->keeper == c->self || !clear ||
	    !may_take(t, c, m, proof))
		return cleared;
	actions_log(c->out, LOG_WARN, "event=take inc=%016lx from=%016lx",
		    (unsigned long)m->inc, (unsigned long)m->keeper);
	if (m->state != MEMBER_REVOKED)
		m->former_keeper = m->keeper;
	m->keeper = c->self;
	m->term++;
	return true;
}

static void edit_roster(const struct taker *t, struct ctx *c,
			const struct doc *old, const struct proof *proof)
{
	struct doc *d = doc_copy(old);
	struct member *m;
	bool any = false;

	list_for_each_entry(m, &d->u.roster->members, link)
		any |= edit_entry(t, c, m, old->revision, proof);
	if (!any) {
		doc_delete(d);
		return;
	}
	ctx_call(c, &(struct call_opts){.owner = CALL_TAKER,
					.kind = STORE_CAS,
					.doc_kind = DOC_ROSTER,
					.name = old->key.name,
					.revision = old->revision,
					.step = STEP_ROSTER,
					.doc = d});
}

static void edit_rosters(const struct taker *t, struct ctx *c,
			 const struct proof *proof)
{
	const struct doc *d = NULL;

	while ((d = view_next(&c->view, DOC_ROSTER, d)))
		edit_roster(t, c, d, proof);
}

void taker_work(struct taker *t, struct ctx *c, bool holder)
{
	if (holder != t->holder) {
		taker_done(t);
		t->holder = holder;
		t->next_list_ns = c->now_ns;
	}
	if (!holder || ctx_calling(c, CALL_TAKER))
		return;
	if (c->now_ns >= t->next_list_ns) {
		t->next_list_ns =
			c->now_ns +
			ctx_jitter(c, timing_contact_ns(&c->opts->timing));
		ctx_call(c, &(struct call_opts){.owner = CALL_TAKER,
						.kind = STORE_LIST,
						.doc_kind = DOC_CONTACT});
		return;
	}
	if (c->now_ns < t->next_scan_ns)
		return;
	t->next_scan_ns = c->now_ns + SCAN_NS;
	edit_rosters(t, c, NULL);
}

uint64_t taker_next_ns(const struct taker *t)
{
	if (!t->holder)
		return DEADLINE_NEVER;
	return t->next_list_ns < t->next_scan_ns ? t->next_list_ns
						 : t->next_scan_ns;
}

/* The contact of a node that an entry names, absent until shown. */
static void name_contact(struct taker *t, const struct ctx *c,
			 incarnation_t inc)
{
	struct keeper_contact *kc = contact_find(t, inc);

	if (!inc || inc == c->self)
		return;
	if (!kc) {
		kc = mem_new(struct keeper_contact);
		kc->inc = inc;
		kc->since_ns = c->now_ns;
		list_push_back(&t->contacts, &kc->link);
	}
	kc->named = true;
}

static void name_contacts(struct taker *t, const struct ctx *c)
{
	struct keeper_contact *kc, *tmp;
	const struct doc *d = NULL;

	list_for_each_entry(kc, &t->contacts, link)
		kc->named = false;
	while ((d = view_next(&c->view, DOC_ROSTER, d))) {
		const struct member *m;

		list_for_each_entry(m, &d->u.roster->members, link) {
			name_contact(t, c, m->keeper);
			name_contact(t, c, m->former_keeper);
		}
	}
	list_for_each_entry_safe(kc, tmp, &t->contacts, link)
		if (!kc->named)
			contact_delete(kc);
}

static revision_t listed(const struct ev_store *ev, incarnation_t inc)
{
	const struct doc *d;

	list_for_each_entry(d, &ev->docs, link)
		if (d->u.contact.node == inc)
			return d->revision;
	return 0;
}

/* Removes contacts of nodes that are in no roster and keep nobody. */
static void remove_contacts(const struct taker *t, struct ctx *c,
			    const struct ev_store *ev)
{
	const struct doc *d;
	int left = REMOVALS_PER_LIST;

	list_for_each_entry(d, &ev->docs, link) {
		incarnation_t inc = d->u.contact.node;

		if (inc == c->self || contact_find(t, inc) ||
		    view_member(&c->view, inc, NULL))
			continue;
		if (!left--)
			return;
		ctx_call(c, &(struct call_opts){.owner = CALL_TAKER,
						.kind = STORE_CAS,
						.doc_kind = DOC_CONTACT,
						.name = d->key.name,
						.revision = d->revision,
						.step = STEP_REMOVE});
	}
}

static void on_list(struct taker *t, struct ctx *c, const struct call *call,
		    const struct ev_store *ev)
{
	struct proof proof = {.sent_ns = call->sent_ns,
			      .revision = ev->revision};
	struct keeper_contact *kc;

	name_contacts(t, c);
	list_for_each_entry(kc, &t->contacts, link) {
		revision_t revision = listed(ev, kc->inc);

		if (revision == kc->revision)
			continue;
		kc->revision = revision;
		kc->since_ns = c->now_ns;
	}
	edit_rosters(t, c, &proof);
	remove_contacts(t, c, ev);
}

/* What was taken needs another list; what failed, another try. */
static void on_roster(struct taker *t, struct ctx *c, struct ev_store *ev)
{
	view_apply_all(&c->view, &ev->docs);
	if (t->next_list_ns > c->now_ns + LIST_AGAIN_NS)
		t->next_list_ns = c->now_ns + LIST_AGAIN_NS;
}

void taker_on_store(struct taker *t, struct ctx *c, const struct call *call,
		    struct ev_store *ev)
{
	if (call->step == STEP_ROSTER)
		on_roster(t, c, ev);
	else if (call->kind == STORE_LIST && ev->status == STATUS_OK &&
		 t->holder)
		on_list(t, c, call, ev);
}
