#include "core/router.h"

#include <stdlib.h>
#include <string.h>

#include "core/home_region.h"
#include "core/invariant.h"
#include "core/mem.h"
#include "core/request_key.h"

#define RETRY_NS	     (20 * NS_PER_MS)
#define EXPIRY_NS	     (50 * NS_PER_MS)
#define RETRY_AFTER_S	     1
/*
 * An attempt ends that much before the caller's deadline, so that a not_run
 * at the last moment still reaches the caller: at most an eighth of the time.
 */
#define ANSWER_RESERVE_NS    (20 * NS_PER_MS)
#define ANSWER_RESERVE_SHARE 8

void router_init(struct router *r)
{
	memset(r, 0, sizeof(*r));
	for (int i = 0; i < ROUTER_BUCKETS; i++) {
		list_init(&r->buckets[i]);
		list_init(&r->callers[i]);
	}
	list_init(&r->held);
	burn_init(&r->burn);
	pools_init(&r->pools);
	retry_budget_init(&r->budget);
	r->next_id = 1;
	r->next_sequence = 1;
}

static void entry_delete(struct router *r, struct entry *e)
{
	list_remove(&e->link);
	list_remove(&e->by_caller);
	list_remove(&e->held);
	http_request_delete(e->request);
	r->bytes -= e->bytes;
	free(e);
	r->count--;
}

void router_done(struct router *r)
{
	for (int i = 0; i < ROUTER_BUCKETS; i++) {
		struct entry *e, *tmp;

		list_for_each_entry_safe(e, tmp, &r->buckets[i], link)
			entry_delete(r, e);
	}
	burn_done(&r->burn);
	pools_done(&r->pools);
}

static struct list *bucket(struct router *r, uint64_t counter)
{
	return &r->buckets[counter % ROUTER_BUCKETS];
}

static struct list *caller_bucket(struct router *r, uint64_t caller)
{
	return &r->callers[caller % ROUTER_BUCKETS];
}

static struct entry *find(struct router *r, uint64_t counter)
{
	struct entry *e;

	list_for_each_entry(e, bucket(r, counter), link)
		if (e->id.counter == counter)
			return e;
	return NULL;
}

struct reply {
	uint64_t caller;
	enum outcome outcome;
	enum refusal refusal;
	incarnation_t served_by;
	const struct home *home; /* of one that must go elsewhere; or NULL */
	const char *route;	 /* NULL: none was found */
	const char *organisation;
	uint64_t received_ns;
	struct http_answer *answer; /* taken */
};

/* Tells the caller where its request may go. */
static void name_home(const struct ctx *c, const struct home *home,
		      struct act_reply *a)
{
	const char *region = home_permitted(home);
	const struct doc *d = NULL;

	if (!region)
		return;
	mem_copy_str(a->region, region, sizeof(a->region));
	while ((d = view_next(&c->view, DOC_ROSTER, d))) {
		const struct member *m;

		if (strcmp(d->u.roster->region, region) != 0)
			continue;
		list_for_each_entry(m, &d->u.roster->members, link)
			if (m->state == MEMBER_UP)
				mem_copy_str(a->entry_addr, m->http_addr,
					     sizeof(a->entry_addr));
	}
}

/* Answers below 500 to what did not run are the caller's own faults. */
static bool is_callers_fault(const struct reply *p)
{
	return p->outcome == OUTCOME_NOT_RUN &&
	       refusal_find(p->refusal)->http_code < 500;
}

/* Good is an answer within the route's objective; all else burns budget. */
static void count_burn(struct router *r, const struct ctx *c,
		       const struct reply *p)
{
	const struct manifest *mf = view_manifest(&c->view);
	const struct route *route =
		mf && p->route ? manifest_route(mf, p->route) : NULL;
	const struct organisation *o;

	if (!route || is_callers_fault(p))
		return;
	o = manifest_organisation(mf, p->organisation);
	burn_add(&r->burn,
		 &(struct burn_event){
			 .route = route->name,
			 .organisation = o ? o->name : "",
			 .now_ns = c->now_ns,
			 .good = p->outcome == OUTCOME_DONE &&
				 c->now_ns - p->received_ns <=
					 route->objective_ms * NS_PER_MS,
		 });
}

static void reply(struct router *r, struct ctx *c, const struct reply *p)
{
	struct act_reply *a = &actions_add(c->out, ACT_REPLY)->u.reply;
	const struct member *m = view_member(&c->view, p->served_by, NULL);

	a->caller = p->caller;
	a->outcome = p->outcome;
	a->refusal = p->refusal;
	a->answer = p->answer;
	if (m)
		mem_copy_str(a->served_by, m->name, sizeof(a->served_by));
	if (p->outcome == OUTCOME_NOT_RUN &&
	    refusal_find(p->refusal)->http_code == 503)
		a->retry_after_s = RETRY_AFTER_S;
	if (p->home)
		name_home(c, p->home, a);
	count_burn(r, c, p);
	r->outcomes[p->outcome]++;
	if (!p->answer)
		r->reasons[p->refusal]++;
}

/* A not_run is true only if every attempt ended in one. */
static void finish(struct router *r, struct ctx *c, struct entry *e,
		   struct reply *p)
{
	if (e->may_have_run && p->outcome == OUTCOME_NOT_RUN)
		p->outcome = OUTCOME_UNKNOWN;
	p->caller = e->caller;
	p->route = e->route;
	p->organisation = e->organisation;
	p->received_ns = e->received_ns;
	reply(r, c, p);
	entry_delete(r, e);
}

static void hold(struct router *r, struct ctx *c, struct entry *e,
		 enum refusal why)
{
	e->state = ENTRY_HELD;
	e->refusal = why;
	e->retry_ns = c->now_ns + RETRY_NS;
	list_remove(&e->held);
	list_push_back(&r->held, &e->held);
}

/* Any endpoint of the service but the one that was tried last. */
static incarnation_t choose_any(struct router *r, struct ctx *c,
				struct entry *e, const struct home *home)
{
	struct balancer *b;
	incarnation_t to;

	e->pool = pools_get(&r->pools, c, home);
	b = &e->pool->balancer;
	to = balancer_choose(b, e->at, &c->rng, c->now_ns);
	return to ? to : balancer_choose(b, 0, &c->rng, c->now_ns);
}

/* The owner of the entry's key; 0 and a reason when none may serve it. */
static incarnation_t choose_owner(struct ctx *c, const struct entry *e,
				  const struct home *home, enum refusal *why)
{
	const struct shard_map *map = view_map(&c->view, home->route->name);
	const struct roster *ro = NULL;
	const struct shard *sh;

	*why = REFUSAL_NO_OWNER;
	if (!map)
		return 0;
	sh = shard_map_find(map, e->key);
	if (sh->target) {
		*why = REFUSAL_MOVING;
		return 0;
	}
	if (!view_member(&c->view, sh->owner, &ro))
		return 0;
	return home_allows(home, ro->region) ? sh->owner : 0;
}

/* The gate for the next attempt; 0 and a reason when there is none. */
static incarnation_t choose(struct router *r, struct ctx *c, struct entry *e,
			    const struct home *home, enum refusal *why)
{
	e->pool = NULL;
	switch (home->route->kind) {
	case ROUTE_KEYED:
		return choose_owner(c, e, home, why);
	case ROUTE_ANY:
		*why = REFUSAL_NO_OWNER;
		return choose_any(r, c, e, home);
	}
	return 0;
}

static uint64_t attempt_time_left(const struct entry *e, uint64_t now_ns)
{
	uint64_t left = e->deadline_ns - now_ns;
	uint64_t reserve = left / ANSWER_RESERVE_SHARE;

	return left -
	       (reserve < ANSWER_RESERVE_NS ? reserve : ANSWER_RESERVE_NS);
}

static void fill_forward(struct msg_forward *f, const struct entry *e,
			 const struct ctx *c)
{
	f->id = e->id;
	f->attempt = e->attempt;
	f->time_left_ns = attempt_time_left(e, c->now_ns);
	f->idempotent = e->idempotent;
	mem_copy_str(f->reply_to, c->opts->peer_addr, sizeof(f->reply_to));
	mem_copy_str(f->route, e->route, sizeof(f->route));
	mem_copy_str(f->key, e->key, sizeof(f->key));
	mem_copy_str(f->organisation, e->organisation, sizeof(f->organisation));
	f->request = http_request_ref(e->request);
}

static void run_local(struct ctx *c, struct gate *g, const struct lease *lease,
		      const struct entry *e)
{
	struct msg_forward f = {0};

	fill_forward(&f, e, c);
	gate_submit(g, c, lease, &f, c->boot);
}

static void run_remote(struct router *r, struct ctx *c, const struct entry *e,
		       const struct member *m)
{
	struct message *msg = message_new(MSG_FORWARD);

	fill_forward(&msg->u.forward, e, c);
	msg->u.forward.sequence = r->next_sequence++;
	ctx_send(c, m->inc, m->peer_addr, msg);
	msg->from = c->boot;
}

static void start_attempt(struct router *r, struct ctx *c, struct gate *g,
			  const struct lease *lease, struct entry *e,
			  const struct member *m)
{
	JD_INVARIANT(e->idempotent || !e->may_have_run,
		     "id=%016lx-%lu attempt=%u", (unsigned long)e->id.node,
		     (unsigned long)e->id.counter, e->attempt);
	list_remove(&e->held);
	e->state = ENTRY_FORWARDED;
	e->at = m->inc;
	e->attempt++;
	e->local = m->inc == c->self;
	e->started_ns = c->now_ns;
	if (e->attempt == 1)
		retry_budget_deposit(&r->budget);
	if (e->pool)
		balancer_on_start(&e->pool->balancer, e->at, c->now_ns);
	if (e->local)
		run_local(c, g, lease, e);
	else
		run_remote(r, c, e, m);
}

static void end_not_run(struct router *r, struct ctx *c, struct entry *e,
			enum refusal why, const struct home *home)
{
	finish(r, c, e,
	       &(struct reply){.outcome = OUTCOME_NOT_RUN,
			       .refusal = why,
			       .home = home});
}

/* Starts the next attempt, holds the entry or ends it. */
static void dispatch(struct router *r, struct ctx *c, struct gate *g,
		     const struct lease *lease, struct entry *e)
{
	const struct manifest *mf = view_manifest(&c->view);
	enum refusal why = REFUSAL_NO_MANIFEST;
	const struct member *m;
	struct home home;

	if (c->now_ns >= e->deadline_ns) {
		end_not_run(r, c, e,
			    e->refusal == REFUSAL_NONE ? REFUSAL_DEADLINE
						       : e->refusal,
			    NULL);
		return;
	}
	if (mf)
		why = home_find(&home, mf, e->route, e->organisation);
	if (why != REFUSAL_NONE) {
		hold(r, c, e, why);
		return;
	}
	if (!home_allows(&home, c->opts->region)) {
		end_not_run(r, c, e, REFUSAL_HOME_REGION, &home);
		return;
	}
	m = view_member(&c->view, choose(r, c, e, &home, &why), NULL);
	if (m)
		start_attempt(r, c, g, lease, e, m);
	else
		hold(r, c, e, why);
}

/* What the checks of a new request found out. */
struct intake {
	struct home home;
	uint64_t timeout_ms;
	char key[JD_KEY_MAX];
};

/* The name that the caller gives, empty for none. */
static const char *organisation(const struct http_request *req)
{
	const char *name = payload_header(&req->payload, HEADER_ORGANISATION);

	return name ? name : "";
}

static size_t request_bytes(const struct http_request *req)
{
	return sizeof(struct entry) + strlen(req->target) +
	       req->payload.body_len;
}

static struct entry *entry_new(struct router *r, struct ctx *c,
			       const struct intake *in, struct ev_request *ev)
{
	struct entry *e = mem_new(struct entry);

	list_init(&e->held);
	e->id.node = c->boot;
	e->id.counter = r->next_id++;
	e->caller = ev->caller;
	e->received_ns = c->now_ns;
	e->idempotent = route_idempotent(in->home.route, ev->request->method);
	mem_copy_str(e->route, in->home.route->name, sizeof(e->route));
	mem_copy_str(e->key, in->key, sizeof(e->key));
	mem_copy_str(e->organisation, organisation(ev->request),
		     sizeof(e->organisation));
	e->deadline_ns = c->now_ns + in->timeout_ms * NS_PER_MS;
	e->request = ev->request;
	ev->request = NULL;
	request_strip_reserved_headers(e->request);
	e->bytes = request_bytes(e->request);
	list_push_back(bucket(r, e->id.counter), &e->link);
	list_push_back(caller_bucket(r, e->caller), &e->by_caller);
	r->count++;
	r->bytes += e->bytes;
	return e;
}

static enum refusal check_key(const struct http_request *req, struct intake *in)
{
	const struct route *route = in->home.route;

	if (route->kind == ROUTE_KEYED &&
	    !request_key(req, &route->key, in->key, sizeof(in->key)))
		return REFUSAL_NO_KEY;
	if (!request_deadline(req, &in->timeout_ms))
		return REFUSAL_BAD_DEADLINE;
	if (!in->timeout_ms || in->timeout_ms > route->timeout_ms)
		in->timeout_ms = route->timeout_ms;
	return REFUSAL_NONE;
}

static enum refusal check_request(const struct router *r, const struct ctx *c,
				  const struct ev_request *ev,
				  struct intake *in)
{
	const struct manifest *mf = view_manifest(&c->view);
	const struct http_request *req = ev->request;
	const struct route *route;
	enum refusal why;

	if (r->leaving)
		return REFUSAL_LEAVING;
	if (!mf)
		return REFUSAL_NO_MANIFEST;
	route = manifest_match(mf, req->target);
	if (!route)
		return REFUSAL_NO_ROUTE;
	why = home_find(&in->home, mf, route->name, organisation(req));
	if (why != REFUSAL_NONE)
		return why;
	if (!home_allows(&in->home, c->opts->region))
		return REFUSAL_HOME_REGION;
	if (ev->oversized || req->payload.body_len > route->max_body_bytes)
		return REFUSAL_TOO_LARGE;
	if (r->count >= ROUTER_PENDING_MAX ||
	    r->bytes + request_bytes(req) > ROUTER_BYTES_MAX)
		return REFUSAL_QUEUE_FULL;
	return check_key(req, in);
}

void router_on_request(struct router *r, struct ctx *c, struct gate *g,
		       const struct lease *lease, struct ev_request *ev)
{
	struct intake in = {0};
	enum refusal why = check_request(r, c, ev, &in);
	struct entry *e;

	r->requests++;
	if (why != REFUSAL_NONE) {
		reply(r, c,
		      &(struct reply){
			      .caller = ev->caller,
			      .outcome = OUTCOME_NOT_RUN,
			      .refusal = why,
			      .route = in.home.route ? in.home.route->name
						     : NULL,
			      .organisation = organisation(ev->request),
			      .received_ns = c->now_ns,
			      .home = why == REFUSAL_HOME_REGION ? &in.home
								 : NULL});
		http_request_delete(ev->request);
		ev->request = NULL;
		return;
	}
	e = entry_new(r, c, &in, ev);
	dispatch(r, c, g, lease, e);
}

static void attempt_over(const struct entry *e, const struct ctx *c,
			 enum attempt_end end)
{
	if (e->pool && e->state == ENTRY_FORWARDED)
		balancer_on_end(&e->pool->balancer, e->at, end,
				c->now_ns - e->started_ns, c->now_ns);
}

static enum attempt_end attempt_end(const struct msg_answer *a)
{
	if (a->outcome == OUTCOME_DONE)
		return ATTEMPT_ANSWERED;
	switch (a->refusal) {
	case REFUSAL_QUEUE_FULL:
	case REFUSAL_UPSTREAM_SHED:
		return ATTEMPT_REFUSED;
	case REFUSAL_DEADLINE:
	case REFUSAL_NO_ANSWER:
		return ATTEMPT_CANCELLED;
	default:
		return ATTEMPT_FAILED;
	}
}

/* Retries after these reach an upstream that has too much already. */
static bool costs_upstream(enum refusal refusal)
{
	return refusal == REFUSAL_QUEUE_FULL ||
	       refusal == REFUSAL_UPSTREAM_SHED ||
	       refusal == REFUSAL_UPSTREAM_DOWN ||
	       refusal == REFUSAL_CONNECTION_LOST;
}

/* Another attempt is safe after "not run", or when running twice is. */
static bool retry_is_safe(const struct entry *e, const struct msg_answer *a)
{
	if (a->outcome == OUTCOME_NOT_RUN)
		return refusal_find(a->refusal)->retry ||
		       (e->pool && a->refusal == REFUSAL_QUEUE_FULL);
	return a->outcome == OUTCOME_UNKNOWN && e->idempotent &&
	       a->refusal == REFUSAL_CONNECTION_LOST;
}

static bool may_retry(struct router *r, const struct entry *e,
		      const struct msg_answer *a, const struct ctx *c)
{
	if (c->now_ns >= e->deadline_ns || !retry_is_safe(e, a))
		return false;
	return !costs_upstream(a->refusal) ||
	       retry_budget_withdraw(&r->budget, c->now_ns);
}

/* Another endpoint may take it at once. */
static void retry_elsewhere(struct router *r, const struct ctx *c,
			    struct entry *e)
{
	if (!e->pool)
		return;
	e->retry_ns = c->now_ns;
	list_remove(&e->held);
	list_push_front(&r->held, &e->held);
}

void router_on_answer(struct router *r, struct ctx *c, incarnation_t from,
		      struct msg_answer *a)
{
	struct entry *e = find(r, a->id.counter);

	if (!e || a->id.node != c->boot || e->attempt != a->attempt ||
	    e->state != ENTRY_FORWARDED || (from && e->at != from)) {
		r->unmatched++;
		http_answer_delete(a->answer);
		a->answer = NULL;
		return;
	}
	if (a->outcome == OUTCOME_UNKNOWN)
		e->may_have_run = true;
	attempt_over(e, c, attempt_end(a));
	if (may_retry(r, e, a, c)) {
		hold(r, c, e, a->refusal);
		if (costs_upstream(a->refusal))
			retry_elsewhere(r, c, e);
		return;
	}
	if (a->answer)
		answer_strip_reserved_headers(a->answer);
	finish(r, c, e,
	       &(struct reply){.outcome = a->outcome,
			       .refusal = a->refusal,
			       .served_by = e->at,
			       .answer = a->answer});
	a->answer = NULL;
}

static void cancel(struct ctx *c, struct gate *g, const struct entry *e)
{
	struct msg_cancel m = {.id = e->id, .attempt = e->attempt};
	const struct member *to;
	struct message *msg;

	if (e->state != ENTRY_FORWARDED)
		return;
	if (e->local) {
		gate_on_cancel(g, c, &m);
		return;
	}
	to = view_member(&c->view, e->at, NULL);
	if (!to)
		return;
	msg = message_new(MSG_CANCEL);
	msg->u.cancel = m;
	ctx_send(c, to->inc, to->peer_addr, msg);
}

void router_on_caller_disconnected(struct router *r, struct ctx *c,
				   struct gate *g, uint64_t caller)
{
	struct entry *e, *tmp;

	list_for_each_entry_safe(e, tmp, caller_bucket(r, caller), by_caller) {
		if (e->caller != caller)
			continue;
		attempt_over(e, c, ATTEMPT_CANCELLED);
		cancel(c, g, e);
		entry_delete(r, e);
	}
}

static void expire(struct router *r, struct ctx *c, struct gate *g)
{
	if (c->now_ns < r->next_expiry_ns)
		return;
	r->next_expiry_ns = c->now_ns + EXPIRY_NS;
	for (int i = 0; i < ROUTER_BUCKETS; i++) {
		struct entry *e, *tmp;

		list_for_each_entry_safe(e, tmp, &r->buckets[i], link) {
			struct reply p = {.outcome = OUTCOME_NOT_RUN,
					  .refusal = e->refusal};

			if (c->now_ns < e->deadline_ns)
				continue;
			if (e->state == ENTRY_FORWARDED) {
				p.outcome = OUTCOME_UNKNOWN;
				p.refusal = REFUSAL_NO_ANSWER;
			}
			attempt_over(e, c, ATTEMPT_CANCELLED);
			cancel(c, g, e);
			finish(r, c, e, &p);
		}
	}
}

/* An idempotent request whose gate is gone need not wait for it. */
static void give_up_lost(struct router *r, struct ctx *c)
{
	if (c->view.revision == r->lost_revision)
		return;
	r->lost_revision = c->view.revision;
	for (int i = 0; i < ROUTER_BUCKETS; i++) {
		struct entry *e;

		list_for_each_entry(e, &r->buckets[i], link) {
			if (e->state != ENTRY_FORWARDED || !e->idempotent ||
			    view_member(&c->view, e->at, NULL))
				continue;
			e->may_have_run = true;
			attempt_over(e, c, ATTEMPT_FAILED);
			hold(r, c, e, REFUSAL_NO_OWNER);
		}
	}
}

/* Held entries are in the order of their next try; a new view tries all. */
static void collect_due(struct router *r, const struct ctx *c, struct list *due)
{
	bool all = r->held_revision != c->view.revision;
	struct entry *e, *tmp;

	r->held_revision = c->view.revision;
	list_for_each_entry_safe(e, tmp, &r->held, held) {
		if (!all && c->now_ns < e->retry_ns)
			return;
		list_remove(&e->held);
		list_push_back(due, &e->held);
	}
}

void router_work(struct router *r, struct ctx *c, struct gate *g,
		 const struct lease *lease)
{
	struct list due;

	if (c->now_ns >= r->next_expiry_ns)
		give_up_lost(r, c);
	expire(r, c, g);
	list_init(&due);
	collect_due(r, c, &due);
	while (!list_empty(&due)) {
		struct entry *e = list_entry(due.next, struct entry, held);

		list_remove(&e->held);
		dispatch(r, c, g, lease, e);
	}
}

uint64_t router_next_ns(const struct router *r)
{
	if (!r->count)
		return DEADLINE_NEVER;
	if (list_empty(&r->held))
		return r->next_expiry_ns;
	return list_entry(r->held.next, struct entry, held)->retry_ns;
}
