#include "core/reports.h"

#include <string.h>

#include "core/mem.h"

/*
 * A watcher reports to each node of its region at least this often, also to
 * those that get answers, as its reports show that no change was missed.
 */
#define WATCHER_REPORT_NS	      (900 * NS_PER_MS)
/* Shortest interval between two rounds of reports to the own region. */
#define ROUND_INTERVAL_MIN_NS	      (200 * NS_PER_MS)
/* Added per node, so that a large fleet's reports fit the traffic budget. */
#define ROUND_INTERVAL_PER_NODE_NS    (10 * NS_PER_MS)
/* Other regions get a report once in this many rounds. */
#define FAR_REPORT_ROUNDS	      2
#define FAR_REPORT_ROUNDS_LARGE_FLEET 4
/* A fleet with more other nodes than this is a large one. */
#define SMALL_FLEET_NODES	      32
/*
 * The first rounds go to all regions and carry the sender's name: a receiver
 * may still have the card of the sender's previous process, with another boot.
 */
#define NAMED_ROUNDS		      16
/* A node without a card gets reports for this time after its last message. */
#define NO_CARD_REPORT_NS	      (5 * NS_PER_S)

static void send_report(struct reports *r, struct mesh_ctx *c,
			const struct report_inputs *s, struct dir_node *n)
{
	struct message *msg = message_new(MSG_LOAD);
	struct msg_load *l = &msg->u.load;

	if (r->rounds < NAMED_ROUNDS || n->reply_due)
		mem_copy_str(l->node, c->opts->node, sizeof(l->node));
	l->sent_ns = c->now_ns;
	l->revision = c->dir.revision;
	l->manifest_revision = c->dir.manifest_revision;
	l->leaving = s->leaving;
	l->watches = s->watches;
	l->wants_report = n->probe_due;
	if (c->dir.manifest)
		l->manifest_version = c->dir.manifest->version;
	gatekeeper_fill_load(s->gate, c, s->holder, &l->load);
	mesh_send(c, n->boot, n->card.peer_addr, msg);
	n->load_sent_ns = c->now_ns;
	n->reported_ns = c->now_ns;
	if (n->probe_due)
		n->probed_ns = c->now_ns;
	n->probe_due = false;
	n->reply_due = false;
	r->sent++;
}

static bool is_recipient(const struct mesh_ctx *c, const struct dir_node *n)
{
	return strcmp(n->name, c->opts->node) != 0 && n->card.peer_addr[0] &&
	       (n->revision || c->now_ns < n->heard_ns + NO_CARD_REPORT_NS);
}

static bool open_changed(const struct reports *r, const struct mesh_ctx *c,
			 const struct report_inputs *s)
{
	return r->reported_open !=
	       (holder_accepts_requests(s->holder, c) && !s->leaving);
}

bool reports_due(const struct reports *r, const struct mesh_ctx *c,
		 const struct report_inputs *s)
{
	return c->dir.loaded &&
	       (c->dir.urgent_reports || c->now_ns >= r->next_ns ||
		open_changed(r, c, s));
}

static void send_urgent(struct reports *r, struct mesh_ctx *c,
			const struct report_inputs *s)
{
	struct dir_node *n;

	if (!c->dir.urgent_reports)
		return;
	c->dir.urgent_reports = false;
	list_for_each_entry(n, &c->dir.nodes, link)
		if ((n->probe_due || n->reply_due) && is_recipient(c, n))
			send_report(r, c, s, n);
}

static bool is_report_due(const struct mesh_ctx *c,
			  const struct report_inputs *s,
			  const struct dir_node *n)
{
	if (c->now_ns >= n->load_sent_ns + c->dir.report_interval_ns / 2)
		return true;
	return s->watches && directory_same_region(&c->dir, n) &&
	       c->now_ns >= n->reported_ns + WATCHER_REPORT_NS;
}

void reports_work(struct reports *r, struct mesh_ctx *c,
		  const struct report_inputs *s)
{
	bool open_flipped = open_changed(r, c, s);
	struct directory *d = &c->dir;
	struct dir_node *n;
	uint64_t interval_ns = 0;
	uint32_t node_count = 0;
	bool include_far;

	if (!d->loaded)
		return;
	send_urgent(r, c, s);
	if (!open_flipped && c->now_ns < r->next_ns)
		return;
	r->reported_open ^= open_flipped;
	r->rounds++;
	include_far = open_flipped || r->rounds < NAMED_ROUNDS ||
		      r->rounds % d->far_report_rounds == 0;
	list_for_each_entry(n, &d->nodes, link) {
		if (!is_recipient(c, n))
			continue;
		node_count++;
		interval_ns += ROUND_INTERVAL_PER_NODE_NS;
		if (!include_far && !directory_same_region(d, n))
			continue;
		if (open_flipped || is_report_due(c, s, n))
			send_report(r, c, s, n);
	}
	d->report_interval_ns = interval_ns > ROUND_INTERVAL_MIN_NS
					? interval_ns
					: ROUND_INTERVAL_MIN_NS;
	d->far_report_rounds = node_count > SMALL_FLEET_NODES
				       ? FAR_REPORT_ROUNDS_LARGE_FLEET
				       : FAR_REPORT_ROUNDS;
	r->next_ns = c->now_ns + d->report_interval_ns;
}
