#include "core/session.h"

#include <string.h>

#include "core/keymap_delta.h"
#include "core/mem.h"
#include "core/relay.h"

/* A watch returns after this time even if nothing changed. */
#define WATCH_WAIT_NS		(10 * NS_PER_S)
/* Shorter if other nodes rely on the watch, to detect a silent one sooner. */
#define WATCHER_WAIT_NS		(2 * NS_PER_S)
/* For a watch that only reads the changes so far. */
#define WATCH_POLL_NS		NS_PER_MS
/*
 * An answer that takes longer is late. A read or a write is then made again if
 * a call that was sent later has been answered, a renewal in any case.
 */
#define ANSWER_USUAL_NS		(900 * NS_PER_MS)
#define READ_USUAL_NS		(1800 * NS_PER_MS)
/* Answers may come in another order than their calls. */
#define OUTRUN_GRACE_NS		(500 * NS_PER_MS)
/*
 * Changes come in bursts, for example when many nodes start, and each watch
 * that ends is a call. A pause before the next watch, longer in a large fleet,
 * collects several changes in one.
 */
#define WATCH_PAUSE_PER_NODE_NS (4 * NS_PER_MS)
#define WATCH_PAUSE_MAX_NS	(300 * NS_PER_MS)
#define CALL_RETRY_NS		(250 * NS_PER_MS)
/* The delay between requests for a lease grows up to this. */
#define LEASE_RETRY_MAX_NS	(1000 * NS_PER_MS)
#define READ_INTERVAL_NS	(500 * NS_PER_MS)
/*
 * If this many watches in a row get no answer, all records are read instead:
 * the changes may be more than one answer can carry.
 */
#define UNANSWERED_WATCHES_MAX	2
/* If other nodes know a newer revision for this long, the watch may be lost. */
#define BEHIND_MAX_NS		(400 * NS_PER_MS)
/* Nodes stop relying on a watcher this long after the store's last answer. */
#define STORE_HEALTHY_NS	(1800 * NS_PER_MS)
/* How long a delta is awaited from a watcher, and an answer from a node. */
#define MANIFEST_DELTA_NS	(150 * NS_PER_MS)
#define MANIFEST_ANSWER_NS	(600 * NS_PER_MS)
/* After this many requests without an answer the store is asked. */
#define MANIFEST_ASKS_MAX	3
/* How long a newer manifest is known before the delay is logged. */
#define MANIFEST_LATE_NS	NS_PER_S
#define LATE_LOG_INTERVAL_NS	NS_PER_S
/* How often a node without a watch checks whether it has to watch. */
#define WATCHER_CHECK_NS	(200 * NS_PER_MS)
/* Renewals within one lease time. */
#define RENEWALS_PER_LEASE	6
/* Clocks of two nodes may differ by this part of a lease's time. */
#define LEASE_DRIFT_DIVISOR	50
#define ERA_SETTLE_MARGIN_NS	(100 * NS_PER_MS)
/*
 * When the store comes back from an older copy, all nodes of a fleet read and
 * register at once: each starts at random within this time for each node.
 */
#define RESTORED_PER_NODE_NS	(5 * NS_PER_MS)
#define RESTORED_SPREAD_MAX_NS	(2 * NS_PER_S)

void session_init(struct session *s, const struct mesh_opts *o)
{
	memset(s, 0, sizeof(*s));
	s->want_read_all = true;
	mem_copy_str(s->card.node, o->node, sizeof(s->card.node));
	mem_copy_str(s->card.peer_addr, o->peer_addr,
		     sizeof(s->card.peer_addr));
	mem_copy_str(s->card.dc, o->dc, sizeof(s->card.dc));
	mem_copy_str(s->card.region, o->region, sizeof(s->card.region));
	mem_copy_str(s->card.service, o->service, sizeof(s->card.service));
	s->card.boot = o->boot;
}

static struct act_store_call *start_call(struct session *s, struct mesh_ctx *c,
					 struct session_call *call,
					 enum store_call_kind kind)
{
	struct act_store_call *a = mesh_store_call(c, kind);

	call->op = a->op;
	call->sent_ns = c->now_ns;
	call->overdue_ns = c->now_ns + ANSWER_USUAL_NS;
	call->lost_ns = 0;
	a->deadline_ns = c->now_ns + STORE_LATE_NS;
	s->calls[kind]++;
	return a;
}

/* Lets @call be made again; its answer still counts. */
static void set_aside(struct session *s, const struct mesh_ctx *c,
		      struct session_call *call, enum store_call_kind kind)
{
	s->late[s->next_late++ % SESSION_LATE_MAX] = (struct late_call){
		.op = call->op,
		.sent_ns = call->sent_ns,
		.kind = kind,
		.lease = s->lease,
		.read_after_register = s->read_after_register,
	};
	call->op = 0;
	call->next_ns = c->now_ns;
}

static void forget_lease(struct session *s, struct mesh_ctx *c)
{
	s->lease = 0;
	s->lease_deadline_ns = 0;
	s->registered = false;
	s->fresh = false;
	s->lease_new.next_ns = c->now_ns;
	/* Reads in progress began before the next registration. */
	s->read_after_register = false;
	for (int i = 0; i < SESSION_LATE_MAX; i++)
		s->late[i].read_after_register = false;
}

static void lose_lease(struct session *s, struct mesh_ctx *c, const char *why)
{
	if (s->registered)
		mesh_log(c->out, LOG_WARN, "event=lease_lost lease=%lu why=%s",
			 (unsigned long)s->lease, why);
	forget_lease(s, c);
}

/* Notes that a manifest from before @at_ns would be known. */
static void note_checked(struct mesh_ctx *c, uint64_t at_ns)
{
	if (at_ns > c->manifest_checked_ns)
		c->manifest_checked_ns = at_ns;
}

/* @per_node_ns for each node known, @max_ns at most. */
static uint64_t fleet_scaled_ns(const struct mesh_ctx *c, uint64_t per_node_ns,
				uint64_t max_ns)
{
	const struct dir_node *n;
	uint64_t sum_ns = 0;

	list_for_each_entry(n, &c->dir.nodes, link)
		sum_ns += per_node_ns;
	return sum_ns < max_ns ? sum_ns : max_ns;
}

static uint64_t restored_delay_ns(struct mesh_ctx *c)
{
	uint64_t spread_ns = fleet_scaled_ns(c, RESTORED_PER_NODE_NS,
					     RESTORED_SPREAD_MAX_NS);

	return spread_ns ? rng_next(&c->rng) % spread_ns : 0;
}

/*
 * Calls in progress are ignored, but for a read: what it shows is of this era,
 * or it counts as not answered.
 */
static void restart_in_era(struct session *s, struct mesh_ctx *c)
{
	uint64_t start_ns = c->now_ns + restored_delay_ns(c);

	s->want_read_all = true;
	s->want_changes = false;
	s->card_revision = 0;
	s->watch.op = 0;
	s->put.op = 0;
	s->watch.next_ns = start_ns;
	s->put.next_ns = start_ns;
	s->read.next_ns = start_ns;
	s->behind_since_ns = 0;
	memset(s->late, 0, sizeof(s->late));
	if (!s->lease)
		return;
	lose_lease(s, c, "store_restored");
	s->keep.op = 0;
	s->lease_new.next_ns = start_ns;
}

bool session_note_era(struct session *s, struct mesh_ctx *c,
		      struct ev_store_end *e)
{
	struct directory *d = &c->dir;
	uint64_t before = d->era;
	bool first = !before && !d->loaded && !s->lease;
	uint64_t lease_ns = s->lease_ttl_ns > c->opts->lease_ns
				    ? s->lease_ttl_ns
				    : c->opts->lease_ns;
	uint64_t settled_ns = c->now_ns + lease_ns +
			      lease_ns / LEASE_DRIFT_DIVISOR +
			      ERA_SETTLE_MARGIN_NS;
	bool risen;

	/* Nothing was granted before that the store could have forgotten. */
	if (first && c->opts->bootstrap)
		settled_ns = c->now_ns;
	risen = directory_note_era(d, e->era, settled_ns) && !first;
	if (risen) {
		mesh_log(c->out, LOG_WARN,
			 "event=store_restored era=%lu before=%lu "
			 "revision=" REVISION_FMT,
			 (unsigned long)e->era, (unsigned long)before,
			 REVISION_ARGS(d->revision));
		restart_in_era(s, c);
	}
	if (e->era != d->era && store_answered(e->end)) {
		e->end = STORE_NO_ANSWER;
		records_delete(&e->records);
	}
	return risen;
}

static void apply_read(struct session *s, struct mesh_ctx *c,
		       struct ev_store_end *e, const struct late_call *read)
{
	if (read->kind != CALL_READ_OWN)
		note_checked(c, read->sent_ns);
	switch (read->kind) {
	case CALL_READ_ALL:
		directory_apply(&c->dir, &e->records, true, e->revision,
				c->now_ns, c->out);
		s->want_read_all = false;
		break;
	case CALL_READ_OWN:
		directory_apply_partial(&c->dir, &e->records, e->revision,
					c->now_ns, c->out);
		break;
	default:
		/* A read of the manifest shows nothing of other records. */
		directory_apply(&c->dir, &e->records, false, 0, c->now_ns,
				c->out);
		return;
	}
	if (read->read_after_register && s->registered)
		s->fresh = true;
	s->want_read_own = s->registered && !s->fresh;
}

static void on_read(struct session *s, struct mesh_ctx *c,
		    struct ev_store_end *e, const struct late_call *read)
{
	bool first = !c->dir.loaded;

	c->dir.source = SOURCE_READ;
	if (e->end != STORE_DONE) {
		if (!read->op) /* else another one has been sent */
			s->read.next_ns = c->now_ns + CALL_RETRY_NS;
		return;
	}
	s->read.next_ns = c->now_ns + READ_INTERVAL_NS;
	apply_read(s, c, e, read);
	if (first && c->dir.loaded)
		mesh_log(c->out, LOG_INFO,
			 "event=store_read revision=" REVISION_FMT,
			 REVISION_ARGS(e->revision));
}

static uint64_t watch_pause_ns(const struct session *s,
			       const struct mesh_ctx *c)
{
	/* The size of the fleet is not known yet. */
	if (c->now_ns < s->cards_settled_ns)
		return WATCH_PAUSE_MAX_NS;
	return fleet_scaled_ns(c, WATCH_PAUSE_PER_NODE_NS, WATCH_PAUSE_MAX_NS);
}

/* @checked_ns: a manifest from before that time has shown. */
static void apply_watch(struct session *s, struct mesh_ctx *c,
			struct ev_store_end *e, uint64_t checked_ns)
{
	relay_forward_changes(c, c->dir.revision, e);
	c->dir.source = SOURCE_WATCH;
	directory_apply(&c->dir, &e->records, false, e->revision, c->now_ns,
			c->out);
	s->unanswered_watches = 0;
	s->want_changes = false;
	note_checked(c, checked_ns);
}

static void on_watch(struct session *s, struct mesh_ctx *c,
		     struct ev_store_end *e)
{
	if (e->end == STORE_NO_ANSWER)
		s->unanswered_watches++;
	else
		s->unanswered_watches = 0;
	switch (e->end) {
	case STORE_DONE:
		apply_watch(s, c, e,
			    s->watch_polls ? s->watch.sent_ns : c->now_ns);
		s->watch.next_ns = c->now_ns + watch_pause_ns(s, c);
		break;
	case STORE_NO_HISTORY:
		mesh_log(c->out, LOG_INFO,
			 "event=watch_restarted why=no_history "
			 "revision=" REVISION_FMT,
			 REVISION_ARGS(c->dir.revision));
		s->want_read_all = true;
		s->watch.next_ns = c->now_ns;
		break;
	default:
		/* Perhaps only the connection was lost: continue from here. */
		s->watch.next_ns = c->now_ns + CALL_RETRY_NS;
		if (s->unanswered_watches >= UNANSWERED_WATCHES_MAX)
			s->want_read_all = true;
		break;
	}
}

static void take_lease(struct session *s, const struct mesh_ctx *c,
		       const struct ev_store_end *e, uint64_t sent_ns)
{
	s->lease_retry_delay_ns = 0;
	s->lease = e->lease;
	s->lease_era = c->dir.era;
	s->lease_ttl_ns = e->ttl_ns;
	s->lease_deadline_ns = sent_ns + e->ttl_ns;
	s->keep.next_ns = c->now_ns + e->ttl_ns / RENEWALS_PER_LEASE;
	s->card_dirty = true;
}

static void on_lease_new(struct session *s, struct mesh_ctx *c,
			 const struct ev_store_end *e)
{
	if (e->end != STORE_DONE) {
		s->lease_retry_delay_ns =
			2 * s->lease_retry_delay_ns + CALL_RETRY_NS;
		if (s->lease_retry_delay_ns > LEASE_RETRY_MAX_NS)
			s->lease_retry_delay_ns = LEASE_RETRY_MAX_NS;
		s->lease_new.next_ns = c->now_ns + s->lease_retry_delay_ns;
		return;
	}
	if (!s->lease)
		take_lease(s, c, e, s->lease_new.sent_ns);
}

static void extend_lease(struct session *s, uint64_t sent_ns)
{
	uint64_t until = sent_ns + s->lease_ttl_ns;

	if (until > s->lease_deadline_ns)
		s->lease_deadline_ns = until;
}

/* Asks a random live node to renew the lease: the store may answer that one. */
static void request_peer_renewal(struct session *s, struct mesh_ctx *c)
{
	const struct dir_node *n;
	const struct dir_node *best = NULL;
	uint64_t rank = 0;
	struct message *m;

	list_for_each_entry(n, &c->dir.nodes, link) {
		uint64_t r = rng_next(&c->rng);

		if (!strcmp(n->name, c->opts->node) || n->leaving ||
		    !directory_node_alive(&c->dir, n, c->now_ns))
			continue;
		if (!best || r > rank) {
			best = n;
			rank = r;
		}
	}
	if (!best || !s->lease)
		return;
	m = message_new(MSG_RENEW);
	m->u.renew.lease = s->lease;
	m->u.renew.sent_ns = c->now_ns;
	m->u.renew.era = s->lease_era;
	mem_copy_str(m->u.renew.reply_to, c->opts->peer_addr,
		     sizeof(m->u.renew.reply_to));
	mesh_send(c, best->boot, best->card.peer_addr, m);
}

static void on_lease_kept(struct session *s, struct mesh_ctx *c,
			  const struct ev_store_end *e)
{
	switch (e->end) {
	case STORE_DONE:
		extend_lease(s, s->keep.sent_ns);
		s->keep.next_ns =
			c->now_ns + s->lease_ttl_ns / RENEWALS_PER_LEASE;
		break;
	case STORE_NO_LEASE:
		lose_lease(s, c, "ended");
		break;
	default:
		s->keep.next_ns = c->now_ns + CALL_RETRY_NS;
		request_peer_renewal(s, c);
		break;
	}
}

void session_on_renewed(struct session *s, struct mesh_ctx *c,
			const struct msg_renewed *m)
{
	/* Lease ids are given out again in another era. */
	if (!s->lease || m->lease != s->lease || m->era != s->lease_era)
		return;
	if (m->ended) {
		lose_lease(s, c, "ended");
		return;
	}
	extend_lease(s, m->sent_ns);
}

static void on_card_written(struct session *s, struct mesh_ctx *c,
			    const struct ev_store_end *e)
{
	switch (e->end) {
	case STORE_DONE:
		s->card_revision = e->revision;
		if (!s->registered) {
			s->registered = true;
			s->want_read_own = true;
			s->read.next_ns = c->now_ns;
			mesh_log(c->out, LOG_INFO,
				 "event=registered lease=%lu "
				 "revision=" REVISION_FMT,
				 (unsigned long)s->lease,
				 REVISION_ARGS(e->revision));
		}
		break;
	case STORE_NO_LEASE:
		lose_lease(s, c, "ended");
		break;
	default:
		/* The next write needs the revision of the stored card. */
		s->card_dirty = true;
		s->card_revision = 0;
		s->want_read_own = true;
		s->read.next_ns = c->now_ns;
		break;
	}
}

/* True if the store has answered a call that was not sent before @call. */
static bool is_outrun(const struct mesh_ctx *c, const struct session_call *call)
{
	return call->op && c->answered_sent_ns >= call->sent_ns;
}

void session_note_call_end(struct session *s, struct mesh_ctx *c,
			   enum store_end end)
{
	bool failed = !store_answered(end);

	if (!failed) {
		c->store_answered_ns = c->now_ns;
		/* A watch from before the outage may never be answered. */
		if (c->store_down && s->watch.op)
			set_aside(s, c, &s->watch, CALL_WATCH_ALL);
		if (c->store_down && is_outrun(c, &s->read))
			set_aside(s, c, &s->read, s->read_kind);
	}
	c->store_down = failed;
	if (!failed)
		return;
	if (c->now_ns > s->last_failure_ns + NS_PER_S)
		mesh_log(c->out, LOG_WARN, "event=store_trouble end=%s",
			 end == STORE_NO_ANSWER ? "no_answer" : "refused");
	s->last_failure_ns = c->now_ns;
	s->failures++;
	if (s->keep.next_ns > c->now_ns + CALL_RETRY_NS)
		s->keep.next_ns = c->now_ns + CALL_RETRY_NS;
}

void session_note_lost_call(struct session *s, struct mesh_ctx *c)
{
	s->last_failure_ns = c->now_ns;
	s->failures++;
}

/* Takes the answer to a call that was made again meanwhile. */
static void take_late_answer(struct session *s, struct mesh_ctx *c,
			     struct ev_store_end *e,
			     const struct late_call *late)
{
	switch (late->kind) {
	case CALL_READ_ALL:
	case CALL_READ_OWN:
	case CALL_READ_MANIFEST:
		on_read(s, c, e, late);
		break;
	case CALL_WATCH_ALL:
		if (e->end == STORE_DONE)
			apply_watch(s, c, e, late->sent_ns);
		break;
	case CALL_LEASE_KEEP:
		if (!s->lease || late->lease != s->lease)
			break;
		if (e->end == STORE_DONE)
			extend_lease(s, late->sent_ns);
		else if (e->end == STORE_NO_LEASE)
			lose_lease(s, c, "ended");
		break;
	case CALL_LEASE_NEW:
		/* A second lease is left to end by itself. */
		if (!s->lease && e->end == STORE_DONE)
			take_lease(s, c, e, late->sent_ns);
		break;
	case CALL_WRITE:
	case CALL_LEASE_END:
		break;
	}
}

static bool on_late_end(struct session *s, struct mesh_ctx *c,
			struct ev_store_end *e)
{
	for (int i = 0; i < SESSION_LATE_MAX; i++) {
		struct late_call late = s->late[i];

		if (!late.op || late.op != e->op)
			continue;
		s->late[i].op = 0;
		take_late_answer(s, c, e, &late);
		return true;
	}
	return false;
}

bool session_on_end(struct session *s, struct mesh_ctx *c,
		    struct ev_store_end *e)
{
	struct session_call *call = NULL;

	if (e->op == s->read.op)
		call = &s->read;
	else if (e->op == s->watch.op)
		call = &s->watch;
	else if (e->op == s->lease_new.op)
		call = &s->lease_new;
	else if (e->op == s->keep.op)
		call = &s->keep;
	else if (e->op == s->put.op)
		call = &s->put;
	if (!call)
		return on_late_end(s, c, e);
	call->op = 0;
	if (call == &s->read)
		on_read(s, c, e,
			&(struct late_call){.kind = s->read_kind,
					    .sent_ns = call->sent_ns,
					    .read_after_register =
						    s->read_after_register});
	else if (call == &s->watch)
		on_watch(s, c, e);
	else if (call == &s->lease_new)
		on_lease_new(s, c, e);
	else if (call == &s->keep)
		on_lease_kept(s, c, e);
	else
		on_card_written(s, c, e);
	return true;
}

void session_on_revision(struct session *s, struct mesh_ctx *c,
			 revision_t revision)
{
	revision = directory_order(&c->dir, revision);
	if (revision > c->dir.peer_revision)
		c->dir.peer_revision = revision;
	if (c->dir.peer_revision <= c->dir.revision) {
		s->behind_since_ns = 0;
		return;
	}
	if (!s->behind_since_ns)
		s->behind_since_ns = c->now_ns;
	if (c->now_ns < s->behind_since_ns + BEHIND_MAX_NS)
		return;
	s->behind_since_ns = 0;
	/* A watch in progress may be lost. */
	if (s->watch.op)
		s->want_read_all = true;
	else
		s->want_changes = true;
}

/* Applies the manifest of @r if its delta fits; else notes that it is newer. */
static void on_manifest_change(struct mesh_ctx *c, const struct record *r)
{
	struct directory *d = &c->dir;
	revision_t revision = directory_order(d, r->revision);
	struct list records;
	struct record *full;

	if (r->delta)
		directory_note_version(d, r->delta->version, c->now_ns);
	if (r->removed || revision <= d->manifest_revision)
		return;
	directory_note_manifest(d, revision, c->now_ns);
	if (!r->delta || (r->delta->base &&
			  (!d->manifest || directory_order(d, r->delta->base) !=
						   d->manifest_revision)))
		return;
	full = record_new(RECORD_MANIFEST, r->name);
	full->revision = revision;
	full->u.manifest = manifest_delta_apply(r->delta, d->manifest);
	if (!full->u.manifest) {
		mesh_log(c->out, LOG_WARN,
			 "event=manifest_delta_ignored why=digest "
			 "base=" REVISION_FMT " revision=" REVISION_FMT,
			 REVISION_ARGS(r->delta->base),
			 REVISION_ARGS(r->revision));
		record_delete(full);
		return;
	}
	list_init(&records);
	list_push_back(&records, &full->link);
	d->source = SOURCE_PEER;
	directory_apply(d, &records, false, 0, c->now_ns, c->out);
	records_delete(&records);
}

/* Takes the manifests out of @records, also of changes behind a gap. */
static void extract_manifests(struct mesh_ctx *c, struct list *records)
{
	struct record *r, *tmp;

	list_for_each_entry_safe(r, tmp, records, link) {
		if (r->kind != RECORD_MANIFEST)
			continue;
		on_manifest_change(c, r);
		list_remove(&r->link);
		record_delete(r);
	}
}

/*
 * Completes the keymaps of which @records has deltas, and drops those that are
 * known already. False if one is a delta to a keymap that this node lacks.
 */
static bool complete_keymaps(struct mesh_ctx *c, struct list *records)
{
	struct record *r, *tmp;

	list_for_each_entry_safe(r, tmp, records, link) {
		const struct dir_keymap *k;
		struct keymap *whole;

		if (r->kind != RECORD_KEYMAP || !r->keymap_base)
			continue;
		k = directory_keymap(&c->dir, r->name);
		if (k && k->revision >= r->revision) {
			list_remove(&r->link);
			record_delete(r);
			continue;
		}
		if (!k ||
		    k->revision < directory_order(&c->dir, r->keymap_base))
			return false;
		whole = keymap_delta_apply(k->map, r->u.keymap,
					   r->keymap_digest);
		if (!whole)
			return false;
		keymap_delete(r->u.keymap);
		r->u.keymap = whole;
		r->keymap_base = 0;
	}
	return true;
}

void session_on_changes(struct session *s, struct mesh_ctx *c,
			struct msg_changes *m)
{
	revision_t from = directory_order(&c->dir, m->from);
	revision_t to = directory_order(&c->dir, m->to);
	struct record *r;

	if (!c->dir.loaded)
		return;
	c->dir.source = SOURCE_PEER;
	extract_manifests(c, &m->records);
	if (revision_era(to) > c->dir.era)
		s->want_read_all = true;
	/*
	 * If changes before @from are missing, a later load report shows
	 * that this node is behind, and it then reads from the store. Of
	 * another era's changes nothing before them is known here.
	 */
	if (to <= c->dir.revision || from > c->dir.revision ||
	    revision_era(to) != revision_era(c->dir.revision))
		return;
	list_for_each_entry(r, &m->records, link)
		r->revision = directory_order(&c->dir, r->revision);
	if (!complete_keymaps(c, &m->records)) {
		s->want_changes = true;
		return;
	}
	directory_apply(&c->dir, &m->records, false, to, c->now_ns, c->out);
}

bool session_watches(const struct session *s, const struct mesh_ctx *c)
{
	return s->registered && c->dir.loaded && !c->store_down &&
	       c->now_ns < c->store_answered_ns + STORE_HEALTHY_NS &&
	       relay_is_watcher(c);
}

void session_set_card(struct session *s, const struct node_card *card)
{
	if (holder_equal(&s->card.upstream, &card->upstream) &&
	    s->card.draining == card->draining && s->card.slots == card->slots)
		return;
	s->card.upstream = card->upstream;
	s->card.draining = card->draining;
	s->card.slots = card->slots;
	s->card_dirty = true;
}

static bool due(const struct session_call *call, uint64_t now_ns)
{
	return !call->op && now_ns >= call->next_ns;
}

static void put_card(struct session *s, struct mesh_ctx *c)
{
	const struct dir_node *own = directory_node(&c->dir, c->opts->node);
	revision_t known = own ? own->revision : 0;
	struct act_store_call *a = start_call(s, c, &s->put, CALL_WRITE);
	struct record *r = record_new(RECORD_CARD, c->opts->node);

	if (s->card_revision > known)
		known = s->card_revision;
	r->u.card = s->card;
	list_push_back(&a->puts, &r->link);
	a->lease = s->lease;
	mesh_expect_revision(a, RECORD_CARD, c->opts->node, known);
	s->card_dirty = false;
}

/* True while a delta or another node's manifest may still come. */
static bool awaits_manifest(const struct session *s, const struct mesh_ctx *c)
{
	return c->now_ns < s->manifest_wait_until_ns;
}

/*
 * Asks other nodes for a manifest that they have and this one lacks: the
 * answer is smaller than the document in the store, whose link all nodes share.
 */
static void ask_manifest(struct session *s, struct mesh_ctx *c)
{
	const struct dir_node *n;

	if (!directory_wants_manifest(&c->dir)) {
		s->manifest_asks = 0;
		return;
	}
	if (!c->dir.loaded || awaits_manifest(s, c) ||
	    (s->manifest_asks >= MANIFEST_ASKS_MAX && !c->store_down))
		return;
	n = relay_manifest_source(c);
	if (!n)
		return;
	/* The first time, a delta may be under way already. */
	if (!s->manifest_asks++) {
		s->manifest_wait_until_ns = c->now_ns + MANIFEST_DELTA_NS;
		return;
	}
	s->manifest_wait_until_ns = c->now_ns + MANIFEST_ANSWER_NS;
	relay_ask_manifest(c, n);
}

static bool wants_any_read(const struct session *s, const struct mesh_ctx *c)
{
	return s->want_read_all || s->want_read_own ||
	       (directory_wants_manifest(&c->dir) && !awaits_manifest(s, c));
}

/* Reads no more than needed: a large fleet has many records. */
static void start_read(struct session *s, struct mesh_ctx *c)
{
	if (s->want_read_all)
		s->read_kind = CALL_READ_ALL;
	else
		s->read_kind =
			s->want_read_own ? CALL_READ_OWN : CALL_READ_MANIFEST;
	s->read_after_register = s->registered;
	start_call(s, c, &s->read, s->read_kind);
	s->read.overdue_ns = c->now_ns + READ_USUAL_NS;
}

static void start_watch(struct session *s, struct mesh_ctx *c)
{
	bool is_watcher = relay_is_watcher(c);
	struct act_store_call *a;

	if (!is_watcher && !s->want_changes) {
		s->watch.next_ns = c->now_ns + WATCHER_CHECK_NS;
		return;
	}
	a = start_call(s, c, &s->watch, CALL_WATCH_ALL);
	s->watch_polls = !is_watcher;
	a->after = c->dir.revision;
	a->wait_ns = !is_watcher	  ? WATCH_POLL_NS
		     : relay_all_watch(c) ? WATCH_WAIT_NS
					  : WATCHER_WAIT_NS;
	a->deadline_ns = c->now_ns + a->wait_ns + STORE_LATE_NS;
	s->watch.overdue_ns = c->now_ns + a->wait_ns + READ_USUAL_NS;
}

static bool is_overdue(const struct mesh_ctx *c,
		       const struct session_call *call)
{
	return call->op && c->now_ns >= call->overdue_ns;
}

static void end_unanswered(struct session *s, struct mesh_ctx *c,
			   struct session_call *call)
{
	struct ev_store_end e = {.op = call->op, .end = STORE_NO_ANSWER};

	list_init(&e.records);
	session_note_lost_call(s, c);
	session_on_end(s, c, &e);
}

/* Has a call for the lease made again, while it may still be answered. */
static void renew_lease_call(struct session *s, struct mesh_ctx *c,
			     struct session_call *call,
			     enum store_call_kind kind)
{
	bool silent = c->store_answered_ns < call->sent_ns;

	set_aside(s, c, call, kind);
	call->next_ns = c->now_ns + CALL_RETRY_NS;
	if (kind == CALL_LEASE_KEEP)
		request_peer_renewal(s, c);
	if (silent)
		session_note_call_end(s, c, STORE_NO_ANSWER);
}

static bool is_lost(const struct mesh_ctx *c, struct session_call *call)
{
	if (!call->lost_ns && is_outrun(c, call)) {
		call->lost_ns = c->now_ns + OUTRUN_GRACE_NS;
		if (call->lost_ns < call->overdue_ns)
			call->lost_ns = call->overdue_ns;
	}
	return call->op && call->lost_ns && c->now_ns >= call->lost_ns;
}

/* Deals with calls whose answer is late: they may be lost. */
static void renew_calls(struct session *s, struct mesh_ctx *c)
{
	if (is_overdue(c, &s->keep))
		renew_lease_call(s, c, &s->keep, CALL_LEASE_KEEP);
	if (is_overdue(c, &s->lease_new))
		renew_lease_call(s, c, &s->lease_new, CALL_LEASE_NEW);
	if (is_lost(c, &s->read))
		set_aside(s, c, &s->read, s->read_kind);
	if (is_lost(c, &s->watch)) {
		set_aside(s, c, &s->watch, CALL_WATCH_ALL);
		if (++s->unanswered_watches >= UNANSWERED_WATCHES_MAX)
			s->want_read_all = true;
	}
	if (is_lost(c, &s->put))
		end_unanswered(s, c, &s->put);
}

/* The store now has all evacuations that the operators have written again. */
static bool evacuations_due(const struct mesh_ctx *c)
{
	return c->dir.evacuations_kept && directory_settled(&c->dir, c->now_ns);
}

static const char *late_reason(const struct session *s,
			       const struct mesh_ctx *c)
{
	if (c->dir.manifest_invalid >= c->dir.manifest_wanted)
		return "invalid";
	if (c->store_down)
		return "store_down";
	if (s->read.op)
		return "read_in_progress";
	return awaits_manifest(s, c) ? "peer_asked" : "read_due";
}

/* Logs that a known newer manifest is still not in force. */
static void log_late_manifest(struct session *s, struct mesh_ctx *c)
{
	const struct directory *d = &c->dir;

	if (!d->manifest_late_since_ns ||
	    c->now_ns < d->manifest_late_since_ns + MANIFEST_LATE_NS ||
	    c->now_ns < s->late_logged_ns + LATE_LOG_INTERVAL_NS)
		return;
	s->late_logged_ns = c->now_ns;
	mesh_log(c->out, LOG_WARN,
		 "event=config_late why=%s config_revision=" REVISION_FMT
		 " wanted=" REVISION_FMT
		 " known_ms=%lu call=%s call_ms=%lu store_age_ms=%lu",
		 late_reason(s, c), REVISION_ARGS(d->manifest_revision),
		 REVISION_ARGS(d->manifest_wanted),
		 (unsigned long)((c->now_ns - d->manifest_late_since_ns) /
				 NS_PER_MS),
		 s->read.op ? store_call_name(s->read_kind) : "none",
		 (unsigned long)(s->read.op ? (c->now_ns - s->read.sent_ns) /
						      NS_PER_MS
					    : 0),
		 (unsigned long)((c->now_ns - c->store_answered_ns) /
				 NS_PER_MS));
}

void session_end(struct session *s, struct mesh_ctx *c)
{
	mesh_log(c->out, LOG_INFO, "event=lease_ended lease=%lu",
		 (unsigned long)s->lease);
	mesh_store_call(c, CALL_LEASE_END)->lease = s->lease;
	forget_lease(s, c);
	s->ended = true;
}

void session_work(struct session *s, struct mesh_ctx *c)
{
	if (s->ended)
		return;
	/* A watch in progress shows changes while the store answers calls. */
	if (s->watch.op && !s->watch_polls && !c->store_down &&
	    c->store_answered_ns > s->watch.sent_ns)
		note_checked(c, c->store_answered_ns);
	renew_calls(s, c);
	log_late_manifest(s, c);
	s->want_read_all |= evacuations_due(c);
	ask_manifest(s, c);
	if (wants_any_read(s, c) && !c->store_down && due(&s->read, c->now_ns))
		start_read(s, c);
	if (!s->lease && due(&s->lease_new, c->now_ns))
		start_call(s, c, &s->lease_new, CALL_LEASE_NEW)->ttl_ns =
			c->opts->lease_ns;
	if (s->lease && due(&s->keep, c->now_ns))
		start_call(s, c, &s->keep, CALL_LEASE_KEEP)->lease = s->lease;
	if (c->store_down)
		return;
	if (s->lease && c->dir.loaded && !s->want_read_all &&
	    !s->want_read_own && s->card_dirty &&
	    (s->card.upstream.instance[0] || c->now_ns >= s->first_card_ns) &&
	    due(&s->put, c->now_ns))
		put_card(s, c);
	if (c->dir.loaded && !s->want_read_all && due(&s->watch, c->now_ns))
		start_watch(s, c);
}

/* Lowers @next to when @call may start, if it is wanted and not in progress. */
static void include_due(uint64_t *next, const struct session_call *call,
			bool wanted)
{
	if (wanted && !call->op && call->next_ns < *next)
		*next = call->next_ns;
}

/* Lowers @next to when the answer to @call will be late. */
static void include_overdue(uint64_t *next, const struct mesh_ctx *c,
			    const struct session_call *call)
{
	uint64_t at = call->lost_ns ? call->lost_ns : call->overdue_ns;

	if (call->op && at > c->now_ns && at < *next)
		*next = at;
}

uint64_t session_next_ns(const struct session *s, const struct mesh_ctx *c)
{
	uint64_t next = UINT64_MAX;

	if (s->ended)
		return next;
	if (c->dir.evacuations_kept && c->dir.era_settled_ns < next)
		next = c->dir.era_settled_ns;
	include_overdue(&next, c, &s->keep);
	include_overdue(&next, c, &s->read);
	include_overdue(&next, c, &s->watch);
	include_overdue(&next, c, &s->put);
	include_overdue(&next, c, &s->lease_new);
	include_due(&next, &s->lease_new, !s->lease);
	include_due(&next, &s->keep, s->lease != 0);
	if (directory_wants_manifest(&c->dir) && awaits_manifest(s, c) &&
	    s->manifest_wait_until_ns < next)
		next = s->manifest_wait_until_ns;
	if (c->store_down)
		return next;
	include_due(&next, &s->read, wants_any_read(s, c));
	include_due(&next, &s->put,
		    s->lease && s->card_dirty && !s->want_read_all &&
			    !s->want_read_own);
	include_due(&next, &s->watch, !s->want_read_all);
	return next;
}

revision_t session_card_revision(const struct session *s)
{
	if (!s->registered || !s->fresh || s->card_dirty || s->put.op)
		return 0;
	return s->card_revision;
}

uint64_t session_authority_ns(const struct session *s)
{
	return s->registered && s->fresh ? s->lease_deadline_ns : 0;
}
