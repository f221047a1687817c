#include "core/dispatch.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

/* How often held and late requests are looked at. */
#define LOOK_NS		     (10 * NS_PER_MS)
/* A gate is asked for a report after as much silence. */
#define ASK_AFTER_NS	     (500 * NS_PER_MS)
/* A held request is tried again that often, and when the directory changes. */
#define HELD_RETRY_NS	     (25 * NS_PER_MS)
/* A gate that refused a request for its queue is left alone for so long. */
#define AVOID_FULL_NS	     (40 * NS_PER_MS)
/* The same for one that can't serve at all; its load report ends it. */
#define AVOID_DOWN_NS	     (300 * NS_PER_MS)
/* An answer from a gate needs that long to come back, with the network's. */
#define ANSWER_RESERVE_NS    (30 * NS_PER_MS)
/* Share of the objective for which a request may wait for a gate. */
#define HOLD_KEYED	     0.5
/* Share of its whole time for an upstream's call, which a request needs. */
#define HOLD_INTERNAL	     0.7
#define HOLD_ANY	     0.125
/*
 * Shares of the objective that a longer way counts as, for its price: to
 * another region by the bytes of the route's answers.
 */
#define OTHER_REGION_LEAST   0.2
#define OTHER_REGION_EACH_KB 0.1
#define OTHER_REGION_MOST    0.8
/* To another data centre, as a share of that. */
#define OTHER_DC_SHARE	     0.15
/* Answer of a route that has not been seen yet. */
#define ANSWER_FIRST_KB	     2.5
#define ANSWER_WEIGHT	     0.05
/* Extra attempts kept back, as several nodes spend the same budget. */
#define BUDGET_SHARE	     0.7
/* Weight of the newest outcome in a gate's share of failures. */
#define FAILURE_WEIGHT	     0.1
/* Time that a gate which fails half its requests is taken to need more. */
#define FAILURE_COST	     2.0
#define RETRY_AFTER_LEAST_NS (100 * NS_PER_MS)
#define RETRY_AFTER_OWNER_NS (400 * NS_PER_MS)

void dispatch_init(struct dispatch *d)
{
	memset(d, 0, sizeof(*d));
	for (int i = 0; i < DISPATCH_BUCKETS; i++) {
		list_init(&d->jobs[i]);
		list_init(&d->callers[i]);
	}
	list_init(&d->held);
	d->next_id = 1;
	list_init(&d->budgets);
	list_init(&d->internal);
	list_init(&d->answers);
	histogram_init(&d->latency);
	burn_init(&d->burn);
}

static void job_delete(struct dispatch *d, struct job *j)
{
	list_remove(&j->link);
	list_remove(&j->by_caller);
	list_remove(&j->held);
	d->count--;
	d->bytes -= j->bytes;
	http_request_delete(j->request);
	http_answer_delete(j->failure);
	free(j);
}

void dispatch_done(struct dispatch *d)
{
	struct service_budget *b, *bt;
	struct internal_route *r, *rt;
	struct route_answers *s, *st;

	for (int i = 0; i < DISPATCH_BUCKETS; i++) {
		struct job *j, *tmp;

		list_for_each_entry_safe(j, tmp, &d->jobs[i], link)
			job_delete(d, j);
	}
	list_for_each_entry_safe(b, bt, &d->budgets, link)
		free(b);
	list_for_each_entry_safe(r, rt, &d->internal, link)
		free(r);
	list_for_each_entry_safe(s, st, &d->answers, link)
		free(s);
	burn_done(&d->burn);
}

static struct service_budget *
budget_of(struct dispatch *d, const struct mesh_ctx *c, const char *service)
{
	struct service_budget *b;

	list_for_each_entry(b, &d->budgets, link)
		if (!strcmp(b->service, service))
			return b;
	b = mem_new(struct service_budget);
	mem_copy_str(b->service, service, sizeof(b->service));
	window_budget_init(&b->window, c->opts->retry_window_ns);
	list_push_back(&d->budgets, &b->link);
	return b;
}

static bool route_is_internal(const struct dispatch *d, const char *route)
{
	const struct internal_route *r;

	list_for_each_entry(r, &d->internal, link)
		if (!strcmp(r->route, route))
			return true;
	return false;
}

static struct route_answers *answers_of(struct dispatch *d, const char *route)
{
	struct route_answers *s;

	list_for_each_entry(s, &d->answers, link)
		if (!strcmp(s->route, route))
			return s;
	s = mem_new(struct route_answers);
	mem_copy_str(s->route, route, sizeof(s->route));
	s->mean_kb = ANSWER_FIRST_KB;
	list_push_back(&d->answers, &s->link);
	return s;
}

static void learn_internal(struct dispatch *d, const struct mesh_ctx *c,
			   const struct job *j)
{
	struct internal_route *r;

	if (route_is_internal(d, j->route))
		return;
	r = mem_new(struct internal_route);
	mem_copy_str(r->route, j->route, sizeof(r->route));
	list_push_back(&d->internal, &r->link);
	budget_of(d, c, j->service)->called = true;
}

/* Answers a request that has no job yet. */
static void refuse(struct dispatch *d, struct mesh_ctx *c,
		   const struct caller_request *r, enum refusal why)
{
	struct act_caller_reply *a =
		&mesh_actions_add(c->out, MA_REPLY)->u.reply;

	a->caller = r->caller;
	a->refusal = why;
	a->code = refusal_find(why)->http_code;
	a->retry_after_ns = a->code == 503 ? RETRY_AFTER_OWNER_NS : 0;
	a->close = d->stopping;
	mem_copy_str(a->id, r->id, sizeof(a->id));
	d->outcomes[OUTCOME_NOT_RUN]++;
	d->reasons[why]++;
	mesh_log(c->out, LOG_INFO, "event=request_refused id=%s why=%s code=%d",
		 r->id, refusal_find(why)->name, a->code);
}

static void account(struct dispatch *d, struct mesh_ctx *c, const struct job *j,
		    enum outcome outcome, int code)
{
	uint64_t took = c->now_ns - j->received_ns;
	bool good = outcome == OUTCOME_DONE && code < 500 &&
		    c->now_ns <= j->objective_at_ns;

	d->outcomes[outcome]++;
	histogram_add(&d->latency, took);
	burn_add(&d->burn, &(struct burn_event){.route = j->route,
						.organisation = "",
						.now_ns = c->now_ns,
						.good = good});
	if (good)
		return;
	mesh_log(c->out, LOG_INFO,
		 "event=request_end id=%s route=%s service=%s outcome=%s "
		 "code=%d why=%s node=%s attempts=%u ms=%lu left_ms=%ld "
		 "config=%lu revision=%lu",
		 j->caller_id, j->route, j->service, outcome_name(outcome),
		 code, refusal_find(j->refusal)->name, j->node, j->attempt,
		 (unsigned long)(took / NS_PER_MS),
		 (long)((int64_t)(j->deadline_ns - c->now_ns) /
			(int64_t)NS_PER_MS),
		 (unsigned long)(c->dir.manifest ? c->dir.manifest->version
						 : 0),
		 (unsigned long)c->dir.revision);
}

static struct act_caller_reply *reply(struct dispatch *d, struct mesh_ctx *c,
				      const struct job *j)
{
	struct act_caller_reply *a =
		&mesh_actions_add(c->out, MA_REPLY)->u.reply;

	a->caller = j->caller;
	a->close = d->stopping;
	mem_copy_str(a->id, j->caller_id, sizeof(a->id));
	return a;
}

/* Ends the job with the upstream's own answer, which is taken. */
static void finish(struct dispatch *d, struct mesh_ctx *c, struct job *j,
		   struct http_answer *answer)
{
	struct act_caller_reply *a = reply(d, c, j);

	a->answer = answer;
	a->code = answer->code;
	account(d, c, j, OUTCOME_DONE, answer->code);
	job_delete(d, j);
}

/* Ends the job without an answer of an upstream. */
static void fail(struct dispatch *d, struct mesh_ctx *c, struct job *j,
		 enum refusal why)
{
	struct act_caller_reply *a;
	bool ran = j->may_have_run;
	int code = refusal_find(why)->http_code;

	if (j->failure) {
		struct http_answer *answer = j->failure;

		j->failure = NULL;
		finish(d, c, j, answer);
		return;
	}
	j->refusal = why;
	if (ran && code != 502)
		code = 504;
	a = reply(d, c, j);
	a->refusal = why;
	a->code = code;
	if (!ran && code == 503)
		a->retry_after_ns = j->retry_after_ns > RETRY_AFTER_LEAST_NS
					    ? j->retry_after_ns
					    : RETRY_AFTER_LEAST_NS;
	d->reasons[why]++;
	account(d, c, j, ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN, code);
	job_delete(d, j);
}

static bool was_tried(const struct job *j, const char *node)
{
	for (uint32_t i = 0; i < j->tried_count; i++)
		if (!strcmp(j->tried[i], node))
			return true;
	return false;
}

static void mark_tried(struct job *j, const char *node)
{
	if (j->tried_count < DISPATCH_TRIED_MAX)
		mem_copy_str(j->tried[j->tried_count++], node,
			     JD_NODE_NAME_MAX);
}

/* What an answer from another region counts as, of the objective. */
static double region_cost(struct dispatch *d, const struct job *j)
{
	double cost = OTHER_REGION_LEAST +
		      OTHER_REGION_EACH_KB * answers_of(d, j->route)->mean_kb;

	return cost < OTHER_REGION_MOST ? cost : OTHER_REGION_MOST;
}

/* Expected time at a gate, with what the way to it costs. */
static double cost_ns(const struct mesh_ctx *c, const struct job *j,
		      const struct dir_node *n, double other_region)
{
	double objective = (double)(j->objective_at_ns - j->received_ns);
	double limit = n->load.limit ? n->load.limit : 1;
	double busy = n->load.running + n->load.waiting + n->sent;
	double one = (double)n->load.service_ns;
	double queue = busy >= limit ? (busy - limit + 1) * one / limit : 0;
	double cost = one * (1 + 0.3 * busy / limit) + queue;

	if (strcmp(n->card.region, c->opts->region) != 0)
		cost += other_region * objective;
	else if (strcmp(n->card.dc, c->opts->dc) != 0)
		cost += OTHER_DC_SHARE * other_region * objective;
	return cost * (1 + FAILURE_COST * n->failure_rate);
}

static bool may_serve(const struct job *j, const struct dir_node *n)
{
	return !strcmp(n->card.service, j->service) &&
	       region_set_allows(&j->regions, n->card.region);
}

static struct dir_node *pick_any(struct dispatch *d, struct mesh_ctx *c,
				 const struct job *j)
{
	double other_region = region_cost(d, j);
	struct dir_node *best = NULL;
	struct dir_node *n;
	double least = 0;

	list_for_each_entry(n, &c->dir.nodes, link) {
		double cost;

		if (!may_serve(j, n) || was_tried(j, n->name) ||
		    !directory_usable(&c->dir, n, c->now_ns))
			continue;
		cost = cost_ns(c, j, n, other_region) *
		       (1 + (double)rng_below(&c->rng, 64) / 1000);
		if (best && cost >= least)
			continue;
		best = n;
		least = cost;
	}
	return best;
}

static struct dir_node *pick_owner(struct mesh_ctx *c, const struct job *j)
{
	const struct dir_keymap *k = directory_keymap(&c->dir, j->service);
	const struct keyrow *row = k ? keymap_find(k->map, j->shard) : NULL;
	struct dir_node *n =
		row ? directory_node(&c->dir, row->owner.node) : NULL;

	if (!n || !may_serve(j, n) || !directory_usable(&c->dir, n, c->now_ns))
		return NULL;
	return n;
}

static struct msg_forward *forward_of(const struct mesh_ctx *c,
				      const struct job *j, struct message *m)
{
	struct msg_forward *f = &m->u.forward;
	uint64_t deadline = j->deadline_ns - ANSWER_RESERVE_NS;

	f->id = j->id;
	f->attempt = j->attempt;
	f->sequence = j->id.counter;
	f->sent_ns = c->now_ns;
	f->time_left_ns = deadline > c->now_ns ? deadline - c->now_ns : 0;
	f->objective_ns = j->objective_at_ns > c->now_ns
				  ? j->objective_at_ns - c->now_ns
				  : 0;
	f->priority = j->priority;
	f->keyed = j->keyed;
	f->shard = j->shard;
	f->idempotent = j->idempotent;
	mem_copy_str(f->route, j->route, sizeof(f->route));
	mem_copy_str(f->caller_id, j->caller_id, sizeof(f->caller_id));
	mem_copy_str(f->caller_service, c->opts->service,
		     sizeof(f->caller_service));
	mem_copy_str(f->reply_to, c->opts->peer_addr, sizeof(f->reply_to));
	f->request = http_request_ref(j->request);
	return f;
}

static void send_to(struct mesh_ctx *c, struct local_gate *g, struct job *j,
		    struct dir_node *n)
{
	struct message *m = message_new(MSG_FORWARD);

	list_remove(&j->held);
	j->state = JOB_SENT;
	j->sent_ns = c->now_ns;
	j->attempt++;
	j->at = n->boot;
	mem_copy_str(j->node, n->name, sizeof(j->node));
	n->sent++;
	forward_of(c, j, m);
	if (!strcmp(n->name, c->opts->node)) {
		gatekeeper_offer(g->gate, c, g->holder, &m->u.forward,
				 c->opts->boot, 0);
		message_delete(m);
		return;
	}
	mesh_send(c, n->boot, n->card.peer_addr, m);
}

static void hold(struct dispatch *d, const struct mesh_ctx *c, struct job *j,
		 uint64_t retry_ns)
{
	if (j->state != JOB_HELD || list_empty(&j->held))
		list_push_back(&d->held, &j->held);
	j->state = JOB_HELD;
	j->retry_ns = c->now_ns + retry_ns;
}

/* Sends the job to a gate, or lets it wait for one, or ends it. */
static void route_job(struct dispatch *d, struct mesh_ctx *c,
		      struct local_gate *g, struct job *j)
{
	struct dir_node *n = j->keyed ? pick_owner(c, j) : pick_any(d, c, j);

	if (n) {
		send_to(c, g, j, n);
		return;
	}
	if (j->refusal == REFUSAL_NONE)
		j->refusal =
			j->keyed ? REFUSAL_NO_OWNER : REFUSAL_UPSTREAM_DOWN;
	if (c->now_ns >= j->give_up_ns) {
		if (j->keyed && j->retry_after_ns < RETRY_AFTER_OWNER_NS)
			j->retry_after_ns = RETRY_AFTER_OWNER_NS;
		fail(d, c, j, j->refusal);
		return;
	}
	if (!j->keyed)
		j->tried_count = 0;
	hold(d, c, j, HELD_RETRY_NS);
}

static const char *pick_service(struct mesh_ctx *c, const struct route *r)
{
	uint64_t total = 0;
	uint64_t at;

	if (!r->split_count)
		return r->service;
	for (uint32_t i = 0; i < r->split_count; i++)
		total += r->splits[i].weight;
	at = rng_below(&c->rng, total);
	for (uint32_t i = 0; i < r->split_count; i++) {
		if (at < r->splits[i].weight)
			return r->splits[i].service;
		at -= r->splits[i].weight;
	}
	return r->splits[0].service;
}

/* How long a request may wait for a gate that takes it. */
static uint64_t hold_ns(const struct dispatch *d, const struct mesh_ctx *c,
			const struct job *j)
{
	double objective = (double)(j->objective_at_ns - c->now_ns);

	if (route_is_internal(d, j->route))
		return (uint64_t)((double)(j->deadline_ns - c->now_ns) *
				  HOLD_INTERNAL);
	return (uint64_t)(objective * (j->keyed ? HOLD_KEYED : HOLD_ANY));
}

static struct job *job_new(struct dispatch *d, struct mesh_ctx *c,
			   const struct route *route, struct caller_request *r)
{
	struct job *j = mem_new(struct job);
	const struct service *sv;
	uint64_t timeout = c->now_ns + route->timeout_ms * NS_PER_MS;
	uint64_t objective = route->objective_ms * NS_PER_MS;

	list_init(&j->held);
	j->id.node = c->opts->boot;
	j->id.counter = d->next_id++;
	j->caller = r->caller;
	mem_copy_str(j->caller_id, r->id, sizeof(j->caller_id));
	mem_copy_str(j->route, route->name, sizeof(j->route));
	mem_copy_str(j->service, pick_service(c, route), sizeof(j->service));
	sv = manifest_service(c->dir.manifest, j->service);
	j->keyed = sv && sv->keyed;
	j->shard = r->shard;
	j->regions = route->home_regions;
	j->priority = route->priority;
	j->max_attempts = route->max_attempts ? route->max_attempts : 1;
	j->idempotent = route->idempotent != 0;
	j->received_ns = c->now_ns;
	j->deadline_ns = r->deadline_ns && r->deadline_ns < timeout
				 ? r->deadline_ns
				 : timeout;
	j->objective_at_ns = c->now_ns + objective;
	j->give_up_ns = c->now_ns + hold_ns(d, c, j);
	j->bytes = sizeof(*j) + r->request->payload.body_len;
	j->request = r->request;
	r->request = NULL;
	list_push_back(&d->jobs[j->id.counter % DISPATCH_BUCKETS], &j->link);
	list_push_back(&d->callers[j->caller % DISPATCH_BUCKETS],
		       &j->by_caller);
	d->count++;
	d->bytes += j->bytes;
	return j;
}

static enum refusal check(const struct dispatch *d, const struct mesh_ctx *c,
			  const struct caller_request *r,
			  const struct route **route)
{
	if (!c->dir.manifest)
		return REFUSAL_NO_MANIFEST;
	*route = manifest_match_host(c->dir.manifest, r->host,
				     r->request->target);
	if (!*route)
		return REFUSAL_NO_ROUTE;
	if (r->oversized)
		return REFUSAL_TOO_LARGE;
	if (r->bad_deadline)
		return REFUSAL_BAD_DEADLINE;
	if (d->closed)
		return REFUSAL_LEAVING;
	if (d->count >= DISPATCH_MAX || d->bytes >= DISPATCH_BYTES_MAX)
		return REFUSAL_QUEUE_FULL;
	return REFUSAL_NONE;
}

void dispatch_on_request(struct dispatch *d, struct mesh_ctx *c,
			 struct local_gate *g, struct caller_request *r)
{
	const struct route *route = NULL;
	enum refusal why = check(d, c, r, &route);
	struct job *j;

	d->requests++;
	if (why != REFUSAL_NONE) {
		refuse(d, c, r, why);
		return;
	}
	j = job_new(d, c, route, r);
	/* The budget is a share of what callers send, not upstreams. */
	if (!route_is_internal(d, j->route))
		window_budget_earn(&budget_of(d, c, j->service)->window,
				   c->now_ns);
	if (j->keyed && !r->keyed) {
		fail(d, c, j, REFUSAL_NO_KEY);
		return;
	}
	if (c->now_ns + ANSWER_RESERVE_NS >= j->deadline_ns) {
		fail(d, c, j, REFUSAL_DEADLINE);
		return;
	}
	route_job(d, c, g, j);
}

static void cancel(struct mesh_ctx *c, struct local_gate *g,
		   const struct job *j)
{
	struct message *m;
	struct dir_node *n;

	if (j->state != JOB_SENT)
		return;
	m = message_new(MSG_CANCEL);
	m->u.cancel.id = j->id;
	m->u.cancel.attempt = j->attempt;
	n = directory_node(&c->dir, j->node);
	if (j->at == c->opts->boot) {
		gatekeeper_cancel(g->gate, c, c->opts->boot, &m->u.cancel);
		message_delete(m);
	} else if (n) {
		mesh_send(c, j->at, n->card.peer_addr, m);
	} else {
		message_delete(m);
	}
}

void dispatch_on_caller_gone(struct dispatch *d, struct mesh_ctx *c,
			     struct local_gate *g, uint64_t caller)
{
	struct job *j, *tmp;

	list_for_each_entry_safe(j, tmp, &d->callers[caller % DISPATCH_BUCKETS],
				 by_caller) {
		if (j->caller != caller)
			continue;
		cancel(c, g, j);
		job_delete(d, j);
	}
}

static struct job *find(struct dispatch *d, struct request_id id)
{
	struct job *j;

	list_for_each_entry(j, &d->jobs[id.counter % DISPATCH_BUCKETS], link)
		if (request_id_equal(j->id, id))
			return j;
	return NULL;
}

/*
 * A repeat of a request repeats the calls that its run makes; so it counts
 * against the services that are called, too.
 */
static bool spend(struct dispatch *d, const struct mesh_ctx *c,
		  const char *service, double slack)
{
	double ratio = c->opts->retry_ratio * BUDGET_SHARE;
	struct service_budget *own = budget_of(d, c, service);
	struct service_budget *b;

	list_for_each_entry(b, &d->budgets, link)
		if ((b == own || b->called) &&
		    !window_budget_has_room(&b->window, ratio, slack,
					    c->now_ns))
			return false;
	list_for_each_entry(b, &d->budgets, link)
		if (b == own || b->called)
			window_budget_spend(&b->window, c->now_ns);
	return true;
}

/* One more attempt that costs an upstream: rare enough, and useful? */
static bool may_repeat(struct dispatch *d, const struct mesh_ctx *c,
		       const struct job *j)
{
	const struct dir_node *n;
	uint32_t nodes = 0;
	double slack;

	if (j->reached >= j->max_attempts ||
	    c->now_ns + 2 * ANSWER_RESERVE_NS >= j->deadline_ns)
		return false;
	list_for_each_entry(n, &c->dir.nodes, link)
		nodes += n->revision != 0;
	slack = c->opts->retry_slack * BUDGET_SHARE / (nodes ? nodes : 1);
	if (spend(d, c, j->service, slack)) {
		d->repeats++;
		return true;
	}
	d->repeats_denied++;
	return false;
}

/* The attempt did not run; others may take it at no cost to upstreams. */
static void on_not_run(struct dispatch *d, struct mesh_ctx *c,
		       struct local_gate *g, struct job *j,
		       const struct msg_answer *a, struct dir_node *n)
{
	j->refusal = a->refusal;
	if (a->retry_after_ns > j->retry_after_ns)
		j->retry_after_ns = a->retry_after_ns;
	switch (a->refusal) {
	case REFUSAL_QUEUE_FULL:
		if (n && !j->keyed)
			n->avoid_until_ns = c->now_ns + AVOID_FULL_NS;
		if (j->keyed) {
			fail(d, c, j, a->refusal);
			return;
		}
		break;
	case REFUSAL_UPSTREAM_SHED:
		j->reached++;
		if (n)
			n->failure_rate +=
				FAILURE_WEIGHT * (1 - n->failure_rate);
		if (!may_repeat(d, c, j)) {
			fail(d, c, j, a->refusal);
			return;
		}
		break;
	case REFUSAL_UPSTREAM_DOWN:
	case REFUSAL_LEAVING:
		if (n && !j->keyed)
			n->avoid_until_ns = c->now_ns + AVOID_DOWN_NS;
		break;
	case REFUSAL_DEADLINE:
		fail(d, c, j, a->refusal);
		return;
	default:
		break;
	}
	if (j->keyed) {
		hold(d, c, j, HELD_RETRY_NS);
		if (c->now_ns >= j->give_up_ns)
			fail(d, c, j, a->refusal);
		return;
	}
	mark_tried(j, j->node);
	if (j->tried_count == DISPATCH_TRIED_MAX) {
		fail(d, c, j, a->refusal);
		return;
	}
	route_job(d, c, g, j);
}

/* The attempt may have run; only an idempotent request goes on. */
static void on_unknown(struct dispatch *d, struct mesh_ctx *c,
		       struct local_gate *g, struct job *j, enum refusal why)
{
	struct dir_node *n = directory_node(&c->dir, j->node);

	if (n && why != REFUSAL_NO_ANSWER)
		n->failure_rate += FAILURE_WEIGHT * (1 - n->failure_rate);
	j->reached++;
	j->may_have_run = true;
	j->refusal = why;
	if (!j->idempotent || !may_repeat(d, c, j)) {
		fail(d, c, j, why);
		return;
	}
	mark_tried(j, j->node);
	if (j->tried_count == DISPATCH_TRIED_MAX)
		fail(d, c, j, why);
	else
		route_job(d, c, g, j);
}

static void learn_answer(struct dispatch *d, const struct job *j,
			 const struct http_answer *answer)
{
	struct route_answers *s = answers_of(d, j->route);
	double kb = (double)answer->payload.body_len / 1024;

	s->mean_kb += ANSWER_WEIGHT * (kb - s->mean_kb);
}

static void on_done(struct dispatch *d, struct mesh_ctx *c,
		    struct local_gate *g, struct job *j, struct msg_answer *a,
		    struct dir_node *n)
{
	bool failed = a->answer->code >= 500;
	struct http_answer *answer = a->answer;

	a->answer = NULL;
	learn_answer(d, j, answer);
	if (n)
		n->failure_rate +=
			FAILURE_WEIGHT * ((double)failed - n->failure_rate);
	if (failed && j->idempotent && !j->failure && !j->keyed) {
		j->reached++;
		if (may_repeat(d, c, j)) {
			j->failure = answer;
			j->may_have_run = true;
			mark_tried(j, j->node);
			route_job(d, c, g, j);
			return;
		}
	}
	finish(d, c, j, answer);
}

void dispatch_on_answer(struct dispatch *d, struct mesh_ctx *c,
			struct local_gate *g, uint64_t from,
			struct msg_answer *a)
{
	struct job *j = find(d, a->id);
	struct dir_node *n;

	if (!j || j->state != JOB_SENT || j->attempt != a->attempt ||
	    j->at != from)
		return;
	n = directory_node(&c->dir, j->node);
	if (n && from != c->opts->boot) {
		n->load = a->load;
		n->sent = 0;
		n->heard_ns = c->now_ns;
	}
	if (a->internal_route)
		learn_internal(d, c, j);
	switch (a->outcome) {
	case OUTCOME_DONE:
		on_done(d, c, g, j, a, n);
		break;
	case OUTCOME_NOT_RUN:
		on_not_run(d, c, g, j, a, n);
		break;
	case OUTCOME_UNKNOWN:
	case OUTCOME_COUNT:
		on_unknown(d, c, g, j, a->refusal);
		break;
	}
}

/* True when the process that has the attempt is silent or was replaced. */
static bool gate_lost(const struct mesh_ctx *c, const struct job *j)
{
	const struct dir_node *n = directory_node(&c->dir, j->node);
	uint64_t since =
		n && n->heard_ns > j->sent_ns ? n->heard_ns : j->sent_ns;

	if (j->state != JOB_SENT || j->at == c->opts->boot)
		return false;
	if (!n || n->boot != j->at)
		return true;
	/* It was asked for a sign of life and gave none. */
	if (n->probed_ns > n->heard_ns &&
	    c->now_ns > n->probed_ns + DIR_PROBE_TIMEOUT_NS)
		return true;
	return c->now_ns > since + directory_silence_limit_ns(&c->dir, n);
}

/* A gate that owes an answer and says nothing else either is asked. */
static void ask_silent(struct mesh_ctx *c, const struct job *j)
{
	struct dir_node *n;

	if (j->state != JOB_SENT || j->at == c->opts->boot ||
	    c->now_ns < j->sent_ns + ASK_AFTER_NS)
		return;
	n = directory_node(&c->dir, j->node);
	if (n && n->boot == j->at && c->now_ns > n->heard_ns + ASK_AFTER_NS &&
	    n->probed_ns <= n->heard_ns) {
		n->probe_due = true;
		c->dir.urgent_reports = true;
	}
}

static void look_at(struct dispatch *d, struct mesh_ctx *c,
		    struct local_gate *g, struct job *j)
{
	if (c->now_ns >= j->deadline_ns) {
		cancel(c, g, j);
		j->may_have_run |= j->state == JOB_SENT;
		fail(d, c, j,
		     j->may_have_run ? REFUSAL_NO_ANSWER : REFUSAL_DEADLINE);
		return;
	}
	ask_silent(c, j);
	if (gate_lost(c, j))
		on_unknown(d, c, g, j, REFUSAL_CONNECTION_LOST);
}

void dispatch_work(struct dispatch *d, struct mesh_ctx *c, struct local_gate *g)
{
	struct job *j, *tmp;

	if (c->now_ns < d->next_expiry_ns)
		return;
	d->next_expiry_ns = c->now_ns + LOOK_NS;
	for (int i = 0; d->count && i < DISPATCH_BUCKETS; i++)
		list_for_each_entry_safe(j, tmp, &d->jobs[i], link)
			look_at(d, c, g, j);
	list_for_each_entry_safe(j, tmp, &d->held, held)
		if (c->now_ns >= j->retry_ns)
			route_job(d, c, g, j);
}

void dispatch_end_all(struct dispatch *d, struct mesh_ctx *c,
		      struct local_gate *g, bool sent)
{
	struct job *j, *tmp;

	for (int i = 0; i < DISPATCH_BUCKETS; i++) {
		list_for_each_entry_safe(j, tmp, &d->jobs[i], link) {
			if (j->state == JOB_SENT && !sent)
				continue;
			cancel(c, g, j);
			j->may_have_run |= j->state == JOB_SENT;
			fail(d, c, j, REFUSAL_LEAVING);
		}
	}
}

uint64_t dispatch_next_ns(const struct dispatch *d)
{
	return d->count ? d->next_expiry_ns : UINT64_MAX;
}
