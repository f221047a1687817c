#include "core/reports.h"

#include <string.h>

#include "core/mem.h"

/*
 * A watcher reports to each node of its region at least this often, also to
 * those that get answers, as its reports show that no change was missed.
 */
#define WATCHER_REPORT_NS	      (900 * NS_PER_MS)
/* Shortest interval between two reports to a node of the own region. */
#define INTERVAL_MIN_NS		      (200 * NS_PER_MS)
/* Added per node, so that a large fleet's reports fit the traffic budget. */
#define INTERVAL_PER_NODE_NS	      (10 * NS_PER_MS)
/* Other regions get a report once in this many intervals. */
#define FAR_REPORT_ROUNDS	      2
#define FAR_REPORT_ROUNDS_LARGE_FLEET 4
/* A fleet with more other nodes than this is a large one. */
#define SMALL_FLEET_NODES	      32
/*
 * The first reports go to all regions alike and carry the sender's name: a
 * receiver may still have the card of the sender's previous process, with
 * another boot. They go on for this time, and for some intervals.
 */
#define YOUNG_NS		      (3200 * NS_PER_MS)
#define YOUNG_INTERVALS		      3
/* Reports in one turn of the loop, as each takes time of waiting requests. */
#define TURN_REPORTS_MAX	      8
/* The same when the gate has closed or opened, of which callers depend. */
#define FLUSH_REPORTS_MAX	      64
/* Between two such turns. */
#define TURN_INTERVAL_NS	      (20 * NS_PER_MS)
/* A node without a card gets reports for this time after its last message. */
#define NO_CARD_REPORT_NS	      (5 * NS_PER_S)

static void send_report(struct reports *r, struct mesh_ctx *c,
			const struct report_inputs *s, struct dir_node *n)
{
	struct message *msg = message_new(MSG_LOAD);
	struct msg_load *l = &msg->u.load;

	if (c->now_ns < r->young_until_ns || n->reply_due)
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

/* Between two reports to a node of this region, or of another one. */
static uint64_t interval_ns(const struct reports *r, const struct mesh_ctx *c,
			    const struct report_inputs *s, bool far)
{
	uint64_t interval = c->dir.report_interval_ns;

	if (far && c->now_ns >= r->young_until_ns)
		return interval * c->dir.far_report_rounds;
	if (!far && s->watches && interval > WATCHER_REPORT_NS)
		return WATCHER_REPORT_NS;
	return interval;
}

/* False for a node that has got the load with an answer lately. */
static bool is_report_due(const struct mesh_ctx *c,
			  const struct report_inputs *s,
			  const struct dir_node *n)
{
	if (c->now_ns >= n->load_sent_ns + c->dir.report_interval_ns / 2)
		return true;
	return s->watches && directory_same_region(&c->dir, n) &&
	       c->now_ns >= n->reported_ns + WATCHER_REPORT_NS;
}

/* Sets the intervals by the number of nodes. */
static void measure(struct reports *r, struct mesh_ctx *c)
{
	struct directory *d = &c->dir;
	const struct dir_node *n;
	uint32_t nodes = 0;
	uint64_t young_ns;

	list_for_each_entry(n, &d->nodes, link)
		nodes += is_recipient(c, n);
	d->report_interval_ns = nodes * INTERVAL_PER_NODE_NS;
	if (d->report_interval_ns < INTERVAL_MIN_NS)
		d->report_interval_ns = INTERVAL_MIN_NS;
	d->far_report_rounds = nodes > SMALL_FLEET_NODES
				       ? FAR_REPORT_ROUNDS_LARGE_FLEET
				       : FAR_REPORT_ROUNDS;
	young_ns = YOUNG_INTERVALS * d->report_interval_ns;
	if (!r->young_until_ns)
		r->young_until_ns =
			c->now_ns + (young_ns > YOUNG_NS ? young_ns : YOUNG_NS);
	r->next_measure_ns = c->now_ns + INTERVAL_MIN_NS;
}

/* Nodes whose region is known get their first report before all others. */
static void queue_new_nodes(struct directory *d)
{
	struct dir_node *n, *tmp;

	list_for_each_entry_safe(n, tmp, &d->report_new, in_reports) {
		if (!n->card.peer_addr[0])
			continue;
		list_remove(&n->in_reports);
		list_push_front(directory_same_region(d, n) ? &d->report_near
							    : &d->report_far,
				&n->in_reports);
	}
}

/* When the first node of the queue gets its report; UINT64_MAX: none does. */
static uint64_t first_due_ns(const struct reports *r, const struct list *queue,
			     uint64_t interval)
{
	const struct dir_node *n;

	if (list_empty(queue))
		return UINT64_MAX;
	n = list_entry(queue->next, struct dir_node, in_reports);
	return n->queued_ns < r->flush_ns ? 0 : n->queued_ns + interval;
}

/* Sends the reports due to one queue's nodes, @max at most. */
static uint32_t work_queue(struct reports *r, struct mesh_ctx *c,
			   const struct report_inputs *s, struct list *queue,
			   uint64_t interval, uint32_t max)
{
	uint32_t sent = 0;

	while (sent < max && first_due_ns(r, queue, interval) <= c->now_ns) {
		struct dir_node *n =
			list_entry(queue->next, struct dir_node, in_reports);
		bool flush = n->queued_ns < r->flush_ns;

		list_remove(&n->in_reports);
		list_push_back(queue, &n->in_reports);
		n->queued_ns = c->now_ns;
		if (!is_recipient(c, n) || (!flush && !is_report_due(c, s, n)))
			continue;
		send_report(r, c, s, n);
		sent++;
	}
	return sent;
}

void reports_work(struct reports *r, struct mesh_ctx *c,
		  const struct report_inputs *s)
{
	struct directory *d = &c->dir;
	uint64_t near_ns, far_ns, next;
	uint32_t max = TURN_REPORTS_MAX;

	if (!d->loaded)
		return;
	send_urgent(r, c, s);
	if (open_changed(r, c, s)) {
		r->reported_open = !r->reported_open;
		r->flush_ns = c->now_ns;
	} else if (c->now_ns < r->next_ns) {
		return;
	}
	if (c->now_ns >= r->next_measure_ns)
		measure(r, c);
	queue_new_nodes(d);
	near_ns = interval_ns(r, c, s, false);
	far_ns = interval_ns(r, c, s, true);
	if (first_due_ns(r, &d->report_near, near_ns) == 0 ||
	    first_due_ns(r, &d->report_far, far_ns) == 0)
		max = FLUSH_REPORTS_MAX;
	max -= work_queue(r, c, s, &d->report_near, near_ns, max);
	work_queue(r, c, s, &d->report_far, far_ns, max);
	next = first_due_ns(r, &d->report_near, near_ns);
	if (first_due_ns(r, &d->report_far, far_ns) < next)
		next = first_due_ns(r, &d->report_far, far_ns);
	/* New nodes are queued then, too. */
	if (next > r->next_measure_ns)
		next = r->next_measure_ns;
	r->next_ns = next > c->now_ns + TURN_INTERVAL_NS
			     ? next
			     : c->now_ns + TURN_INTERVAL_NS;
}
