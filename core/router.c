#include "core/router.h"

#include <stdlib.h>
#include <string.h>

#include "core/home_region.h"
#include "core/invariant.h"
#include "core/mem.h"
#include "core/request_key.h"

#define RETRY_INTERVAL_NS      (20 * NS_PER_MS)
#define EXPIRY_INTERVAL_NS     (50 * NS_PER_MS)
#define RETRY_AFTER_S	       1
/*
 * An attempt ends this long before the caller's deadline, but at most an eighth
 * of the time left, so that a not_run at the last moment still reaches the
 * caller.
 */
#define ANSWER_RESERVE_MAX_NS  (20 * NS_PER_MS)
#define ANSWER_RESERVE_DIVISOR 8

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

static void pending_delete(struct router *r, struct pending_request *pr)
{
	list_remove(&pr->link);
	list_remove(&pr->by_caller);
	list_remove(&pr->held);
	http_request_unref(pr->request);
	r->bytes -= pr->bytes;
	free(pr);
	r->count--;
}

void router_done(struct router *r)
{
	for (int i = 0; i < ROUTER_BUCKETS; i++) {
		struct pending_request *pr, *tmp;

		list_for_each_entry_safe(pr, tmp, &r->buckets[i], link)
			pending_delete(r, pr);
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

static struct pending_request *find_pending(struct router *r, uint64_t counter)
{
	struct pending_request *pr;

	list_for_each_entry(pr, bucket(r, counter), link)
		if (pr->id.counter == counter)
			return pr;
	return NULL;
}

struct reply {
	uint64_t caller;
	enum outcome outcome;
	enum refusal refusal;
	incarnation_t served_by;
	const struct home *home; /* set if it must go to another region */
	const char *route;	 /* NULL: no route was found */
	const char *organisation;
	uint64_t received_ns;
	struct http_answer *answer; /* ownership passes to the action */
};

/* Adds a region that the request may go to, and an entry node there. */
static void add_permitted_region(const struct ctx *c, const struct home *home,
				 struct act_reply *a)
{
	const char *region = home_allowed_region(home);
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

/* A status below 500 for a request that did not run is the caller's error. */
static bool is_caller_error(const struct reply *p)
{
	return p->outcome == OUTCOME_NOT_RUN &&
	       refusal_find(p->refusal)->http_code < 500;
}

/*
 * Counts the request as good if it was answered within the route's objective,
 * else as bad. Errors of the caller don't count.
 */
static void record_objective(struct router *r, const struct ctx *c,
			     const struct reply *p)
{
	const struct manifest *mf = view_manifest(&c->view);
	const struct route *route =
		mf && p->route ? manifest_route(mf, p->route) : NULL;
	const struct organisation *o;

	if (!route || is_caller_error(p))
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
		add_permitted_region(c, p->home, a);
	record_objective(r, c, p);
	r->outcomes[p->outcome]++;
	if (!p->answer)
		r->reasons[p->refusal]++;
}

/* The outcome is not_run only if every attempt ended so. */
static void finish(struct router *r, struct ctx *c, struct pending_request *pr,
		   struct reply *p)
{
	if (pr->may_have_run && p->outcome == OUTCOME_NOT_RUN)
		p->outcome = OUTCOME_UNKNOWN;
	p->caller = pr->caller;
	p->route = pr->route;
	p->organisation = pr->organisation;
	p->received_ns = pr->received_ns;
	reply(r, c, p);
	pending_delete(r, pr);
}

static void hold(struct router *r, struct ctx *c, struct pending_request *pr,
		 enum refusal why)
{
	pr->state = PENDING_HELD;
	pr->last_refusal = why;
	pr->retry_at_ns = c->now_ns + RETRY_INTERVAL_NS;
	list_remove(&pr->held);
	list_push_back(&r->held, &pr->held);
}

/* Prefers any endpoint of the service to the one of the last attempt. */
static incarnation_t choose_endpoint(struct router *r, struct ctx *c,
				     struct pending_request *pr,
				     const struct home *home)
{
	struct balancer *b;
	incarnation_t to;

	pr->pool = pools_get(&r->pools, c, home);
	b = &pr->pool->balancer;
	to = balancer_choose(b, pr->gate, &c->rng, c->now_ns);
	return to ? to : balancer_choose(b, 0, &c->rng, c->now_ns);
}

/* The owner of the key; 0 and a reason when no owner may serve it. */
static incarnation_t choose_owner(struct ctx *c,
				  const struct pending_request *pr,
				  const struct home *home, enum refusal *why)
{
	const struct shard_map *map = view_map(&c->view, home->route->name);
	const struct roster *ro = NULL;
	const struct shard *sh;

	*why = REFUSAL_NO_OWNER;
	if (!map)
		return 0;
	sh = shard_map_find(map, pr->key);
	if (sh->target) {
		*why = REFUSAL_MOVING;
		return 0;
	}
	if (!view_member(&c->view, sh->owner, &ro))
		return 0;
	return home_allows(home, ro->region) ? sh->owner : 0;
}

/* The gate for the next attempt; 0 and a reason when there is none. */
static incarnation_t choose_gate(struct router *r, struct ctx *c,
				 struct pending_request *pr,
				 const struct home *home, enum refusal *why)
{
	pr->pool = NULL;
	switch (home->route->kind) {
	case ROUTE_KEYED:
		return choose_owner(c, pr, home, why);
	case ROUTE_ANY:
		*why = REFUSAL_NO_OWNER;
		return choose_endpoint(r, c, pr, home);
	}
	return 0;
}

static uint64_t attempt_time_left(const struct pending_request *pr,
				  uint64_t now_ns)
{
	uint64_t left = pr->deadline_ns - now_ns;
	uint64_t reserve = left / ANSWER_RESERVE_DIVISOR;

	return left - (reserve < ANSWER_RESERVE_MAX_NS ? reserve
						       : ANSWER_RESERVE_MAX_NS);
}

static void fill_forward(struct msg_forward *f,
			 const struct pending_request *pr, const struct ctx *c)
{
	f->id = pr->id;
	f->attempt = pr->attempt;
	f->time_left_ns = attempt_time_left(pr, c->now_ns);
	f->idempotent = pr->idempotent;
	mem_copy_str(f->reply_to, c->opts->peer_addr, sizeof(f->reply_to));
	mem_copy_str(f->route, pr->route, sizeof(f->route));
	mem_copy_str(f->key, pr->key, sizeof(f->key));
	f->organisation = mem_dup_str(pr->organisation);
	f->request = http_request_ref(pr->request);
}

static void run_local(struct ctx *c, struct gate *g, const struct lease *lease,
		      const struct pending_request *pr)
{
	struct msg_forward f = {0};

	fill_forward(&f, pr, c);
	gate_submit(g, c, lease, &f, c->boot);
	free(f.organisation);
}

static void run_remote(struct router *r, struct ctx *c,
		       const struct pending_request *pr, const struct member *m)
{
	struct message *msg = message_new(MSG_FORWARD);

	fill_forward(&msg->u.forward, pr, c);
	msg->u.forward.sequence = r->next_sequence++;
	ctx_send(c, m->inc, m->peer_addr, msg);
	msg->from = c->boot;
}

static void start_attempt(struct router *r, struct ctx *c, struct gate *g,
			  const struct lease *lease, struct pending_request *pr,
			  const struct member *m)
{
	JD_INVARIANT(pr->idempotent || !pr->may_have_run,
		     "id=%016lx-%lu attempt=%u", (unsigned long)pr->id.node,
		     (unsigned long)pr->id.counter, pr->attempt);
	list_remove(&pr->held);
	pr->state = PENDING_FORWARDED;
	pr->gate = m->inc;
	pr->attempt++;
	pr->local = m->inc == c->self;
	pr->attempt_started_ns = c->now_ns;
	if (pr->attempt == 1)
		retry_budget_deposit(&r->budget);
	if (pr->pool)
		balancer_on_start(&pr->pool->balancer, pr->gate, c->now_ns);
	if (pr->local)
		run_local(c, g, lease, pr);
	else
		run_remote(r, c, pr, m);
}

static void end_not_run(struct router *r, struct ctx *c,
			struct pending_request *pr, enum refusal why,
			const struct home *home)
{
	finish(r, c, pr,
	       &(struct reply){.outcome = OUTCOME_NOT_RUN,
			       .refusal = why,
			       .home = home});
}

/* Starts the next attempt, or holds or ends the request. */
static void dispatch(struct router *r, struct ctx *c, struct gate *g,
		     const struct lease *lease, struct pending_request *pr)
{
	const struct manifest *mf = view_manifest(&c->view);
	enum refusal why = REFUSAL_NO_MANIFEST;
	const struct member *m;
	struct home home;

	if (c->now_ns >= pr->deadline_ns) {
		end_not_run(r, c, pr,
			    pr->last_refusal == REFUSAL_NONE ? REFUSAL_DEADLINE
							     : pr->last_refusal,
			    NULL);
		return;
	}
	if (mf)
		why = home_find(&home, mf, pr->route, pr->organisation);
	if (why != REFUSAL_NONE) {
		hold(r, c, pr, why);
		return;
	}
	if (!home_allows(&home, c->opts->region)) {
		end_not_run(r, c, pr, REFUSAL_HOME_REGION, &home);
		return;
	}
	m = view_member(&c->view, choose_gate(r, c, pr, &home, &why), NULL);
	if (m)
		start_attempt(r, c, g, lease, pr, m);
	else
		hold(r, c, pr, why);
}

/* Results of the checks of a new request. */
struct checked_request {
	struct home home;
	uint64_t timeout_ms;
	char key[JD_KEY_MAX];
};

/* The name from the caller's header, empty without one. */
static const char *organisation_header(const struct http_request *req)
{
	const char *name = payload_header(&req->payload, HEADER_ORGANISATION);

	return name ? name : "";
}

static size_t request_bytes(const struct http_request *req)
{
	return sizeof(struct pending_request) + strlen(req->target) +
	       req->payload.body_len;
}

static struct pending_request *pending_new(struct router *r, struct ctx *c,
					   const struct checked_request *in,
					   struct ev_request *ev)
{
	struct pending_request *pr = mem_new(struct pending_request);

	list_init(&pr->held);
	pr->id.node = c->boot;
	pr->id.counter = r->next_id++;
	pr->caller = ev->caller;
	pr->received_ns = c->now_ns;
	pr->idempotent = route_idempotent(in->home.route, ev->request->method);
	mem_copy_str(pr->route, in->home.route->name, sizeof(pr->route));
	mem_copy_str(pr->key, in->key, sizeof(pr->key));
	mem_copy_str(pr->organisation, organisation_header(ev->request),
		     sizeof(pr->organisation));
	pr->deadline_ns = c->now_ns + in->timeout_ms * NS_PER_MS;
	pr->request = ev->request;
	ev->request = NULL;
	request_strip_reserved_headers(pr->request);
	pr->bytes = request_bytes(pr->request);
	list_push_back(bucket(r, pr->id.counter), &pr->link);
	list_push_back(caller_bucket(r, pr->caller), &pr->by_caller);
	r->count++;
	r->bytes += pr->bytes;
	return pr;
}

static enum refusal check_key(const struct http_request *req,
			      struct checked_request *in)
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
				  struct checked_request *in)
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
	why = home_find(&in->home, mf, route->name, organisation_header(req));
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
	struct checked_request in = {0};
	enum refusal why = check_request(r, c, ev, &in);
	struct pending_request *pr;

	r->requests++;
	if (why != REFUSAL_NONE) {
		reply(r, c,
		      &(struct reply){
			      .caller = ev->caller,
			      .outcome = OUTCOME_NOT_RUN,
			      .refusal = why,
			      .route = in.home.route ? in.home.route->name
						     : NULL,
			      .organisation = organisation_header(ev->request),
			      .received_ns = c->now_ns,
			      .home = why == REFUSAL_HOME_REGION ? &in.home
								 : NULL});
		http_request_unref(ev->request);
		ev->request = NULL;
		return;
	}
	pr = pending_new(r, c, &in, ev);
	dispatch(r, c, g, lease, pr);
}

static void report_attempt_end(const struct pending_request *pr,
			       const struct ctx *c, enum attempt_end end)
{
	if (pr->pool && pr->state == PENDING_FORWARDED)
		balancer_on_end(&pr->pool->balancer, pr->gate, end,
				c->now_ns - pr->attempt_started_ns, c->now_ns);
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

/*
 * True if a retry adds load to an upstream that may be overloaded; it then
 * needs a token of the retry budget.
 */
static bool adds_upstream_load(enum refusal refusal)
{
	return refusal == REFUSAL_QUEUE_FULL ||
	       refusal == REFUSAL_UPSTREAM_SHED ||
	       refusal == REFUSAL_UPSTREAM_DOWN ||
	       refusal == REFUSAL_CONNECTION_LOST;
}

/*
 * Another attempt is safe if the last did not run, or if the request is
 * idempotent and the connection was lost.
 */
static bool retry_is_safe(const struct pending_request *pr,
			  const struct msg_answer *a)
{
	if (a->outcome == OUTCOME_NOT_RUN)
		return refusal_find(a->refusal)->retry ||
		       (pr->pool && a->refusal == REFUSAL_QUEUE_FULL);
	return a->outcome == OUTCOME_UNKNOWN && pr->idempotent &&
	       a->refusal == REFUSAL_CONNECTION_LOST;
}

static bool may_retry(struct router *r, const struct pending_request *pr,
		      const struct msg_answer *a, const struct ctx *c)
{
	if (c->now_ns >= pr->deadline_ns || !retry_is_safe(pr, a))
		return false;
	return !adds_upstream_load(a->refusal) ||
	       retry_budget_withdraw(&r->budget, c->now_ns);
}

/* No delay when another endpoint of the pool may serve the request. */
static void retry_at_once(struct router *r, const struct ctx *c,
			  struct pending_request *pr)
{
	if (!pr->pool)
		return;
	pr->retry_at_ns = c->now_ns;
	list_remove(&pr->held);
	list_push_front(&r->held, &pr->held);
}

/*
 * The entry has checked the request itself: a gate that calls it the caller's
 * error has another manifest.
 */
static void correct_refusal(struct msg_answer *a)
{
	if (a->outcome == OUTCOME_NOT_RUN &&
	    refusal_find(a->refusal)->http_code < 500)
		a->refusal = REFUSAL_NO_MANIFEST;
}

void router_on_answer(struct router *r, struct ctx *c, incarnation_t from,
		      struct msg_answer *a)
{
	struct pending_request *pr = find_pending(r, a->id.counter);

	if (!pr || a->id.node != c->boot || pr->attempt != a->attempt ||
	    pr->state != PENDING_FORWARDED || (from && pr->gate != from)) {
		r->unmatched++;
		http_answer_delete(a->answer);
		a->answer = NULL;
		return;
	}
	correct_refusal(a);
	if (a->outcome == OUTCOME_UNKNOWN)
		pr->may_have_run = true;
	report_attempt_end(pr, c, attempt_end(a));
	if (may_retry(r, pr, a, c)) {
		hold(r, c, pr, a->refusal);
		if (adds_upstream_load(a->refusal))
			retry_at_once(r, c, pr);
		return;
	}
	if (a->answer)
		answer_strip_reserved_headers(a->answer);
	finish(r, c, pr,
	       &(struct reply){.outcome = a->outcome,
			       .refusal = a->refusal,
			       .served_by = pr->gate,
			       .answer = a->answer});
	a->answer = NULL;
}

static void cancel_attempt(struct ctx *c, struct gate *g,
			   const struct pending_request *pr)
{
	struct msg_cancel m = {.id = pr->id, .attempt = pr->attempt};
	const struct member *to;
	struct message *msg;

	if (pr->state != PENDING_FORWARDED)
		return;
	if (pr->local) {
		gate_on_cancel(g, c, &m);
		return;
	}
	to = view_member(&c->view, pr->gate, NULL);
	if (!to)
		return;
	msg = message_new(MSG_CANCEL);
	msg->u.cancel = m;
	ctx_send(c, to->inc, to->peer_addr, msg);
}

void router_on_caller_disconnected(struct router *r, struct ctx *c,
				   struct gate *g, uint64_t caller)
{
	struct pending_request *pr, *tmp;

	list_for_each_entry_safe(pr, tmp, caller_bucket(r, caller), by_caller) {
		if (pr->caller != caller)
			continue;
		report_attempt_end(pr, c, ATTEMPT_CANCELLED);
		cancel_attempt(c, g, pr);
		pending_delete(r, pr);
	}
}

static void end_expired(struct router *r, struct ctx *c, struct gate *g)
{
	if (c->now_ns < r->next_expiry_ns)
		return;
	r->next_expiry_ns = c->now_ns + EXPIRY_INTERVAL_NS;
	for (int i = 0; i < ROUTER_BUCKETS; i++) {
		struct pending_request *pr, *tmp;

		list_for_each_entry_safe(pr, tmp, &r->buckets[i], link) {
			struct reply p = {.outcome = OUTCOME_NOT_RUN,
					  .refusal = pr->last_refusal};

			if (c->now_ns < pr->deadline_ns)
				continue;
			if (pr->state == PENDING_FORWARDED) {
				p.outcome = OUTCOME_UNKNOWN;
				p.refusal = REFUSAL_NO_ANSWER;
			}
			report_attempt_end(pr, c, ATTEMPT_CANCELLED);
			cancel_attempt(c, g, pr);
			finish(r, c, pr, &p);
		}
	}
}

/*
 * Holds for another attempt the idempotent requests whose gate has left the
 * view, rather than waiting for its answer until the deadline.
 */
static void hold_lost_attempts(struct router *r, struct ctx *c)
{
	if (c->view.revision == r->lost_gates_revision)
		return;
	r->lost_gates_revision = c->view.revision;
	for (int i = 0; i < ROUTER_BUCKETS; i++) {
		struct pending_request *pr;

		list_for_each_entry(pr, &r->buckets[i], link) {
			if (pr->state != PENDING_FORWARDED || !pr->idempotent ||
			    view_member(&c->view, pr->gate, NULL))
				continue;
			pr->may_have_run = true;
			report_attempt_end(pr, c, ATTEMPT_FAILED);
			hold(r, c, pr, REFUSAL_NO_OWNER);
		}
	}
}

/*
 * Moves held requests that are due to @due. They are in the order of their next
 * attempt; under a new view all are due.
 */
static void collect_due(struct router *r, const struct ctx *c, struct list *due)
{
	bool all = r->held_revision != c->view.revision;
	struct pending_request *pr, *tmp;

	r->held_revision = c->view.revision;
	list_for_each_entry_safe(pr, tmp, &r->held, held) {
		if (!all && c->now_ns < pr->retry_at_ns)
			return;
		list_remove(&pr->held);
		list_push_back(due, &pr->held);
	}
}

void router_work(struct router *r, struct ctx *c, struct gate *g,
		 const struct lease *lease)
{
	struct list due;

	if (c->now_ns >= r->next_expiry_ns)
		hold_lost_attempts(r, c);
	end_expired(r, c, g);
	list_init(&due);
	collect_due(r, c, &due);
	while (!list_empty(&due)) {
		struct pending_request *pr =
			list_entry(due.next, struct pending_request, held);

		list_remove(&pr->held);
		dispatch(r, c, g, lease, pr);
	}
}

uint64_t router_next_ns(const struct router *r)
{
	if (!r->count)
		return DEADLINE_NEVER;
	if (list_empty(&r->held))
		return r->next_expiry_ns;
	return list_entry(r->held.next, struct pending_request, held)
		->retry_at_ns;
}
