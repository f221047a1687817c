#include "core/takeover.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

#define RELIST_NS	  (200 * NS_PER_MS)
#define SCAN_INTERVAL_NS  (250 * NS_PER_MS)
/* Contacts of former nodes that are removed after one list, at most. */
#define REMOVALS_PER_LIST 8

enum takeover_step { STEP_WRITE_ROSTER = 1, STEP_REMOVE_CONTACT };

/* A list of all contacts: when it was sent, and the revision it shows. */
struct contact_listing {
	uint64_t sent_ns;
	revision_t revision;
};

void takeover_init(struct takeover *t)
{
	memset(t, 0, sizeof(*t));
	list_init(&t->contacts);
}

static void contact_delete(struct keeper_contact *kc)
{
	list_remove(&kc->link);
	free(kc);
}

void takeover_done(struct takeover *t)
{
	struct keeper_contact *kc, *tmp;

	list_for_each_entry_safe(kc, tmp, &t->contacts, link)
		contact_delete(kc);
}

static struct keeper_contact *contact_find(const struct takeover *t,
					   incarnation_t inc)
{
	struct keeper_contact *kc;

	list_for_each_entry(kc, &t->contacts, link)
		if (kc->inc == inc)
			return kc;
	return NULL;
}

/*
 * Time until a keeper's authority, and a lease confirmed at its very end, have
 * lapsed, with an allowance for the drift of clocks.
 */
static uint64_t authority_lapse_ns(const struct ctx *c)
{
	const struct timing *t = &c->opts->timing;
	uint64_t wait = t->authority_ns + t->lease_ns;

	return wait + wait * 2 * t->drift_ppm / 1000000;
}

/*
 * True when, at @listing, the contact of @inc had not changed for so long that
 * its authority as a keeper and the leases confirmed under it have lapsed.
 * NULL for no listing: true for the own incarnation only.
 */
static bool authority_lapsed(const struct takeover *t, const struct ctx *c,
			     incarnation_t inc,
			     const struct contact_listing *listing)
{
	const struct keeper_contact *kc = contact_find(t, inc);

	if (inc == c->self)
		return true;
	return listing && kc &&
	       listing->sent_ns >=
		       kc->unchanged_since_ns + authority_lapse_ns(c);
}

/*
 * True when the former keeper can't confirm the entry's lease any more: a list
 * made after the takeover shows its authority lapsed, so that it must read the
 * entry before it answers again.
 */
static bool former_keeper_lapsed(const struct takeover *t, const struct ctx *c,
				 const struct member *m, revision_t revision,
				 const struct contact_listing *listing)
{
	if (!m->former_keeper)
		return true;
	return listing && revision <= listing->revision &&
	       authority_lapsed(t, c, m->former_keeper, listing);
}

static bool may_take_over(const struct takeover *t, const struct ctx *c,
			  const struct member *m,
			  const struct contact_listing *listing)
{
	const struct member *keeper;

	if (!m->keeper)
		return true;
	if (m->state != MEMBER_REVOKED)
		return authority_lapsed(t, c, m->keeper, listing);
	/* A revoked node gets no answers: its keeper waits and removes it. */
	keeper = view_member(&c->view, m->keeper, NULL);
	return !keeper || keeper->state == MEMBER_REVOKED;
}

static bool edit_entry(const struct takeover *t, struct ctx *c,
		       struct member *m, revision_t revision,
		       const struct contact_listing *listing)
{
	bool clear = former_keeper_lapsed(t, c, m, revision, listing);
	bool cleared = m->former_keeper && clear;

	if (cleared)
		m->former_keeper = 0;
	if (m->inc == c->self || m->keeper == c->self || !clear ||
	    !may_take_over(t, c, m, listing))
		return cleared;
	actions_log(c->out, LOG_WARN, "event=take inc=%016lx from=%016lx",
		    (unsigned long)m->inc, (unsigned long)m->keeper);
	if (m->state != MEMBER_REVOKED)
		m->former_keeper = m->keeper;
	m->keeper = c->self;
	m->term++;
	return true;
}

static void edit_roster(const struct takeover *t, struct ctx *c,
			const struct doc *old,
			const struct contact_listing *listing)
{
	struct doc *d = doc_copy(old);
	struct member *m;
	bool any = false;

	list_for_each_entry(m, &d->u.roster->members, link)
		any |= edit_entry(t, c, m, old->revision, listing);
	if (!any) {
		doc_delete(d);
		return;
	}
	ctx_call(c, &(struct call_opts){.owner = CALL_TAKEOVER,
					.kind = STORE_CAS,
					.doc_kind = DOC_ROSTER,
					.name = old->key.name,
					.revision = old->revision,
					.step = STEP_WRITE_ROSTER,
					.doc = d});
}

static void edit_rosters(const struct takeover *t, struct ctx *c,
			 const struct contact_listing *listing)
{
	const struct doc *d = NULL;

	while ((d = view_next(&c->view, DOC_ROSTER, d)))
		edit_roster(t, c, d, listing);
}

void takeover_work(struct takeover *t, struct ctx *c, bool is_planner)
{
	if (is_planner != t->is_planner) {
		takeover_done(t);
		t->is_planner = is_planner;
		t->next_list_ns = c->now_ns;
	}
	if (!is_planner || ctx_call_pending(c, CALL_TAKEOVER))
		return;
	if (c->now_ns >= t->next_list_ns) {
		t->next_list_ns =
			c->now_ns +
			ctx_jitter(c, timing_contact_ns(&c->opts->timing));
		ctx_call(c, &(struct call_opts){.owner = CALL_TAKEOVER,
						.kind = STORE_LIST,
						.doc_kind = DOC_CONTACT});
		return;
	}
	if (c->now_ns < t->next_scan_ns)
		return;
	t->next_scan_ns = c->now_ns + SCAN_INTERVAL_NS;
	edit_rosters(t, c, NULL);
}

uint64_t takeover_next_ns(const struct takeover *t)
{
	if (!t->is_planner)
		return DEADLINE_NEVER;
	return t->next_list_ns < t->next_scan_ns ? t->next_list_ns
						 : t->next_scan_ns;
}

/* Keeps a contact record for @inc, which an entry names. */
static void reference_contact(struct takeover *t, const struct ctx *c,
			      incarnation_t inc)
{
	struct keeper_contact *kc = contact_find(t, inc);

	if (!inc || inc == c->self)
		return;
	if (!kc) {
		kc = mem_new(struct keeper_contact);
		kc->inc = inc;
		kc->unchanged_since_ns = c->now_ns;
		list_push_back(&t->contacts, &kc->link);
	}
	kc->referenced = true;
}

static void update_references(struct takeover *t, const struct ctx *c)
{
	struct keeper_contact *kc, *tmp;
	const struct doc *d = NULL;

	list_for_each_entry(kc, &t->contacts, link)
		kc->referenced = false;
	while ((d = view_next(&c->view, DOC_ROSTER, d))) {
		const struct member *m;

		list_for_each_entry(m, &d->u.roster->members, link) {
			reference_contact(t, c, m->keeper);
			reference_contact(t, c, m->former_keeper);
		}
	}
	list_for_each_entry_safe(kc, tmp, &t->contacts, link)
		if (!kc->referenced)
			contact_delete(kc);
}

static revision_t listed_revision(const struct ev_store *ev, incarnation_t inc)
{
	const struct doc *d;

	list_for_each_entry(d, &ev->docs, link)
		if (d->u.contact.node == inc)
			return d->revision;
	return 0;
}

/* Removes contacts of nodes that no roster lists or names as a keeper. */
static void remove_contacts(const struct takeover *t, struct ctx *c,
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
		ctx_call(c, &(struct call_opts){.owner = CALL_TAKEOVER,
						.kind = STORE_CAS,
						.doc_kind = DOC_CONTACT,
						.name = d->key.name,
						.revision = d->revision,
						.step = STEP_REMOVE_CONTACT});
	}
}

static void on_list(struct takeover *t, struct ctx *c, const struct call *call,
		    const struct ev_store *ev)
{
	struct contact_listing listing = {.sent_ns = call->sent_ns,
					  .revision = ev->revision};
	struct keeper_contact *kc;

	update_references(t, c);
	list_for_each_entry(kc, &t->contacts, link) {
		revision_t revision = listed_revision(ev, kc->inc);

		if (revision == kc->revision)
			continue;
		kc->revision = revision;
		kc->unchanged_since_ns = c->now_ns;
	}
	edit_rosters(t, c, &listing);
	remove_contacts(t, c, ev);
}

/*
 * Lists the contacts again soon: an entry that was taken over needs a list made
 * later, and a failed write must be repeated.
 */
static void on_roster_written(struct takeover *t, struct ctx *c,
			      struct ev_store *ev)
{
	view_apply_all(&c->view, &ev->docs);
	if (t->next_list_ns > c->now_ns + RELIST_NS)
		t->next_list_ns = c->now_ns + RELIST_NS;
}

void takeover_on_store(struct takeover *t, struct ctx *c,
		       const struct call *call, struct ev_store *ev)
{
	if (call->step == STEP_WRITE_ROSTER)
		on_roster_written(t, c, ev);
	else if (call->kind == STORE_LIST && ev->status == STATUS_OK &&
		 t->is_planner)
		on_list(t, c, call, ev);
}
