#include "core/reports.h"

#include <string.h>

#include "core/mem.h"

/* Between two rounds at least; each goes to the nodes of the own region. */
#define ROUND_NS       (200 * NS_PER_MS)
/* A large fleet spreads its rounds: that much for each node. */
#define ROUND_EACH_NS  (10 * NS_PER_MS)
/* Up to so many nodes, other regions are told every second round. */
#define SMALL_FLEET    32
#define FAR_ROUNDS     2
#define FAR_ROUNDS_BIG 4
/* The first reports name their sender in full, as its card may be late. */
#define NAMED_ROUNDS   16
/* A node without a card is told for as long after it was last heard. */
#define FORGOTTEN_NS   (5 * NS_PER_S)

static void send_report(struct reports *r, struct mesh_ctx *c,
			const struct report_state *s, struct dir_node *n)
{
	struct message *msg = message_new(MSG_LOAD);
	struct msg_load *l = &msg->u.load;

	if (r->rounds < NAMED_ROUNDS || n->asks_us)
		mem_copy_str(l->node, c->opts->node, sizeof(l->node));
	l->sent_ns = c->now_ns;
	l->revision = c->dir.revision;
	l->leaving = s->leaving;
	l->watches = s->watches;
	l->asks = n->to_ask;
	gatekeeper_load(s->gate, c, s->holder, &l->load);
	mesh_send(c, n->boot, n->card.peer_addr, msg);
	n->told_ns = c->now_ns;
	if (n->to_ask)
		n->asked_ns = c->now_ns;
	n->to_ask = false;
	n->asks_us = false;
	r->sent++;
}

static bool reachable(const struct mesh_ctx *c, const struct dir_node *n)
{
	return strcmp(n->name, c->opts->node) != 0 && n->card.peer_addr[0] &&
	       (n->revision || c->now_ns < n->heard_ns + FORGOTTEN_NS);
}

static bool changed(const struct reports *r, const struct mesh_ctx *c,
		    const struct report_state *s)
{
	return r->was_open !=
	       (holder_accepts_requests(s->holder, c) && !s->leaving);
}

bool reports_due(const struct reports *r, const struct mesh_ctx *c,
		 const struct report_state *s)
{
	return c->dir.loaded &&
	       (c->dir.asks || c->now_ns >= r->next_ns || changed(r, c, s));
}

static void send_asked(struct reports *r, struct mesh_ctx *c,
		       const struct report_state *s)
{
	struct dir_node *n;

	if (!c->dir.asks)
		return;
	c->dir.asks = false;
	list_for_each_entry(n, &c->dir.nodes, link)
		if ((n->to_ask || n->asks_us) && reachable(c, n))
			send_report(r, c, s, n);
}

void reports_work(struct reports *r, struct mesh_ctx *c,
		  const struct report_state *s)
{
	bool flipped = changed(r, c, s);
	struct directory *d = &c->dir;
	struct dir_node *n;
	uint64_t span = 0;
	uint32_t count = 0;
	bool far;

	if (!d->loaded)
		return;
	send_asked(r, c, s);
	if (!flipped && c->now_ns < r->next_ns)
		return;
	r->was_open ^= flipped;
	r->rounds++;
	far = flipped || r->rounds < NAMED_ROUNDS ||
	      r->rounds % d->far_rounds == 0;
	list_for_each_entry(n, &d->nodes, link) {
		if (!reachable(c, n))
			continue;
		count++;
		span += ROUND_EACH_NS;
		if (!far && !directory_near(d, n))
			continue;
		if (flipped || c->now_ns >= n->told_ns + d->report_ns / 2)
			send_report(r, c, s, n);
	}
	d->report_ns = span > ROUND_NS ? span : ROUND_NS;
	d->far_rounds = count > SMALL_FLEET ? FAR_ROUNDS_BIG : FAR_ROUNDS;
	r->next_ns = c->now_ns + d->report_ns;
}
