#include "fakes/request_world.h"

#include <stdlib.h>
#include <string.h>

#include "core/invariant.h"
#include "core/mem.h"
#include "core/node.h"
#include "core/text.h"
#include "wire/codec.h"

#define NODES		4
#define SHARDS		16
#define TICK_NS		(5 * NS_PER_MS)
#define LEASE_NS	(3600 * NS_PER_S)
#define REQUEST_EVERY	(2 * NS_PER_MS)
#define ROUTE_MS	400
#define HOP_NS		(2 * NS_PER_MS)
#define ANNOUNCE_NS	(250 * NS_PER_MS)
#define LATE_COPY_NS	(5 * NS_PER_S)
#define VIEW_LAG_NS	(100 * NS_PER_MS)
#define ROUTES		3
#define SLOTS		4
#define QUEUE_MAX	(SLOTS * 16)
#define ORG_HEADER	"X-Jackdaw-Organisation"
#define TOKEN_HEADER	"X-Token"
#define CALLERS_BUCKETS 4096

const struct request_world_opts request_world_default = {
	.requests = 2000,
	.loss_ppm = 30000,
	.double_ppm = 50000,
	.stray_ppm = 5000,
	.fault_ppm = 150000,
	.gone_ppm = 20000,
	.churn_ms = 120,
};

/* One caller's request and what became of it. */
struct asked {
	bool idempotent;
	bool replied;
	bool gone; /* nobody waits for the reply */
	enum outcome outcome;
	uint32_t node;	   /* its entry */
	uint32_t executed; /* times an upstream ran it */
	uint32_t route;
	bool bound; /* by its organisation, to region a */
};

enum world_event_kind {
	WORLD_MESSAGE,
	WORLD_UPSTREAM,
	WORLD_DOC,
	WORLD_REQUEST,
	WORLD_GONE,
	WORLD_CHURN,
	WORLD_LEASE,	/* the node's lease is confirmed again */
	WORLD_ANNOUNCE, /* all upstreams say that they live */
	WORLD_TICK,
};

struct world_event {
	struct list link;
	enum world_event_kind kind;
	uint64_t at_ns;
	uint32_t node;
	incarnation_t boot; /* the process that it is for; 0: any */
	union {
		struct wire_buf message;
		struct ev_upstream_answer upstream;
		struct doc *doc;
		uint32_t asked;
	} u;
};

struct world {
	const struct request_world_opts *o;
	struct rng rng;
	uint64_t now_ns;
	struct list events; /* of struct world_event, by time */
	struct node *nodes[NODES];
	struct asked *asked;
	uint32_t next_asked;
	uint32_t live; /* requests without an end */
	revision_t revision;
	struct doc *maps[ROUTES];
	struct doc *rosters[2];
	struct request_world_result r;
};

static const char *const regions[NODES] = {"a", "a", "b", "b"};
static const char *const routes[ROUTES] = {"keyed", "any", "bound"};

static bool chance(struct world *w, uint32_t ppm)
{
	return rng_below(&w->rng, 1000000) < ppm;
}

static void event_schedule(struct world *w, struct world_event *ev,
			   uint64_t at_ns)
{
	struct list *pos = &w->events;

	ev->at_ns = at_ns;
	while (pos->prev != &w->events &&
	       list_entry(pos->prev, struct world_event, link)->at_ns > at_ns)
		pos = pos->prev;
	list_insert_before(pos, &ev->link);
}

static struct world_event *event_add(struct world *w,
				     enum world_event_kind kind, uint64_t at_ns)
{
	struct world_event *ev = mem_new(struct world_event);

	ev->kind = kind;
	event_schedule(w, ev, at_ns);
	return ev;
}

static void event_delete(struct world_event *ev)
{
	list_remove(&ev->link);
	switch (ev->kind) {
	case WORLD_MESSAGE:
		free(ev->u.message.data);
		break;
	case WORLD_UPSTREAM:
		http_answer_delete(ev->u.upstream.answer);
		break;
	case WORLD_DOC:
		doc_delete(ev->u.doc);
		break;
	case WORLD_REQUEST:
	case WORLD_GONE:
	case WORLD_CHURN:
	case WORLD_LEASE:
	case WORLD_ANNOUNCE:
	case WORLD_TICK:
		break;
	}
	free(ev);
}

static bool allowed(const struct asked *a, uint32_t node)
{
	bool bound = a->bound || !strcmp(routes[a->route], "bound");

	return !bound || !strcmp(regions[node], "a");
}

static uint32_t token_of(const struct http_request *r)
{
	const char *text = payload_header(&r->payload, TOKEN_HEADER);

	return (uint32_t)strtoul(text, NULL, 10);
}

/* An upstream runs the request: the last point where a promise can break. */
static void execute(struct world *w, uint32_t token, uint32_t node)
{
	struct asked *a = &w->asked[token];

	a->executed++;
	w->r.executed++;
	JD_INVARIANT(a->idempotent || a->executed == 1,
		     "what=ran_twice token=%u seed=%lu", token,
		     (unsigned long)w->o->seed);
	JD_INVARIANT(!a->replied || a->outcome != OUTCOME_NOT_RUN,
		     "what=ran_after_not_run token=%u seed=%lu", token,
		     (unsigned long)w->o->seed);
	JD_INVARIANT(allowed(a, node), "what=outside_home token=%u seed=%lu",
		     token, (unsigned long)w->o->seed);
}

static void on_reply(struct world *w, struct act_reply *r)
{
	struct asked *a = &w->asked[r->caller];

	if (a->gone)
		return;
	JD_INVARIANT(!a->replied, "what=two_replies token=%lu seed=%lu",
		     (unsigned long)r->caller, (unsigned long)w->o->seed);
	a->replied = true;
	a->outcome = r->outcome;
	w->live--;
	switch (r->outcome) {
	case OUTCOME_DONE:
		w->r.done++;
		JD_INVARIANT(
			r->answer && strtoul((char *)r->answer->payload.body,
					     NULL, 10) == r->caller,
			"what=crossed token=%lu seed=%lu",
			(unsigned long)r->caller, (unsigned long)w->o->seed);
		break;
	case OUTCOME_NOT_RUN:
		w->r.not_run++;
		JD_INVARIANT(!a->executed,
			     "what=false_not_run token=%lu seed=%lu",
			     (unsigned long)r->caller,
			     (unsigned long)w->o->seed);
		break;
	case OUTCOME_UNKNOWN:
	case OUTCOME_COUNT:
		w->r.unknown++;
		break;
	}
}

static void deliver(struct world *w, uint32_t node, const struct wire_buf *b,
		    uint64_t delay_ns)
{
	struct world_event *ev =
		event_add(w, WORLD_MESSAGE, w->now_ns + delay_ns);

	ev->node = node;
	ev->u.message.data = mem_dup(b->data, b->len);
	ev->u.message.len = b->len;
}

static uint32_t node_at(const char *addr)
{
	return (uint32_t)strtoul(addr, NULL, 10);
}

static void check_forward(struct world *w, uint32_t from, uint32_t to,
			  const struct message *m)
{
	const struct asked *a;

	w->r.forwards++;
	a = &w->asked[token_of(m->u.forward.request)];
	JD_INVARIANT(allowed(a, from) && allowed(a, to),
		     "what=sent_outside_home token=%u seed=%lu",
		     token_of(m->u.forward.request), (unsigned long)w->o->seed);
}

static void on_send(struct world *w, uint32_t from, struct act_send *s)
{
	const struct message *m = s->message;
	uint32_t to = node_at(s->addr);
	struct wire_buf b;

	if (m->kind != MSG_FORWARD && m->kind != MSG_ANSWER &&
	    m->kind != MSG_CANCEL)
		return;
	if (m->kind == MSG_FORWARD)
		check_forward(w, from, to, m);
	if (chance(w, w->o->loss_ppm))
		return;
	wire_encode_message(m, &b);
	if (chance(w, w->o->stray_ppm))
		deliver(w, (to + 1) % NODES, &b, HOP_NS);
	if (chance(w, w->o->double_ppm))
		deliver(w, to, &b, rng_below(&w->rng, LATE_COPY_NS));
	deliver(w, to, &b, rng_below(&w->rng, 4 * HOP_NS));
	free(b.data);
}

static struct http_answer *answer_for(uint32_t token)
{
	struct http_answer *a = http_answer_new(200);
	char text[16];

	text_format(text, sizeof(text), "%u", token);
	payload_set_body(&a->payload, text, strlen(text));
	return a;
}

/* What an upstream may do to a call that it does not simply answer. */
enum upstream_fault {
	FAULT_SHED,
	FAULT_REFUSED,	/* no connection: nothing was written */
	FAULT_LOST,	/* after it ran */
	FAULT_LOST_RAW, /* after a byte, but before it ran */
	FAULT_SILENT,	/* runs, answers after the deadline */
	FAULT_COUNT,
};

static void upstream_fault(struct world *w, struct world_event *ev,
			   uint32_t token, const struct act_upstream_call *call)
{
	struct ev_upstream_answer *a = &ev->u.upstream;

	a->outcome = OUTCOME_UNKNOWN;
	a->refusal = REFUSAL_CONNECTION_LOST;
	switch ((enum upstream_fault)rng_below(&w->rng, FAULT_COUNT)) {
	case FAULT_SHED:
		a->outcome = OUTCOME_NOT_RUN;
		a->refusal = REFUSAL_UPSTREAM_SHED;
		break;
	case FAULT_REFUSED:
		a->outcome = OUTCOME_NOT_RUN;
		a->refusal = REFUSAL_UPSTREAM_DOWN;
		break;
	case FAULT_LOST:
		execute(w, token, ev->node);
		break;
	case FAULT_LOST_RAW:
	case FAULT_COUNT:
		break;
	case FAULT_SILENT:
		execute(w, token, ev->node);
		a->refusal = REFUSAL_NO_ANSWER;
		list_remove(&ev->link);
		event_schedule(w, ev, call->deadline_ns);
		break;
	}
}

static void on_call(struct world *w, uint32_t node,
		    const struct act_upstream_call *call)
{
	uint64_t at = w->now_ns + rng_below(&w->rng, 30 * NS_PER_MS);
	uint32_t token = token_of(call->request);
	struct world_event *ev = event_add(w, WORLD_UPSTREAM, at);
	struct ev_upstream_answer *a = &ev->u.upstream;

	JD_INVARIANT(w->now_ns < call->write_before_ns,
		     "what=wrote_without_lease token=%u", token);
	ev->node = node;
	ev->boot = w->nodes[node]->ctx.boot;
	a->call = call->call;
	if (chance(w, w->o->fault_ppm)) {
		upstream_fault(w, ev, token, call);
		return;
	}
	execute(w, token, node);
	a->outcome = OUTCOME_DONE;
	a->answer = answer_for(token);
}

/* The call's connection is closed: it ends at once, ran or not. */
static void on_cancel(struct world *w, uint32_t node, uint64_t call)
{
	struct world_event *ev;

	list_for_each_entry(ev, &w->events, link) {
		if (ev->kind != WORLD_UPSTREAM || ev->node != node ||
		    ev->boot != w->nodes[node]->ctx.boot ||
		    ev->u.upstream.call != call)
			continue;
		http_answer_delete(ev->u.upstream.answer);
		ev->u.upstream.answer = NULL;
		ev->u.upstream.outcome = OUTCOME_UNKNOWN;
		ev->u.upstream.refusal = REFUSAL_CONNECTION_LOST;
		return;
	}
}

static void act(struct world *w, uint32_t node, struct action *a)
{
	switch (a->kind) {
	case ACT_SEND:
		on_send(w, node, &a->u.send);
		break;
	case ACT_REPLY:
		on_reply(w, &a->u.reply);
		break;
	case ACT_UPSTREAM_CALL:
		on_call(w, node, &a->u.call);
		break;
	case ACT_UPSTREAM_CANCEL:
		on_cancel(w, node, a->u.cancel);
		break;
	case ACT_STORE: /* the documents are dealt out by the world */
	case ACT_GRANT:
	case ACT_LOG:
	case ACT_EXIT:
		break;
	}
}

static void check_bounds(const struct world *w, uint32_t node)
{
	const struct node *n = w->nodes[node];

	JD_INVARIANT(n->gate.admission.waiting <= QUEUE_MAX,
		     "what=queue node=%u", node);
	JD_INVARIANT(n->router.bytes <= ROUTER_BYTES_MAX &&
			     n->router.count <= ROUTER_PENDING_MAX,
		     "what=memory node=%u", node);
}

static void handle(struct world *w, uint32_t node, struct event *ev)
{
	struct actions out;
	struct action *a;

	actions_init(&out);
	ev->now_ns = w->now_ns;
	node_handle(w->nodes[node], ev, &out);
	while ((a = actions_pop(&out))) {
		act(w, node, a);
		action_delete(a);
	}
	check_bounds(w, node);
}

static void manifest_fill(struct manifest *m)
{
	struct organisation *o = manifest_add_organisation(m);

	mem_copy_str(o->name, "bound-org", sizeof(o->name));
	o->home_regions.count = 1;
	mem_copy_str(o->home_regions.names[0], "a", JD_NAME_MAX);
	for (uint32_t i = 0; i < ROUTES; i++) {
		struct route *r = manifest_add_route(m);

		mem_copy_str(r->name, routes[i], sizeof(r->name));
		mem_copy_str(r->service, "svc", sizeof(r->service));
		text_format(r->path, sizeof(r->path), "/%s/", routes[i]);
		r->kind = i == 1 ? ROUTE_ANY : ROUTE_KEYED;
		r->key.source = KEY_PATH;
		r->key.segment = 1;
		r->shards = SHARDS;
		r->timeout_ms = ROUTE_MS;
		r->max_body_bytes = 4096;
		if (i == 2) {
			r->home_regions.count = 1;
			mem_copy_str(r->home_regions.names[0], "a",
				     JD_NAME_MAX);
		}
	}
}

static struct doc *manifest_doc(struct world *w)
{
	struct doc *d = doc_new(DOC_MANIFEST, "");

	d->revision = ++w->revision;
	d->u.manifest = manifest_new();
	manifest_fill(d->u.manifest);
	return d;
}

static struct doc *roster_doc(struct world *w, uint32_t dc)
{
	struct doc *d = doc_new(DOC_ROSTER, dc ? "dc1" : "dc0");

	d->revision = ++w->revision;
	d->u.roster = roster_new(d->key.name, dc ? "b" : "a");
	for (uint32_t i = dc * 2; i < dc * 2 + 2; i++) {
		struct member *m =
			roster_add(d->u.roster, w->nodes[i]->opts.name,
				   w->nodes[i]->ctx.self);

		mem_copy_str(m->service, "svc", sizeof(m->service));
		mem_copy_str(m->peer_addr, w->nodes[i]->opts.peer_addr,
			     sizeof(m->peer_addr));
		m->term = 1;
	}
	return d;
}

static uint32_t any_node(struct world *w, uint32_t route)
{
	return (uint32_t)rng_below(&w->rng, route == 2 ? 2 : NODES);
}

/* Gives @d to @node after @delay_ns. */
static void tell(struct world *w, uint32_t node, const struct doc *d,
		 uint64_t delay_ns)
{
	struct world_event *ev = event_add(w, WORLD_DOC, w->now_ns + delay_ns);

	ev->node = node;
	ev->boot = w->nodes[node]->ctx.boot;
	ev->u.doc = doc_copy(d);
}

/* Nodes learn of a document at different times. */
static void publish(struct world *w, struct doc *d)
{
	for (uint32_t i = 0; i < NODES; i++)
		tell(w, i, d, rng_below(&w->rng, VIEW_LAG_NS));
}

static void move_shard(struct world *w)
{
	uint32_t route = rng_below(&w->rng, 2) ? 2 : 0;
	struct doc *d = w->maps[route];
	struct shard *sh = &d->u.map->shards[rng_below(&w->rng, SHARDS)];

	d->revision = ++w->revision;
	if (rng_below(&w->rng, 4) == 0 && !sh->target)
		sh->target = w->nodes[any_node(w, route)]->ctx.self;
	else
		shard_assign(sh, w->nodes[any_node(w, route)]->ctx.self);
	publish(w, d);
	w->r.moves++;
}

static bool is_live(const struct world *w, incarnation_t inc)
{
	for (uint32_t i = 0; i < NODES; i++)
		if (w->nodes[i]->ctx.self == inc)
			return true;
	return false;
}

/* Planned moves end, shards of nodes that are gone get another owner. */
static void settle_map(struct world *w, uint32_t route)
{
	struct doc *d = w->maps[route];

	d->revision = ++w->revision;
	for (uint32_t i = 0; i < SHARDS; i++) {
		struct shard *sh = &d->u.map->shards[i];

		if (sh->target && is_live(w, sh->target))
			shard_assign(sh, sh->target);
		else if (sh->target || !is_live(w, sh->owner))
			shard_assign(sh,
				     w->nodes[any_node(w, route)]->ctx.self);
	}
	publish(w, d);
}

static void announce(struct world *w, uint32_t node)
{
	struct event ev = {.kind = EV_ANNOUNCEMENT};

	mem_copy_str(ev.u.announce.service, "svc", JD_NAME_MAX);
	mem_copy_str(ev.u.announce.addr, "up", JD_ADDR_MAX);
	ev.u.announce.instance = 1 + node;
	ev.u.announce.slots = SLOTS;
	ev.u.announce.connections = SLOTS;
	handle(w, node, &ev);
}

static void node_start(struct world *w, uint32_t i)
{
	struct node_opts o = {.timing = timing_default,
			      .seed = rng_next(&w->rng)};
	struct node *n;

	text_format(o.name, sizeof(o.name), "n%u", i);
	text_format(o.dc, sizeof(o.dc), "dc%u", i / 2);
	text_format(o.peer_addr, sizeof(o.peer_addr), "%u", i);
	mem_copy_str(o.region, regions[i], sizeof(o.region));
	n = node_new(&o);
	n->membership.state = MEMBERSHIP_IN;
	n->membership.heard_ns = w->now_ns;
	lease_confirm(&n->membership.lease, w->now_ns, LEASE_NS);
	w->nodes[i] = n;
}

/* Its callers lose their connections, its upstream calls go on unseen. */
static void lose_callers(struct world *w, uint32_t node)
{
	for (uint32_t i = 0; i < w->next_asked; i++) {
		struct asked *a = &w->asked[i];

		if (a->node != node || a->replied || a->gone)
			continue;
		a->gone = true;
		w->r.gone++;
		w->live--;
	}
}

static void count_node(struct world *w, const struct node *n)
{
	w->r.doubled += n->gate.doubled;
	w->r.unmatched += n->router.unmatched;
}

static void view_fill(struct world *w, uint32_t node)
{
	struct view *v = &w->nodes[node]->ctx.view;

	view_apply(v, manifest_doc(w));
	for (uint32_t i = 0; i < 2; i++)
		view_apply(v, doc_copy(w->rosters[i]));
	for (uint32_t i = 0; i < ROUTES; i++)
		if (w->maps[i])
			view_apply(v, doc_copy(w->maps[i]));
}

static void restart(struct world *w, uint32_t node)
{
	uint32_t dc = node / 2;

	lose_callers(w, node);
	count_node(w, w->nodes[node]);
	node_delete(w->nodes[node]);
	node_start(w, node);
	doc_delete(w->rosters[dc]);
	w->rosters[dc] = roster_doc(w, dc);
	view_fill(w, node);
	announce(w, node);
	publish(w, w->rosters[dc]);
	w->r.restarts++;
}

static void lapse_lease(struct world *w, uint32_t node)
{
	struct world_event *ev =
		event_add(w, WORLD_LEASE,
			  w->now_ns + rng_below(&w->rng, 300 * NS_PER_MS));

	ev->node = node;
	w->nodes[node]->membership.lease.deadline_ns = w->now_ns;
}

static void churn(struct world *w)
{
	uint32_t node = (uint32_t)rng_below(&w->rng, NODES);

	settle_map(w, 0);
	settle_map(w, 2);
	switch (rng_below(&w->rng, 8)) {
	case 0:
		restart(w, node);
		break;
	case 1:
	case 2:
		lapse_lease(w, node);
		break;
	default:
		move_shard(w);
		break;
	}
	if (w->next_asked < w->o->requests)
		event_add(w, WORLD_CHURN,
			  w->now_ns + w->o->churn_ms * NS_PER_MS);
}

static struct http_request *request_for(struct world *w, uint32_t token,
					struct asked *a)
{
	static const char *const methods[] = {"GET", "POST", "POST", "PUT"};
	const char *method = methods[rng_below(&w->rng, 4)];
	struct http_request *r;
	char text[64];

	a->route = (uint32_t)rng_below(&w->rng, ROUTES);
	a->bound = rng_below(&w->rng, 4) == 0;
	a->idempotent = strcmp(method, "POST") != 0;
	text_format(text, sizeof(text), "/%s/%lu", routes[a->route],
		    (unsigned long)rng_below(&w->rng, 64));
	r = http_request_new(method, text);
	text_format(text, sizeof(text), "%u", token);
	payload_add_header(&r->payload, TOKEN_HEADER, text);
	if (a->bound)
		payload_add_header(&r->payload, ORG_HEADER, "bound-org");
	return r;
}

static void ask(struct world *w)
{
	uint32_t token = w->next_asked++;
	struct asked *a = &w->asked[token];
	struct event ev = {.kind = EV_REQUEST};

	a->node = (uint32_t)rng_below(&w->rng, NODES);
	ev.u.request.caller = token;
	ev.u.request.request = request_for(w, token, a);
	w->live++;
	w->r.requests++;
	if (w->next_asked < w->o->requests)
		event_add(w, WORLD_REQUEST,
			  w->now_ns + rng_below(&w->rng, 2 * REQUEST_EVERY));
	if (chance(w, w->o->gone_ppm))
		event_add(w, WORLD_GONE,
			  w->now_ns + rng_below(&w->rng, 50 * NS_PER_MS))
			->u.asked = token;
	handle(w, a->node, &ev);
}

static void go_away(struct world *w, uint32_t token)
{
	struct asked *a = &w->asked[token];
	struct event ev = {.kind = EV_CALLER_DISCONNECTED,
			   .u.caller_disconnected.caller = token};

	if (a->replied || a->gone)
		return;
	a->gone = true;
	w->r.gone++;
	w->live--;
	handle(w, a->node, &ev);
}

static void on_message(struct world *w, struct world_event *we)
{
	struct event ev = {.kind = EV_MESSAGE};
	struct status st;

	ev.u.message =
		wire_decode_message(we->u.message.data, we->u.message.len, &st);
	JD_INVARIANT(ev.u.message, "what=codec");
	handle(w, we->node, &ev);
}

static void on_upstream(struct world *w, struct world_event *we)
{
	struct event ev = {.kind = EV_UPSTREAM_ANSWER,
			   .u.upstream_answer = we->u.upstream};

	we->u.upstream.answer = NULL;
	handle(w, we->node, &ev);
}

static void on_tick(struct world *w)
{
	for (uint32_t i = 0; i < NODES; i++) {
		announce(w, i);
		handle(w, i, &(struct event){.kind = EV_TICK});
	}
	event_add(w, WORLD_TICK, w->now_ns + TICK_NS);
}

static void on_announce(struct world *w)
{
	for (uint32_t i = 0; i < NODES; i++)
		announce(w, i);
	event_add(w, WORLD_ANNOUNCE, w->now_ns + ANNOUNCE_NS);
}

static void run_event(struct world *w, struct world_event *ev)
{
	struct node *n = w->nodes[ev->node];

	if (ev->boot && ev->boot != n->ctx.boot)
		return;
	switch (ev->kind) {
	case WORLD_MESSAGE:
		on_message(w, ev);
		break;
	case WORLD_UPSTREAM:
		on_upstream(w, ev);
		break;
	case WORLD_DOC:
		view_apply(&n->ctx.view, ev->u.doc);
		ev->u.doc = NULL;
		if (w->revision > n->ctx.view.revision)
			n->ctx.view.revision = w->revision;
		break;
	case WORLD_REQUEST:
		ask(w);
		break;
	case WORLD_GONE:
		go_away(w, ev->u.asked);
		break;
	case WORLD_CHURN:
		churn(w);
		break;
	case WORLD_LEASE:
		lease_confirm(&n->membership.lease, w->now_ns, LEASE_NS);
		break;
	case WORLD_ANNOUNCE:
		on_announce(w);
		break;
	case WORLD_TICK:
		on_tick(w);
		break;
	}
}

static void world_start(struct world *w)
{
	for (uint32_t i = 0; i < NODES; i++)
		node_start(w, i);
	for (uint32_t i = 0; i < 2; i++)
		w->rosters[i] = roster_doc(w, i);
	for (uint32_t i = 0; i < ROUTES; i += 2) {
		struct doc *d = doc_new(DOC_MAP, routes[i]);

		d->revision = ++w->revision;
		d->u.map = shard_map_new(routes[i], SHARDS);
		for (uint32_t s = 0; s < SHARDS; s++)
			shard_assign(&d->u.map->shards[s],
				     w->nodes[any_node(w, i)]->ctx.self);
		w->maps[i] = d;
	}
	for (uint32_t i = 0; i < NODES; i++)
		view_fill(w, i);
	on_announce(w);
	event_add(w, WORLD_TICK, w->now_ns);
	event_add(w, WORLD_REQUEST, w->now_ns);
	event_add(w, WORLD_CHURN, w->now_ns + w->o->churn_ms * NS_PER_MS);
}

static void world_done(struct world *w)
{
	struct world_event *ev, *tmp;

	list_for_each_entry_safe(ev, tmp, &w->events, link)
		event_delete(ev);
	for (uint32_t i = 0; i < NODES; i++) {
		count_node(w, w->nodes[i]);
		node_delete(w->nodes[i]);
	}
	for (uint32_t i = 0; i < ROUTES; i++)
		doc_delete(w->maps[i]);
	doc_delete(w->rosters[0]);
	doc_delete(w->rosters[1]);
	free(w->asked);
}

struct request_world_result
request_world_run(const struct request_world_opts *o)
{
	struct world w = {.o = o, .now_ns = NS_PER_S};
	uint64_t end_ns = UINT64_MAX;

	rng_init(&w.rng, o->seed);
	list_init(&w.events);
	w.asked = mem_zalloc(o->requests, sizeof(*w.asked));
	world_start(&w);
	while (w.now_ns < end_ns) {
		struct world_event *ev =
			list_entry(w.events.next, struct world_event, link);

		JD_INVARIANT(ev->at_ns >= w.now_ns, "what=order");
		w.now_ns = ev->at_ns;
		run_event(&w, ev);
		event_delete(ev);
		if (w.next_asked == o->requests && end_ns == UINT64_MAX)
			end_ns = w.now_ns + 2 * LATE_COPY_NS;
	}
	JD_INVARIANT(!w.live, "what=no_reply live=%u seed=%lu", w.live,
		     (unsigned long)o->seed);
	world_done(&w);
	return w.r;
}
