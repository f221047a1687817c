#include "core/relay.h"

#include <string.h>

#include "core/keymap_delta.h"
#include "core/mem.h"

/* Two, so that the loss of one watcher causes no gap. */
#define WATCHERS_PER_REGION	  2
/* A report or an answer of the store shows for this long what is current. */
#define MANIFEST_EVIDENCE_NS	  (2 * NS_PER_S)
/* Sending a whole manifest takes processor time that requests need, too. */
#define MANIFEST_SEND_INTERVAL_NS (100 * NS_PER_MS)
/*
 * A watcher that has sent nothing for this long is replaced. It reports to each
 * node of its region within 0.9 s, however large the fleet is.
 */
#define WATCHER_SILENT_NS	  (2200 * NS_PER_MS)
/* In a smaller region all nodes watch: relaying would save few calls. */
#define RELAY_NODES_MIN		  8

static bool is_live_in_region(const struct mesh_ctx *c,
			      const struct dir_node *n)
{
	return directory_same_region(&c->dir, n) && !n->leaving &&
	       directory_node_alive(&c->dir, n, c->now_ns);
}

bool relay_all_watch(const struct mesh_ctx *c)
{
	const struct dir_node *n;
	uint32_t live = 0;

	list_for_each_entry(n, &c->dir.nodes, link)
		live += is_live_in_region(c, n);
	return live < RELAY_NODES_MIN;
}

/* True if @c's node is among the first watchers of its region, by name. */
static bool is_first_watcher(const struct mesh_ctx *c)
{
	const struct dir_node *n;
	uint32_t before = 0;

	list_for_each_entry(n, &c->dir.nodes, link)
		before += n->watches && is_live_in_region(c, n) &&
			  c->now_ns < n->heard_ns + WATCHER_SILENT_NS &&
			  strcmp(n->name, c->opts->node) < 0;
	return before < WATCHERS_PER_REGION;
}

bool relay_is_watcher(const struct mesh_ctx *c)
{
	return is_first_watcher(c) || relay_all_watch(c);
}

/* True if a later one of @records is of the same name. */
static bool is_superseded(const struct list *records, const struct record *r)
{
	const struct list *it;

	for (it = r->link.next; it != records; it = it->next) {
		const struct record *later =
			list_entry(it, struct record, link);

		if (later->kind == r->kind && !strcmp(later->name, r->name))
			return true;
	}
	return false;
}

/* A copy of @r, with a keymap's delta to the one that this node has. */
static struct record *copy_for_nodes(const struct mesh_ctx *c,
				     const struct record *r)
{
	const struct dir_keymap *k =
		r->kind == RECORD_KEYMAP ? directory_keymap(&c->dir, r->name)
					 : NULL;
	struct record *copy;

	if (!k || !r->u.keymap || r->removed || r->invalid ||
	    r->revision <= k->revision)
		return record_copy(r);
	copy = record_new(r->kind, r->name);
	copy->revision = r->revision;
	copy->keymap_base = k->revision;
	copy->u.keymap = keymap_delta_between(k->map, r->u.keymap);
	copy->keymap_digest = keymap_digest(r->u.keymap);
	return copy;
}

static struct message *changes_message(const struct mesh_ctx *c,
				       revision_t from,
				       const struct ev_store_end *e)
{
	struct message *m = message_new(MSG_CHANGES);
	const struct record *r;

	m->u.changes.from = from;
	m->u.changes.to = e->revision;
	list_for_each_entry(r, &e->records, link)
		if (r->kind != RECORD_KEYMAP || !is_superseded(&e->records, r))
			list_push_back(&m->u.changes.records,
				       &copy_for_nodes(c, r)->link);
	return m;
}

/*
 * Gives the newest manifest of @records its delta, for send_changes(). False
 * if there is none, or too much has changed.
 */
static bool add_manifest_delta(const struct mesh_ctx *c,
			       const struct list *records)
{
	struct record *newest = NULL;
	struct record *r;

	list_for_each_entry(r, records, link)
		if (r->kind == RECORD_MANIFEST && !r->removed && !r->invalid &&
		    r->u.manifest &&
		    (!newest || r->revision > newest->revision))
			newest = r;
	if (!newest || !c->dir.manifest ||
	    newest->revision <= c->dir.manifest_revision)
		return false;
	newest->delta =
		manifest_delta_between(c->dir.manifest,
				       c->dir.manifest_revision,
				       newest->u.manifest, newest->revision);
	return newest->delta != NULL;
}

void relay_forward_changes(struct mesh_ctx *c, revision_t from,
			   const struct ev_store_end *e)
{
	/* A delta is far smaller than the document of another one's watch. */
	bool to_watchers;
	const struct dir_node *n;
	struct act_send_all *a = NULL;

	if (list_empty(&e->records))
		return;
	to_watchers = add_manifest_delta(c, &e->records) && is_first_watcher(c);
	list_for_each_entry(n, &c->dir.nodes, link) {
		if (!directory_same_region(&c->dir, n) ||
		    (n->watches && !to_watchers) ||
		    !strcmp(n->name, c->opts->node) ||
		    !directory_node_alive(&c->dir, n, c->now_ns))
			continue;
		if (!a)
			a = mesh_send_all(c, changes_message(c, from, e));
		mesh_add_target(a, n);
	}
}

static bool is_recent(const struct mesh_ctx *c, uint64_t at_ns)
{
	return at_ns && c->now_ns < at_ns + MANIFEST_EVIDENCE_NS;
}

bool relay_manifest_current(const struct mesh_ctx *c)
{
	const struct dir_node *n;

	if (!c->dir.manifest || directory_manifest_outdated(&c->dir))
		return false;
	if (!c->store_down && is_recent(c, c->manifest_checked_ns))
		return true;
	list_for_each_entry(n, &c->dir.nodes, link)
		if (is_recent(c, n->watched_ns))
			return true;
	return false;
}

void relay_note_sender(struct mesh_ctx *c, uint64_t from,
		       const struct msg_changes *m)
{
	struct dir_node *n = directory_by_boot(&c->dir, from);
	const struct record *r;

	/* Builds that don't state it in their reports send it to nobody. */
	if (!n || !n->manifest_revision)
		return;
	list_for_each_entry(r, &m->records, link)
		if (r->kind == RECORD_MANIFEST && r->delta &&
		    directory_order(&c->dir, r->revision) >
			    n->manifest_revision)
			n->manifest_revision =
				directory_order(&c->dir, r->revision);
}

const struct dir_node *relay_manifest_source(struct mesh_ctx *c)
{
	const struct directory *d = &c->dir;
	const struct dir_node *best = NULL;
	const struct dir_node *n;
	bool best_near = false;
	uint64_t rank = 0;

	list_for_each_entry(n, &d->nodes, link) {
		bool near = directory_same_region(d, n);
		uint64_t r = rng_next(&c->rng);

		if (n->manifest_revision < d->manifest_wanted || n->leaving ||
		    !strcmp(n->name, c->opts->node) ||
		    !directory_node_alive(d, n, c->now_ns) ||
		    (best && best_near && !near))
			continue;
		if (best && best_near == near && r <= rank)
			continue;
		best = n;
		best_near = near;
		rank = r;
	}
	return best;
}

void relay_ask_manifest(struct mesh_ctx *c, const struct dir_node *n)
{
	struct message *m = message_new(MSG_MANIFEST_GET);

	m->u.manifest_get.revision = c->dir.manifest_revision;
	mem_copy_str(m->u.manifest_get.reply_to, c->opts->peer_addr,
		     sizeof(m->u.manifest_get.reply_to));
	mesh_send(c, n->boot, n->card.peer_addr, m);
}

void relay_send_manifest(struct mesh_ctx *c, uint64_t to,
			 const struct msg_manifest_get *get)
{
	struct directory *d = &c->dir;
	struct message *m;
	struct record *r;

	if (!d->manifest || d->manifest_revision <= get->revision ||
	    c->now_ns < c->manifest_sent_ns + MANIFEST_SEND_INTERVAL_NS)
		return;
	c->manifest_sent_ns = c->now_ns;
	m = message_new(MSG_CHANGES);
	r = record_new(RECORD_MANIFEST, "");
	r->revision = d->manifest_revision;
	r->delta = manifest_delta_whole(d->manifest, d->manifest_revision);
	list_push_back(&m->u.changes.records, &r->link);
	mesh_send(c, to, get->reply_to, m);
}
