#include "core/relay.h"

#include <string.h>

/* Two, so that the loss of one watcher causes no gap. */
#define WATCHERS_PER_REGION 2
/* In a smaller region all nodes watch: relaying would save few calls. */
#define RELAY_NODES_MIN	    8

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
			  strcmp(n->name, c->opts->node) < 0;
	return before < WATCHERS_PER_REGION;
}

bool relay_is_watcher(const struct mesh_ctx *c)
{
	return is_first_watcher(c) || relay_all_watch(c);
}

static void send_changes(struct mesh_ctx *c, const struct dir_node *n,
			 revision_t from, const struct ev_store_end *e)
{
	struct message *m = message_new(MSG_CHANGES);
	const struct record *r;

	m->u.changes.from = from;
	m->u.changes.to = e->revision;
	list_for_each_entry(r, &e->records, link)
		list_push_back(&m->u.changes.records, &record_copy(r)->link);
	mesh_send(c, n->boot, n->card.peer_addr, m);
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

	if (list_empty(&e->records))
		return;
	to_watchers = add_manifest_delta(c, &e->records) && is_first_watcher(c);
	list_for_each_entry(n, &c->dir.nodes, link)
		if (directory_same_region(&c->dir, n) &&
		    (!n->watches || to_watchers) &&
		    strcmp(n->name, c->opts->node) != 0 &&
		    directory_node_alive(&c->dir, n, c->now_ns))
			send_changes(c, n, from, e);
}
