#include "fakes/request_sim.h"

#include <stdlib.h>
#include <string.h>

#include "core/invariant.h"
#include "core/mem.h"
#include "core/node.h"
#include "core/text.h"
#include "wire/codec.h"

#define NODES		     4
#define SHARDS		     16
#define TICK_INTERVAL_NS     (5 * NS_PER_MS)
#define LEASE_NS	     (3600 * NS_PER_S)
#define REQUEST_INTERVAL_NS  (2 * NS_PER_MS)
#define ROUTE_TIMEOUT_MS     400
#define HOP_DELAY_NS	     (2 * NS_PER_MS)
#define ANNOUNCE_INTERVAL_NS (250 * NS_PER_MS)
#define LATE_COPY_MAX_NS     (5 * NS_PER_S)
#define VIEW_LAG_MAX_NS	     (100 * NS_PER_MS)
#define ROUTES		     3
#define SLOTS		     4
#define QUEUE_MAX	     (SLOTS * 16)
#define ORG_HEADER	     "X-Jackdaw-Organisation"
#define TOKEN_HEADER	     "X-Token"
#define CALLERS_BUCKETS	     4096

const struct request_sim_opts request_sim_default = {
	.requests = 2000,
	.loss_ppm = 30000,
	.double_ppm = 50000,
	.misdeliver_ppm = 5000,
	.fault_ppm = 150000,
	.gone_ppm = 20000,
	.churn_ms = 120,
};

/* A caller, its one request and what became of it. */
struct caller {
	bool idempotent;
	bool replied;
	bool gone; /* disconnected: no reply is expected */
	enum outcome outcome;
	uint32_t node;	   /* the entry */
	uint32_t executed; /* times an upstream ran it */
	uint32_t route;
	bool org_bound; /* its organisation's home region is a */
};

enum sim_event_kind {
	SIM_MESSAGE,
	SIM_UPSTREAM_ANSWER,
	SIM_DOC,
	SIM_REQUEST,
	SIM_DISCONNECT,
	SIM_CHURN,
	SIM_LEASE,    /* the node's lease is confirmed again */
	SIM_ANNOUNCE, /* all upstreams announce themselves */
	SIM_TICK,
};

struct sim_event {
	struct list link;
	enum sim_event_kind kind;
	uint64_t at_ns;
	uint32_t node;
	incarnation_t boot; /* process that gets the event; 0: any */
	union {
		struct wire_buf message;
		struct ev_upstream_answer upstream;
		struct doc *doc;
		uint32_t caller;
	} u;
};

struct request_sim {
	const struct request_sim_opts *opts;
	struct rng rng;
	uint64_t now_ns;
	struct list events; /* of struct sim_event, by time */
	struct node *nodes[NODES];
	struct caller *callers; /* by token */
	uint32_t next_caller;
	uint32_t pending; /* requests that have not ended */
	revision_t revision;
	struct doc *maps[ROUTES];
	struct doc *rosters[2];
	struct request_sim_result result;
};

static const char *const regions[NODES] = {"a", "a", "b", "b"};
/* Requests of the last route may only run in region a. */
static const char *const routes[ROUTES] = {"keyed", "any", "bound"};

static bool chance(struct request_sim *s, uint32_t ppm)
{
	return rng_below(&s->rng, 1000000) < ppm;
}

static void event_schedule(struct request_sim *s, struct sim_event *ev,
			   uint64_t at_ns)
{
	struct list *pos = &s->events;

	ev->at_ns = at_ns;
	while (pos->prev != &s->events &&
	       list_entry(pos->prev, struct sim_event, link)->at_ns > at_ns)
		pos = pos->prev;
	list_insert_before(pos, &ev->link);
}

static struct sim_event *event_add(struct request_sim *s,
				   enum sim_event_kind kind, uint64_t at_ns)
{
	struct sim_event *ev = mem_new(struct sim_event);

	ev->kind = kind;
	event_schedule(s, ev, at_ns);
	return ev;
}

static void event_delete(struct sim_event *ev)
{
	list_remove(&ev->link);
	switch (ev->kind) {
	case SIM_MESSAGE:
		free(ev->u.message.data);
		break;
	case SIM_UPSTREAM_ANSWER:
		http_answer_delete(ev->u.upstream.answer);
		break;
	case SIM_DOC:
		doc_delete(ev->u.doc);
		break;
	case SIM_REQUEST:
	case SIM_DISCONNECT:
	case SIM_CHURN:
	case SIM_LEASE:
	case SIM_ANNOUNCE:
	case SIM_TICK:
		break;
	}
	free(ev);
}

static bool may_run_on(const struct caller *c, uint32_t node)
{
	bool home_only = c->org_bound || !strcmp(routes[c->route], "bound");

	return !home_only || !strcmp(regions[node], "a");
}

/* The number of the caller, which its request carries in a header. */
static uint32_t token_of(const struct http_request *r)
{
	const char *text = payload_header(&r->payload, TOKEN_HEADER);

	return (uint32_t)strtoul(text, NULL, 10);
}

/* Checks on each run that the caller's guarantees allow it. */
static void run_on_upstream(struct request_sim *s, uint32_t token,
			    uint32_t node)
{
	struct caller *c = &s->callers[token];

	c->executed++;
	s->result.executed++;
	JD_INVARIANT(c->idempotent || c->executed == 1,
		     "what=ran_twice token=%u seed=%lu", token,
		     (unsigned long)s->opts->seed);
	JD_INVARIANT(!c->replied || c->outcome != OUTCOME_NOT_RUN,
		     "what=ran_after_not_run token=%u seed=%lu", token,
		     (unsigned long)s->opts->seed);
	JD_INVARIANT(may_run_on(c, node), "what=outside_home token=%u seed=%lu",
		     token, (unsigned long)s->opts->seed);
}

static void on_reply(struct request_sim *s, struct act_reply *r)
{
	struct caller *c = &s->callers[r->caller];

	if (c->gone)
		return;
	JD_INVARIANT(!c->replied, "what=two_replies token=%lu seed=%lu",
		     (unsigned long)r->caller, (unsigned long)s->opts->seed);
	c->replied = true;
	c->outcome = r->outcome;
	s->pending--;
	switch (r->outcome) {
	case OUTCOME_DONE:
		s->result.done++;
		JD_INVARIANT(
			r->answer && strtoul((char *)r->answer->payload.body,
					     NULL, 10) == r->caller,
			"what=crossed token=%lu seed=%lu",
			(unsigned long)r->caller, (unsigned long)s->opts->seed);
		break;
	case OUTCOME_NOT_RUN:
		s->result.not_run++;
		JD_INVARIANT(!c->executed,
			     "what=false_not_run token=%lu seed=%lu",
			     (unsigned long)r->caller,
			     (unsigned long)s->opts->seed);
		break;
	case OUTCOME_UNKNOWN:
	case OUTCOME_COUNT:
		s->result.unknown++;
		break;
	}
}

static void deliver_message(struct request_sim *s, uint32_t node,
			    const struct wire_buf *b, uint64_t delay_ns)
{
	struct sim_event *ev = event_add(s, SIM_MESSAGE, s->now_ns + delay_ns);

	ev->node = node;
	ev->u.message.data = mem_dup(b->data, b->len);
	ev->u.message.len = b->len;
}

static uint32_t node_of_addr(const char *addr)
{
	return (uint32_t)strtoul(addr, NULL, 10);
}

static void check_forward(struct request_sim *s, uint32_t from, uint32_t to,
			  const struct message *m)
{
	const struct caller *c;

	s->result.forwards++;
	c = &s->callers[token_of(m->u.forward.request)];
	JD_INVARIANT(may_run_on(c, from) && may_run_on(c, to),
		     "what=sent_outside_home token=%u seed=%lu",
		     token_of(m->u.forward.request),
		     (unsigned long)s->opts->seed);
}

static void on_send(struct request_sim *s, uint32_t from, struct act_send *send)
{
	const struct message *m = send->message;
	uint32_t to = node_of_addr(send->addr);
	struct wire_buf b;

	if (m->kind != MSG_FORWARD && m->kind != MSG_ANSWER &&
	    m->kind != MSG_CANCEL)
		return;
	if (m->kind == MSG_FORWARD)
		check_forward(s, from, to, m);
	if (chance(s, s->opts->loss_ppm))
		return;
	wire_encode_message(m, &b);
	if (chance(s, s->opts->misdeliver_ppm))
		deliver_message(s, (to + 1) % NODES, &b, HOP_DELAY_NS);
	if (chance(s, s->opts->double_ppm))
		deliver_message(s, to, &b,
				rng_below(&s->rng, LATE_COPY_MAX_NS));
	deliver_message(s, to, &b, rng_below(&s->rng, 4 * HOP_DELAY_NS));
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

/* How a call to an upstream can fail. */
enum upstream_fault {
	FAULT_SHED,		  /* the upstream refuses: not run */
	FAULT_CONNECTION_REFUSED, /* nothing was written */
	FAULT_LOST_AFTER_RUN,	  /* connection lost after the request ran */
	FAULT_LOST_BEFORE_RUN,	  /* lost after a byte, before it ran */
	FAULT_SILENT,		  /* it runs, but no answer by the deadline */
	FAULT_COUNT,
};

static void upstream_fault(struct request_sim *s, struct sim_event *ev,
			   uint32_t token, const struct act_upstream_call *call)
{
	struct ev_upstream_answer *a = &ev->u.upstream;

	a->outcome = OUTCOME_UNKNOWN;
	a->refusal = REFUSAL_CONNECTION_LOST;
	switch ((enum upstream_fault)rng_below(&s->rng, FAULT_COUNT)) {
	case FAULT_SHED:
		a->outcome = OUTCOME_NOT_RUN;
		a->refusal = REFUSAL_UPSTREAM_SHED;
		break;
	case FAULT_CONNECTION_REFUSED:
		a->outcome = OUTCOME_NOT_RUN;
		a->refusal = REFUSAL_UPSTREAM_DOWN;
		break;
	case FAULT_LOST_AFTER_RUN:
		run_on_upstream(s, token, ev->node);
		break;
	case FAULT_LOST_BEFORE_RUN:
	case FAULT_COUNT:
		break;
	case FAULT_SILENT:
		run_on_upstream(s, token, ev->node);
		a->refusal = REFUSAL_NO_ANSWER;
		list_remove(&ev->link);
		event_schedule(s, ev, call->deadline_ns);
		break;
	}
}

static void on_call(struct request_sim *s, uint32_t node,
		    const struct act_upstream_call *call)
{
	uint64_t at = s->now_ns + rng_below(&s->rng, 30 * NS_PER_MS);
	uint32_t token = token_of(call->request);
	struct sim_event *ev = event_add(s, SIM_UPSTREAM_ANSWER, at);
	struct ev_upstream_answer *a = &ev->u.upstream;

	JD_INVARIANT(s->now_ns < call->write_before_ns,
		     "what=wrote_without_lease token=%u", token);
	ev->node = node;
	ev->boot = s->nodes[node]->ctx.boot;
	a->call = call->call;
	if (chance(s, s->opts->fault_ppm)) {
		upstream_fault(s, ev, token, call);
		return;
	}
	run_on_upstream(s, token, node);
	a->outcome = OUTCOME_DONE;
	a->answer = answer_for(token);
}

/* The node closed the call's connection: run or not, its result is unknown. */
static void on_cancel(struct request_sim *s, uint32_t node, uint64_t call)
{
	struct sim_event *ev;

	list_for_each_entry(ev, &s->events, link) {
		if (ev->kind != SIM_UPSTREAM_ANSWER || ev->node != node ||
		    ev->boot != s->nodes[node]->ctx.boot ||
		    ev->u.upstream.call != call)
			continue;
		http_answer_delete(ev->u.upstream.answer);
		ev->u.upstream.answer = NULL;
		ev->u.upstream.outcome = OUTCOME_UNKNOWN;
		ev->u.upstream.refusal = REFUSAL_CONNECTION_LOST;
		return;
	}
}

static void run_action(struct request_sim *s, uint32_t node, struct action *a)
{
	switch (a->kind) {
	case ACT_SEND:
		on_send(s, node, &a->u.send);
		break;
	case ACT_REPLY:
		on_reply(s, &a->u.reply);
		break;
	case ACT_UPSTREAM_CALL:
		on_call(s, node, &a->u.call);
		break;
	case ACT_UPSTREAM_CANCEL:
		on_cancel(s, node, a->u.cancel);
		break;
	case ACT_STORE: /* deliver_doc() replaces the store */
	case ACT_GRANT:
	case ACT_LOG:
	case ACT_EXIT:
		break;
	}
}

static void check_bounds(const struct request_sim *s, uint32_t node)
{
	const struct node *n = s->nodes[node];

	JD_INVARIANT(n->gate.admission.waiting <= QUEUE_MAX,
		     "what=queue node=%u", node);
	JD_INVARIANT(n->router.bytes <= ROUTER_BYTES_MAX &&
			     n->router.count <= ROUTER_PENDING_MAX,
		     "what=memory node=%u", node);
}

static void handle_event(struct request_sim *s, uint32_t node, struct event *ev)
{
	struct actions out;
	struct action *a;

	actions_init(&out);
	ev->now_ns = s->now_ns;
	node_handle(s->nodes[node], ev, &out);
	while ((a = actions_pop(&out))) {
		run_action(s, node, a);
		action_delete(a);
	}
	check_bounds(s, node);
}

static void manifest_fill(struct manifest *m)
{
	struct organisation *o = manifest_add_organisation(m);

	mem_copy_str(o->name, "bound-org", sizeof(o->name));
	o->home_regions.count = 1;
	mem_copy_str(o->home_regions.names[0], "a", JD_NAME_MAX);
	for (uint32_t i = 0; i < ROUTES; i++) {
		struct route *r = manifest_add_route(m);
		char path[JD_NAME_MAX];

		mem_copy_str(r->name, routes[i], sizeof(r->name));
		mem_copy_str(r->service, "svc", sizeof(r->service));
		text_format(path, sizeof(path), "/%s/", routes[i]);
		route_set_path(r, path);
		r->kind = i == 1 ? ROUTE_ANY : ROUTE_KEYED;
		r->key.source = KEY_PATH;
		r->key.segment = 1;
		r->shards = SHARDS;
		r->timeout_ms = ROUTE_TIMEOUT_MS;
		r->max_body_bytes = 4096;
		if (i == 2) {
			r->home_regions.count = 1;
			mem_copy_str(r->home_regions.names[0], "a",
				     JD_NAME_MAX);
		}
	}
}

static struct doc *manifest_doc(struct request_sim *s)
{
	struct doc *d = doc_new(DOC_MANIFEST, "");

	d->revision = ++s->revision;
	d->u.manifest = manifest_new();
	manifest_fill(d->u.manifest);
	return d;
}

static struct doc *roster_doc(struct request_sim *s, uint32_t dc)
{
	struct doc *d = doc_new(DOC_ROSTER, dc ? "dc1" : "dc0");

	d->revision = ++s->revision;
	d->u.roster = roster_new(d->key.name, dc ? "b" : "a");
	for (uint32_t i = dc * 2; i < dc * 2 + 2; i++) {
		struct member *m =
			roster_add(d->u.roster, s->nodes[i]->opts.name,
				   s->nodes[i]->ctx.self);

		mem_copy_str(m->service, "svc", sizeof(m->service));
		mem_copy_str(m->peer_addr, s->nodes[i]->opts.peer_addr,
			     sizeof(m->peer_addr));
		m->term = 1;
	}
	return d;
}

static uint32_t any_node(struct request_sim *s, uint32_t route)
{
	return (uint32_t)rng_below(&s->rng, route == 2 ? 2 : NODES);
}

/* Adds a copy of @d to the view of @node after @delay_ns. */
static void deliver_doc(struct request_sim *s, uint32_t node,
			const struct doc *d, uint64_t delay_ns)
{
	struct sim_event *ev = event_add(s, SIM_DOC, s->now_ns + delay_ns);

	ev->node = node;
	ev->boot = s->nodes[node]->ctx.boot;
	ev->u.doc = doc_copy(d);
}

/* Each node gets the document after a delay of its own. */
static void publish(struct request_sim *s, struct doc *d)
{
	for (uint32_t i = 0; i < NODES; i++)
		deliver_doc(s, i, d, rng_below(&s->rng, VIEW_LAG_MAX_NS));
}

static void move_shard(struct request_sim *s)
{
	uint32_t route = rng_below(&s->rng, 2) ? 2 : 0;
	struct doc *d = s->maps[route];
	struct shard *sh = &d->u.map->shards[rng_below(&s->rng, SHARDS)];

	d->revision = ++s->revision;
	if (rng_below(&s->rng, 4) == 0 && !sh->target)
		sh->target = s->nodes[any_node(s, route)]->ctx.self;
	else
		shard_assign(sh, s->nodes[any_node(s, route)]->ctx.self);
	publish(s, d);
	s->result.moves++;
}

static bool is_live(const struct request_sim *s, incarnation_t inc)
{
	for (uint32_t i = 0; i < NODES; i++)
		if (s->nodes[i]->ctx.self == inc)
			return true;
	return false;
}

/* Ends planned moves and reassigns the shards of incarnations that are gone. */
static void finish_moves(struct request_sim *s, uint32_t route)
{
	struct doc *d = s->maps[route];

	d->revision = ++s->revision;
	for (uint32_t i = 0; i < SHARDS; i++) {
		struct shard *sh = &d->u.map->shards[i];

		if (sh->target && is_live(s, sh->target))
			shard_assign(sh, sh->target);
		else if (sh->target || !is_live(s, sh->owner))
			shard_assign(sh,
				     s->nodes[any_node(s, route)]->ctx.self);
	}
	publish(s, d);
}

static void announce(struct request_sim *s, uint32_t node)
{
	struct event ev = {.kind = EV_ANNOUNCEMENT};

	mem_copy_str(ev.u.announce.service, "svc", JD_NAME_MAX);
	mem_copy_str(ev.u.announce.addr, "up", JD_ADDR_MAX);
	ev.u.announce.instance = 1 + node;
	ev.u.announce.slots = SLOTS;
	ev.u.announce.connections = SLOTS;
	handle_event(s, node, &ev);
}

static void node_start(struct request_sim *s, uint32_t i)
{
	struct node_opts o = {.timing = timing_default,
			      .seed = rng_next(&s->rng)};
	struct node *n;

	text_format(o.name, sizeof(o.name), "n%u", i);
	text_format(o.dc, sizeof(o.dc), "dc%u", i / 2);
	text_format(o.peer_addr, sizeof(o.peer_addr), "%u", i);
	mem_copy_str(o.region, regions[i], sizeof(o.region));
	n = node_new(&o);
	n->membership.state = MEMBERSHIP_IN;
	n->membership.heard_ns = s->now_ns;
	lease_confirm(&n->membership.lease, s->now_ns, LEASE_NS);
	s->nodes[i] = n;
}

/*
 * Callers of a node that restarts lose their connections. Its upstream calls go
 * on, but the new process gets no answers to them.
 */
static void disconnect_callers(struct request_sim *s, uint32_t node)
{
	for (uint32_t i = 0; i < s->next_caller; i++) {
		struct caller *c = &s->callers[i];

		if (c->node != node || c->replied || c->gone)
			continue;
		c->gone = true;
		s->result.gone++;
		s->pending--;
	}
}

static void count_node(struct request_sim *s, const struct node *n)
{
	s->result.doubled += n->gate.doubled;
	s->result.unmatched += n->router.unmatched;
}

static void view_fill(struct request_sim *s, uint32_t node)
{
	struct view *v = &s->nodes[node]->ctx.view;

	view_apply(v, manifest_doc(s));
	for (uint32_t i = 0; i < 2; i++)
		view_apply(v, doc_copy(s->rosters[i]));
	for (uint32_t i = 0; i < ROUTES; i++)
		if (s->maps[i])
			view_apply(v, doc_copy(s->maps[i]));
}

static void restart_node(struct request_sim *s, uint32_t node)
{
	uint32_t dc = node / 2;

	disconnect_callers(s, node);
	count_node(s, s->nodes[node]);
	node_delete(s->nodes[node]);
	node_start(s, node);
	doc_delete(s->rosters[dc]);
	s->rosters[dc] = roster_doc(s, dc);
	view_fill(s, node);
	announce(s, node);
	publish(s, s->rosters[dc]);
	s->result.restarts++;
}

static void lapse_lease(struct request_sim *s, uint32_t node)
{
	struct sim_event *ev = event_add(
		s, SIM_LEASE, s->now_ns + rng_below(&s->rng, 300 * NS_PER_MS));

	ev->node = node;
	s->nodes[node]->membership.lease.deadline_ns = s->now_ns;
}

static void change_fleet(struct request_sim *s)
{
	uint32_t node = (uint32_t)rng_below(&s->rng, NODES);

	finish_moves(s, 0);
	finish_moves(s, 2);
	switch (rng_below(&s->rng, 8)) {
	case 0:
		restart_node(s, node);
		break;
	case 1:
	case 2:
		lapse_lease(s, node);
		break;
	default:
		move_shard(s);
		break;
	}
	if (s->next_caller < s->opts->requests)
		event_add(s, SIM_CHURN,
			  s->now_ns + s->opts->churn_ms * NS_PER_MS);
}

static struct http_request *new_request(struct request_sim *s, uint32_t token,
					struct caller *c)
{
	static const char *const methods[] = {"GET", "POST", "POST", "PUT"};
	const char *method = methods[rng_below(&s->rng, 4)];
	struct http_request *r;
	char text[64];

	c->route = (uint32_t)rng_below(&s->rng, ROUTES);
	c->org_bound = rng_below(&s->rng, 4) == 0;
	c->idempotent = strcmp(method, "POST") != 0;
	text_format(text, sizeof(text), "/%s/%lu", routes[c->route],
		    (unsigned long)rng_below(&s->rng, 64));
	r = http_request_new(method, text);
	text_format(text, sizeof(text), "%u", token);
	payload_add_header(&r->payload, TOKEN_HEADER, text);
	if (c->org_bound)
		payload_add_header(&r->payload, ORG_HEADER, "bound-org");
	return r;
}

static void send_request(struct request_sim *s)
{
	uint32_t token = s->next_caller++;
	struct caller *c = &s->callers[token];
	struct event ev = {.kind = EV_REQUEST};

	c->node = (uint32_t)rng_below(&s->rng, NODES);
	ev.u.request.caller = token;
	ev.u.request.request = new_request(s, token, c);
	s->pending++;
	s->result.requests++;
	if (s->next_caller < s->opts->requests)
		event_add(s, SIM_REQUEST,
			  s->now_ns +
				  rng_below(&s->rng, 2 * REQUEST_INTERVAL_NS));
	if (chance(s, s->opts->gone_ppm))
		event_add(s, SIM_DISCONNECT,
			  s->now_ns + rng_below(&s->rng, 50 * NS_PER_MS))
			->u.caller = token;
	handle_event(s, c->node, &ev);
}

static void disconnect_caller(struct request_sim *s, uint32_t token)
{
	struct caller *c = &s->callers[token];
	struct event ev = {.kind = EV_CALLER_DISCONNECTED,
			   .u.caller_disconnected.caller = token};

	if (c->replied || c->gone)
		return;
	c->gone = true;
	s->result.gone++;
	s->pending--;
	handle_event(s, c->node, &ev);
}

static void on_message(struct request_sim *s, struct sim_event *in)
{
	struct event ev = {.kind = EV_MESSAGE};
	struct status st;

	ev.u.message =
		wire_decode_message(in->u.message.data, in->u.message.len, &st);
	JD_INVARIANT(ev.u.message, "what=codec");
	handle_event(s, in->node, &ev);
}

static void on_upstream_answer(struct request_sim *s, struct sim_event *in)
{
	struct event ev = {.kind = EV_UPSTREAM_ANSWER,
			   .u.upstream_answer = in->u.upstream};

	in->u.upstream.answer = NULL;
	handle_event(s, in->node, &ev);
}

static void on_tick(struct request_sim *s)
{
	for (uint32_t i = 0; i < NODES; i++) {
		announce(s, i);
		handle_event(s, i, &(struct event){.kind = EV_TICK});
	}
	event_add(s, SIM_TICK, s->now_ns + TICK_INTERVAL_NS);
}

static void on_announce(struct request_sim *s)
{
	for (uint32_t i = 0; i < NODES; i++)
		announce(s, i);
	event_add(s, SIM_ANNOUNCE, s->now_ns + ANNOUNCE_INTERVAL_NS);
}

static void run_event(struct request_sim *s, struct sim_event *ev)
{
	struct node *n = s->nodes[ev->node];

	if (ev->boot && ev->boot != n->ctx.boot)
		return;
	switch (ev->kind) {
	case SIM_MESSAGE:
		on_message(s, ev);
		break;
	case SIM_UPSTREAM_ANSWER:
		on_upstream_answer(s, ev);
		break;
	case SIM_DOC:
		view_apply(&n->ctx.view, ev->u.doc);
		ev->u.doc = NULL;
		if (s->revision > n->ctx.view.revision)
			n->ctx.view.revision = s->revision;
		break;
	case SIM_REQUEST:
		send_request(s);
		break;
	case SIM_DISCONNECT:
		disconnect_caller(s, ev->u.caller);
		break;
	case SIM_CHURN:
		change_fleet(s);
		break;
	case SIM_LEASE:
		lease_confirm(&n->membership.lease, s->now_ns, LEASE_NS);
		break;
	case SIM_ANNOUNCE:
		on_announce(s);
		break;
	case SIM_TICK:
		on_tick(s);
		break;
	}
}

static void sim_start(struct request_sim *s)
{
	for (uint32_t i = 0; i < NODES; i++)
		node_start(s, i);
	for (uint32_t i = 0; i < 2; i++)
		s->rosters[i] = roster_doc(s, i);
	for (uint32_t i = 0; i < ROUTES; i += 2) {
		struct doc *d = doc_new(DOC_MAP, routes[i]);

		d->revision = ++s->revision;
		d->u.map = shard_map_new(routes[i], SHARDS);
		for (uint32_t k = 0; k < SHARDS; k++)
			shard_assign(&d->u.map->shards[k],
				     s->nodes[any_node(s, i)]->ctx.self);
		s->maps[i] = d;
	}
	for (uint32_t i = 0; i < NODES; i++)
		view_fill(s, i);
	on_announce(s);
	event_add(s, SIM_TICK, s->now_ns);
	event_add(s, SIM_REQUEST, s->now_ns);
	event_add(s, SIM_CHURN, s->now_ns + s->opts->churn_ms * NS_PER_MS);
}

static void sim_done(struct request_sim *s)
{
	struct sim_event *ev, *tmp;

	list_for_each_entry_safe(ev, tmp, &s->events, link)
		event_delete(ev);
	for (uint32_t i = 0; i < NODES; i++) {
		count_node(s, s->nodes[i]);
		node_delete(s->nodes[i]);
	}
	for (uint32_t i = 0; i < ROUTES; i++)
		doc_delete(s->maps[i]);
	doc_delete(s->rosters[0]);
	doc_delete(s->rosters[1]);
	free(s->callers);
}

struct request_sim_result request_sim_run(const struct request_sim_opts *o)
{
	struct request_sim s = {.opts = o, .now_ns = NS_PER_S};
	uint64_t end_ns = UINT64_MAX;

	rng_init(&s.rng, o->seed);
	list_init(&s.events);
	s.callers = mem_zalloc(o->requests, sizeof(*s.callers));
	sim_start(&s);
	while (s.now_ns < end_ns) {
		struct sim_event *ev =
			list_entry(s.events.next, struct sim_event, link);

		JD_INVARIANT(ev->at_ns >= s.now_ns, "what=order");
		s.now_ns = ev->at_ns;
		run_event(&s, ev);
		event_delete(ev);
		if (s.next_caller == o->requests && end_ns == UINT64_MAX)
			end_ns = s.now_ns + 2 * LATE_COPY_MAX_NS;
	}
	JD_INVARIANT(!s.pending, "what=no_reply live=%u seed=%lu", s.pending,
		     (unsigned long)o->seed);
	sim_done(&s);
	return s.result;
}
