#include "core/dispatch.h"

#include <stdlib.h>
#include <string.h>

#include "core/load/attempt_gate.h"
#include "core/load/gate_pick.h"
#include "core/load/not_run.h"
#include "core/mem.h"
#include "core/name.h"
#include "core/organisations/identify.h"
#include "core/relay.h"

/* Pending requests are checked for what is due at this interval. */
#define CHECK_INTERVAL_NS      (10 * NS_PER_MS)
/* A held request is tried again at this interval. */
#define HELD_RETRY_INTERVAL_NS (25 * NS_PER_MS)
/* A gate that refused a request with a full queue is avoided for this time. */
#define AVOID_QUEUE_FULL_NS    (40 * NS_PER_MS)
/*
 * A gate whose upstream is down or leaves is avoided for this time; after that
 * its load report says whether it is open.
 */
#define AVOID_DOWN_NS	       (300 * NS_PER_MS)
/* Part of a deadline kept for the answer to return, network included. */
#define ANSWER_RESERVE_NS      (30 * NS_PER_MS)
/* Mean answer size assumed before a route's first answer. */
#define ANSWER_INITIAL_KB      2.5
/* Weight of the newest answer in the mean size. */
#define ANSWER_NEWEST_WEIGHT   0.05
/* Weight of the newest outcome in a gate's failure rate. */
#define FAILURE_NEWEST_WEIGHT  0.1
/* For requests refused on arrival, and for keys without an owner. */
#define RETRY_AFTER_DEFAULT_NS (400 * NS_PER_MS)
/* Bytes of a refused request's host, and of its path, that are logged. */
#define LOGGED_TEXT_MAX	       128

void dispatch_init(struct dispatch *d)
{
	memset(d, 0, sizeof(*d));
	for (int i = 0; i < DISPATCH_BUCKETS; i++) {
		list_init(&d->by_id[i]);
		list_init(&d->by_caller[i]);
	}
	list_init(&d->held);
	d->next_id = 1;
	retries_init(&d->retries);
	quotas_init(&d->quotas);
	list_init(&d->internal_routes);
	list_init(&d->answer_sizes);
	histogram_init(&d->latency);
	burn_init(&d->burn);
	comebacks_init(&d->arrivals.comebacks);
}

static void pending_delete(struct dispatch *d, struct pending_request *p)
{
	quotas_forget(&d->quotas, p);
	list_remove(&p->link);
	list_remove(&p->by_caller);
	list_remove(&p->held);
	d->count--;
	d->bytes -= p->bytes;
	http_request_unref(p->request);
	free(p->caller_id);
	free(p->organisation_name);
	http_answer_delete(p->failed_answer);
	free(p);
}

void dispatch_done(struct dispatch *d)
{
	struct internal_route *r, *rt;
	struct route_answer_size *s, *st;

	for (int i = 0; i < DISPATCH_BUCKETS; i++) {
		struct pending_request *p, *tmp;

		list_for_each_entry_safe(p, tmp, &d->by_id[i], link)
			pending_delete(d, p);
	}
	retries_done(&d->retries);
	quotas_done(&d->quotas);
	list_for_each_entry_safe(r, rt, &d->internal_routes, link)
		free(r);
	list_for_each_entry_safe(s, st, &d->answer_sizes, link)
		free(s);
	burn_done(&d->burn);
	comebacks_done(&d->arrivals.comebacks);
}

static bool route_is_internal(const struct dispatch *d, const char *route)
{
	const struct internal_route *r;

	list_for_each_entry(r, &d->internal_routes, link)
		if (!strcmp(r->route, route))
			return true;
	return false;
}

static struct route_answer_size *answer_size_for(struct dispatch *d,
						 const char *route)
{
	struct route_answer_size *s;

	list_for_each_entry(s, &d->answer_sizes, link)
		if (!strcmp(s->route, route))
			return s;
	s = mem_new(struct route_answer_size);
	mem_copy_str(s->route, route, sizeof(s->route));
	s->mean_kb = ANSWER_INITIAL_KB;
	list_push_back(&d->answer_sizes, &s->link);
	return s;
}

static void note_internal_route(struct dispatch *d, const struct mesh_ctx *c,
				const struct pending_request *p)
{
	struct internal_route *r;

	if (route_is_internal(d, p->route))
		return;
	r = mem_new(struct internal_route);
	mem_copy_str(r->route, p->route, sizeof(r->route));
	list_push_back(&d->internal_routes, &r->link);
	retries_note_called(&d->retries, c, p->service);
}

/* Shows whether a newer manifest might have allowed the request. */
static void log_refusal(struct mesh_ctx *c, const struct caller_request *r,
			enum refusal why)
{
	const char *target = r->request->target;
	size_t path_len = strcspn(target, "?");
	long store_age_ms = -1;
	long checked_age_ms = -1;

	if (path_len > LOGGED_TEXT_MAX)
		path_len = LOGGED_TEXT_MAX;
	if (c->store_answered_ns)
		store_age_ms =
			(long)((c->now_ns - c->store_answered_ns) / NS_PER_MS);
	if (c->manifest_checked_ns)
		checked_age_ms = (long)((c->now_ns - c->manifest_checked_ns) /
					NS_PER_MS);
	mesh_log(c->out, LOG_INFO,
		 "event=request_refused id=%s why=%s code=%d host=\"%.*s\" "
		 "path=\"%.*s\" keyed=%d config=%lu "
		 "config_revision=" REVISION_FMT " config_wanted=" REVISION_FMT
		 " revision=" REVISION_FMT " peer_revision=" REVISION_FMT
		 " store_down=%d store_age_ms=%ld checked_age_ms=%ld",
		 name_for_log(r->id).text, refusal_find(why)->name,
		 refusal_find(why)->http_code, LOGGED_TEXT_MAX, r->host,
		 (int)path_len, target, r->keyed,
		 (unsigned long)(c->dir.manifest ? c->dir.manifest->version
						 : 0),
		 REVISION_ARGS(c->dir.manifest_revision),
		 REVISION_ARGS(c->dir.manifest_wanted),
		 REVISION_ARGS(c->dir.revision),
		 REVISION_ARGS(c->dir.peer_revision), c->store_down,
		 store_age_ms, checked_age_ms);
}

/* Replies to a request that was not accepted. */
static void refuse_request(struct dispatch *d, struct mesh_ctx *c,
			   const struct caller_request *r, enum refusal why)
{
	struct act_caller_reply *a =
		&mesh_actions_add(c->out, MA_REPLY)->u.reply;

	a->caller = r->caller;
	a->refusal = why;
	a->code = refusal_find(why)->http_code;
	a->retry_after_ns = a->code == 503 ? RETRY_AFTER_DEFAULT_NS : 0;
	a->close = d->stopping;
	a->id = mem_dup_str(r->id);
	d->outcomes[OUTCOME_NOT_RUN]++;
	d->reasons[why]++;
	log_refusal(c, r, why);
}

static void record_outcome(struct dispatch *d, struct mesh_ctx *c,
			   const struct pending_request *p,
			   enum outcome outcome, int code)
{
	uint64_t took_ns = c->now_ns - p->received_ns;
	bool good = outcome == OUTCOME_DONE && code < 500 &&
		    c->now_ns <= p->objective_at_ns;
	const char *event = "request_end";

	d->outcomes[outcome]++;
	histogram_add(&d->latency, took_ns);
	burn_add(&d->burn, &(struct burn_event){.route = p->route,
						.organisation = "",
						.now_ns = c->now_ns,
						.good = good});
	/* With a name of their own, the rarer 3xx and 4xx stay in the log. */
	if (code >= 300 && code < 500)
		event = "request_denied";
	else if (good)
		return;
	mesh_log(c->out, LOG_INFO,
		 "event=%s id=%s route=%s service=%s outcome=%s "
		 "code=%d why=%s node=%s attempts=%u ms=%lu left_ms=%ld "
		 "config=%lu revision=" REVISION_FMT,
		 event, name_for_log(p->caller_id).text, p->route, p->service,
		 outcome_name(outcome), code, refusal_find(p->refusal)->name,
		 p->gate_node, p->attempt, (unsigned long)(took_ns / NS_PER_MS),
		 (long)((int64_t)(p->deadline_ns - c->now_ns) /
			(int64_t)NS_PER_MS),
		 (unsigned long)(c->dir.manifest ? c->dir.manifest->version
						 : 0),
		 REVISION_ARGS(c->dir.revision));
}

static struct act_caller_reply *add_reply(struct dispatch *d,
					  struct mesh_ctx *c,
					  const struct pending_request *p)
{
	struct act_caller_reply *a =
		&mesh_actions_add(c->out, MA_REPLY)->u.reply;

	a->caller = p->caller;
	a->close = d->stopping;
	a->id = mem_dup_str(p->caller_id);
	return a;
}

/* Replies with an upstream's answer, of which it takes ownership; frees @p. */
static void end_with_answer(struct dispatch *d, struct mesh_ctx *c,
			    struct pending_request *p,
			    struct http_answer *answer)
{
	struct act_caller_reply *a = add_reply(d, c, p);

	a->answer = answer;
	a->code = answer->code;
	record_outcome(d, c, p, OUTCOME_DONE, answer->code);
	pending_delete(d, p);
}

/*
 * Replies with @why and frees @p. A failed answer that an upstream gave to an
 * earlier attempt goes to the caller instead.
 */
static void end_without_answer(struct dispatch *d, struct mesh_ctx *c,
			       struct pending_request *p, enum refusal why)
{
	struct act_caller_reply *a;
	bool ran = p->may_have_run;
	int code = refusal_find(why)->http_code;

	if (p->failed_answer) {
		struct http_answer *answer = p->failed_answer;

		p->failed_answer = NULL;
		end_with_answer(d, c, p, answer);
		return;
	}
	p->refusal = why;
	if (ran && code != 502)
		code = 504;
	a = add_reply(d, c, p);
	a->refusal = why;
	a->code = code;
	if (!ran)
		quotas_on_not_run(&d->quotas, c, p);
	if (!ran && (code == 503 || code == 429))
		a->retry_after_ns = arrival_retry_after_ns(c, p);
	d->reasons[why]++;
	record_outcome(d, c, p, ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN, code);
	pending_delete(d, p);
}

static struct dir_node *find_gate(struct dispatch *d, struct mesh_ctx *c,
				  const struct pending_request *p)
{
	if (p->keyed)
		return pick_owner(c, p);
	return pick_gate(c, p, answer_size_for(d, p->route)->mean_kb);
}

static struct msg_forward *fill_forward(const struct mesh_ctx *c,
					const struct pending_request *p,
					struct message *m)
{
	struct msg_forward *f = &m->u.forward;
	uint64_t gate_deadline_ns = p->deadline_ns - ANSWER_RESERVE_NS;

	f->id = p->id;
	f->attempt = p->attempt;
	f->sequence = p->id.counter;
	f->sent_ns = c->now_ns;
	f->time_left_ns =
		gate_deadline_ns > c->now_ns ? gate_deadline_ns - c->now_ns : 0;
	f->objective_ns = p->objective_at_ns > c->now_ns
				  ? p->objective_at_ns - c->now_ns
				  : 0;
	f->priority = p->priority;
	f->call = p->call;
	f->again = p->again;
	f->keyed = p->keyed;
	f->shard = p->shard;
	f->idempotent = p->idempotent;
	mem_copy_str(f->route, p->route, sizeof(f->route));
	f->organisation = mem_dup_str(p->organisation_name);
	f->caller_id = mem_dup_str(p->caller_id);
	f->caller_service = mem_dup_str(mesh_service_name(c->opts));
	mem_copy_str(f->reply_to, c->opts->peer_addr, sizeof(f->reply_to));
	f->request = http_request_ref(p->request);
	return f;
}

static void send_attempt(struct mesh_ctx *c, struct local_gate *g,
			 struct pending_request *p, struct dir_node *n)
{
	struct message *m = message_new(MSG_FORWARD);

	list_remove(&p->held);
	p->state = PENDING_SENT;
	p->sent_ns = c->now_ns;
	p->attempt++;
	p->gate_boot = n->boot;
	mem_copy_str(p->gate_node, n->name, sizeof(p->gate_node));
	n->unreported_requests++;
	even_note_sent(&n->even);
	fill_forward(c, p, m);
	if (!strcmp(n->name, c->opts->node)) {
		gatekeeper_offer(g->gate, c, g->holder, &m->u.forward,
				 c->opts->boot, 0);
		message_delete(m);
		return;
	}
	mesh_send(c, n->boot, n->card.peer_addr, m)->bulk = pending_is_bulk(p);
}

static void hold_request(struct dispatch *d, const struct mesh_ctx *c,
			 struct pending_request *p, uint64_t retry_ns)
{
	if (p->state != PENDING_HELD || list_empty(&p->held))
		list_push_back(&d->held, &p->held);
	p->state = PENDING_HELD;
	p->retry_at_ns = c->now_ns + retry_ns;
}

/* Sends @p to a gate, or holds it until there is one, or ends it. */
static void route_request(struct dispatch *d, struct mesh_ctx *c,
			  struct local_gate *g, struct pending_request *p)
{
	struct dir_node *n = find_gate(d, c, p);

	if (n && p->keyed && pick_throttled(c, p, n)) {
		end_without_answer(d, c, p, REFUSAL_QUEUE_FULL);
		return;
	}
	if (n) {
		send_attempt(c, g, p, n);
		return;
	}
	if (p->refusal == REFUSAL_NONE)
		p->refusal =
			p->keyed ? REFUSAL_NO_OWNER : REFUSAL_UPSTREAM_DOWN;
	if (c->now_ns >= p->hold_until_ns) {
		if (p->keyed && p->retry_after_ns < RETRY_AFTER_DEFAULT_NS)
			p->retry_after_ns = RETRY_AFTER_DEFAULT_NS;
		end_without_answer(d, c, p, p->refusal);
		return;
	}
	if (!p->keyed)
		p->tried_count = 0;
	hold_request(d, c, p, HELD_RETRY_INTERVAL_NS);
}

static struct pending_request *
pending_new(struct dispatch *d, struct mesh_ctx *c, const struct gatekeeper *g,
	    const struct request_rules *rules, struct caller_request *r)
{
	struct pending_request *p = mem_new(struct pending_request);
	const struct route *route = rules->route;
	const struct service *sv;
	uint64_t timeout_at_ns = c->now_ns + route->timeout_ms * NS_PER_MS;
	uint64_t objective_ns = route->objective_ms * NS_PER_MS;

	list_init(&p->held);
	list_init(&p->quota.link);
	p->id.node = c->opts->boot;
	p->id.counter = d->next_id++;
	p->caller = r->caller;
	p->caller_id = r->id;
	r->id = NULL;
	mem_copy_str(p->route, route->name, sizeof(p->route));
	mem_copy_str(p->service, route_draw_service(route, &c->rng),
		     sizeof(p->service));
	sv = manifest_service(c->dir.manifest, p->service);
	p->keyed = sv && sv->keyed;
	p->shard = r->shard;
	p->organisation_name = mem_dup_str(rules_organisation(rules));
	name_copy(p->organisation, p->organisation_name,
		  sizeof(p->organisation));
	p->regions = rules->regions;
	p->priority = rules->priority;
	p->max_attempts = route->max_attempts ? route->max_attempts : 1;
	p->idempotent = route->idempotent != 0;
	p->received_ns = c->now_ns;
	p->deadline_ns = r->deadline_ns && r->deadline_ns < timeout_at_ns
				 ? r->deadline_ns
				 : timeout_at_ns;
	p->objective_at_ns = c->now_ns + objective_ns;
	arrival_assess(&d->arrivals, c, g, r->deadline_ns,
		       route_is_internal(d, p->route), p);
	p->bytes = sizeof(*p) + r->request->payload.body_len;
	p->request = r->request;
	r->request = NULL;
	list_push_back(&d->by_id[p->id.counter % DISPATCH_BUCKETS], &p->link);
	list_push_back(&d->by_caller[p->caller % DISPATCH_BUCKETS],
		       &p->by_caller);
	d->count++;
	d->bytes += p->bytes;
	return p;
}

/*
 * A refusal that callers take as final must not come from a manifest that may
 * be outdated.
 */
static enum refusal final_refusal(const struct mesh_ctx *c, enum refusal why)
{
	return relay_manifest_current(c) ? why : REFUSAL_OLD_MANIFEST;
}

static enum refusal admission_refusal(const struct dispatch *d,
				      const struct mesh_ctx *c,
				      struct caller_request *r,
				      struct request_rules *rules)
{
	enum refusal why;

	if (!c->dir.manifest)
		return REFUSAL_NO_MANIFEST;
	rules->route = manifest_match_host(c->dir.manifest, r->host,
					   r->request->target);
	if (!rules->route)
		return final_refusal(c, REFUSAL_NO_ROUTE);
	if (rules->route->invalid)
		return REFUSAL_INVALID_ROUTE;
	why = identify_caller(c->dir.manifest, r, rules);
	if (why != REFUSAL_NONE)
		return final_refusal(c, why);
	if (r->oversized)
		return final_refusal(c, REFUSAL_TOO_LARGE);
	if (r->bad_deadline)
		return REFUSAL_BAD_DEADLINE;
	if (d->closed)
		return REFUSAL_LEAVING;
	if (d->count >= DISPATCH_REQUESTS_MAX || d->bytes >= DISPATCH_BYTES_MAX)
		return REFUSAL_QUEUE_FULL;
	return REFUSAL_NONE;
}

/* Goes on with @p by the verdict on its organisation's quota. */
static void follow_verdict(struct dispatch *d, struct mesh_ctx *c,
			   struct local_gate *g, struct pending_request *p,
			   enum quota_verdict verdict)
{
	switch (verdict) {
	case QUOTA_WAITS:
		p->state = PENDING_QUOTA;
		break;
	case QUOTA_PASSES:
		p->state = PENDING_HELD;
		route_request(d, c, g, p);
		break;
	case QUOTA_OVER:
		end_without_answer(d, c, p, REFUSAL_OVER_QUOTA);
		break;
	case QUOTA_NO_SHARE:
		end_without_answer(d, c, p, REFUSAL_NO_QUOTA_SHARE);
		break;
	}
}

void dispatch_on_request(struct dispatch *d, struct mesh_ctx *c,
			 struct local_gate *g, struct caller_request *r)
{
	struct request_rules rules = {0};
	enum refusal why = admission_refusal(d, c, r, &rules);
	struct pending_request *p;

	d->requests++;
	if (why != REFUSAL_NONE) {
		refuse_request(d, c, r, why);
		return;
	}
	p = pending_new(d, c, g->gate, &rules, r);
	/* The retry budget is a share of external requests only. */
	if (!route_is_internal(d, p->route))
		retries_earn(&d->retries, c, p->service);
	if (p->keyed && !r->keyed) {
		end_without_answer(d, c, p, final_refusal(c, REFUSAL_NO_KEY));
		return;
	}
	if (c->now_ns + ANSWER_RESERVE_NS >= p->deadline_ns) {
		end_without_answer(d, c, p, REFUSAL_DEADLINE);
		return;
	}
	follow_verdict(d, c, g, p, quotas_admit(&d->quotas, c, p));
}

void dispatch_on_caller_disconnected(struct dispatch *d, struct mesh_ctx *c,
				     struct local_gate *g, uint64_t caller)
{
	struct pending_request *p, *tmp;

	list_for_each_entry_safe(
		p, tmp, &d->by_caller[caller % DISPATCH_BUCKETS], by_caller) {
		if (p->caller != caller)
			continue;
		not_run_cancel(c, g->gate, p);
		if (p->state != PENDING_SENT && !p->may_have_run)
			quotas_on_not_run(&d->quotas, c, p);
		pending_delete(d, p);
	}
}

static struct pending_request *find_request(struct dispatch *d,
					    struct request_id id)
{
	struct pending_request *p;

	list_for_each_entry(p, &d->by_id[id.counter % DISPATCH_BUCKETS], link)
		if (request_id_equal(p->id, id))
			return p;
	return NULL;
}

static bool has_time_to_retry(const struct mesh_ctx *c,
			      const struct pending_request *p)
{
	return c->now_ns + 2 * ANSWER_RESERVE_NS < p->deadline_ns;
}

static struct retry_claim claim_of(const struct pending_request *p)
{
	return (struct retry_claim){
		.service = p->service, .rank = p->priority, .call = p->call};
}

/*
 * True when another attempt at an upstream is allowed, has time left and fits
 * the retry budget, from which it is then taken.
 */
static bool may_retry(struct dispatch *d, const struct mesh_ctx *c,
		      const struct pending_request *p)
{
	struct retry_claim claim = claim_of(p);

	if (p->upstream_attempts >= p->max_attempts || !has_time_to_retry(c, p))
		return false;
	return retries_take(&d->retries, c, &claim);
}

/*
 * The attempt did not run, so another gate may get the request. Only one that
 * reached an upstream, which shed it, counts against the retry budget.
 */
static void on_not_run(struct dispatch *d, struct mesh_ctx *c,
		       struct local_gate *g, struct pending_request *p,
		       const struct msg_answer *a, struct dir_node *n)
{
	p->refusal = a->refusal;
	if (a->retry_after_ns > p->retry_after_ns)
		p->retry_after_ns = a->retry_after_ns;
	switch (a->refusal) {
	case REFUSAL_QUEUE_FULL:
		if (n && !p->keyed)
			n->avoid_until_ns = c->now_ns + AVOID_QUEUE_FULL_NS;
		if (p->keyed) {
			end_without_answer(d, c, p, a->refusal);
			return;
		}
		break;
	case REFUSAL_UPSTREAM_SHED:
		p->upstream_attempts++;
		if (n)
			n->failure_rate +=
				FAILURE_NEWEST_WEIGHT * (1 - n->failure_rate);
		if (!may_retry(d, c, p)) {
			end_without_answer(d, c, p, a->refusal);
			return;
		}
		break;
	case REFUSAL_UPSTREAM_DOWN:
	case REFUSAL_LEAVING:
		if (n && !p->keyed)
			n->avoid_until_ns = c->now_ns + AVOID_DOWN_NS;
		break;
	case REFUSAL_DEADLINE:
	case REFUSAL_NO_ROOM:
		end_without_answer(d, c, p, a->refusal);
		return;
	default:
		break;
	}
	if (p->keyed) {
		hold_request(d, c, p, HELD_RETRY_INTERVAL_NS);
		if (c->now_ns >= p->hold_until_ns)
			end_without_answer(d, c, p, a->refusal);
		return;
	}
	pick_mark_tried(p, p->gate_node);
	if (p->tried_count == DISPATCH_TRIED_MAX) {
		end_without_answer(d, c, p, a->refusal);
		return;
	}
	route_request(d, c, g, p);
}

/* The attempt may have run, so only an idempotent request is retried. */
static void on_unknown(struct dispatch *d, struct mesh_ctx *c,
		       struct local_gate *g, struct pending_request *p,
		       enum refusal why)
{
	struct dir_node *n = directory_node(&c->dir, p->gate_node);

	if (n && why != REFUSAL_NO_ANSWER)
		n->failure_rate +=
			FAILURE_NEWEST_WEIGHT * (1 - n->failure_rate);
	p->upstream_attempts++;
	p->may_have_run = true;
	p->refusal = why;
	if (!p->idempotent || !may_retry(d, c, p)) {
		end_without_answer(d, c, p, why);
		return;
	}
	pick_mark_tried(p, p->gate_node);
	if (p->tried_count == DISPATCH_TRIED_MAX)
		end_without_answer(d, c, p, why);
	else
		route_request(d, c, g, p);
}

static void update_answer_size(struct dispatch *d,
			       const struct pending_request *p,
			       const struct http_answer *answer)
{
	struct route_answer_size *s = answer_size_for(d, p->route);
	double kb = (double)answer->payload.body_len / 1024;

	s->mean_kb += ANSWER_NEWEST_WEIGHT * (kb - s->mean_kb);
}

static void on_done(struct dispatch *d, struct mesh_ctx *c,
		    struct local_gate *g, struct pending_request *p,
		    struct msg_answer *a, struct dir_node *n)
{
	bool failed = a->answer->code >= 500;
	struct http_answer *answer = a->answer;

	a->answer = NULL;
	update_answer_size(d, p, answer);
	if (n)
		n->failure_rate += FAILURE_NEWEST_WEIGHT *
				   ((double)failed - n->failure_rate);
	if (failed && p->idempotent && !p->failed_answer && !p->keyed) {
		p->upstream_attempts++;
		if (may_retry(d, c, p)) {
			p->failed_answer = answer;
			p->may_have_run = true;
			pick_mark_tried(p, p->gate_node);
			route_request(d, c, g, p);
			return;
		}
	}
	end_with_answer(d, c, p, answer);
}

void dispatch_on_answer(struct dispatch *d, struct mesh_ctx *c,
			struct local_gate *g, uint64_t from,
			struct msg_answer *a)
{
	struct pending_request *p = find_request(d, a->id);
	struct dir_node *n;

	if (!p || p->state != PENDING_SENT || p->attempt != a->attempt ||
	    p->gate_boot != from)
		return;
	n = directory_node(&c->dir, p->gate_node);
	pick_mark_left(c, p);
	if (n && from != c->opts->boot)
		not_run_note_load(n, a, c->now_ns);
	if (n)
		pick_note_pace(c, p, n, a->route_ns);
	if (message_drop_invalid_answer(a))
		mesh_log(c->out, LOG_WARN,
			 "event=answer_invalid why=head id=%s node=%s",
			 name_for_log(p->caller_id).text, p->gate_node);
	if (n && p->keyed)
		pick_note_answer(c, p, n, a->refusal);
	if (a->internal_route)
		note_internal_route(d, c, p);
	switch (a->outcome) {
	case OUTCOME_DONE:
		on_done(d, c, g, p, a, n);
		break;
	case OUTCOME_NOT_RUN:
		on_not_run(d, c, g, p, a, n);
		break;
	case OUTCOME_UNKNOWN:
	case OUTCOME_COUNT:
		on_unknown(d, c, g, p, a->refusal);
		break;
	}
}

/* True when another gate can get @p at once. */
static bool can_move(struct dispatch *d, struct mesh_ctx *c,
		     const struct pending_request *p)
{
	struct retry_claim claim = claim_of(p);

	return p->idempotent && p->upstream_attempts + 1 < p->max_attempts &&
	       p->tried_count + 1 < DISPATCH_TRIED_MAX &&
	       has_time_to_retry(c, p) &&
	       retries_has_room(&d->retries, c, &claim) && find_gate(d, c, p);
}

static void check_request(struct dispatch *d, struct mesh_ctx *c,
			  struct local_gate *g, struct pending_request *p)
{
	if (c->now_ns >= p->deadline_ns) {
		p->may_have_run |= not_run_cancel(c, g->gate, p);
		end_without_answer(d, c, p,
				   p->may_have_run ? REFUSAL_NO_ANSWER
						   : REFUSAL_DEADLINE);
		return;
	}
	attempt_probe_gate(c, p);
	if (attempt_gate_lost(c, p) &&
	    (attempt_gate_gone(c, p) || can_move(d, c, p))) {
		pick_mark_left(c, p);
		on_unknown(d, c, g, p, REFUSAL_CONNECTION_LOST);
	}
}

void dispatch_work(struct dispatch *d, struct mesh_ctx *c, struct local_gate *g)
{
	struct pending_request *p, *tmp;

	quotas_work(&d->quotas, c, g->holder);
	while ((p = quotas_next_decided(&d->quotas, c)))
		follow_verdict(d, c, g, p, p->quota.verdict);
	if (c->now_ns < d->next_expiry_ns)
		return;
	d->next_expiry_ns = c->now_ns + CHECK_INTERVAL_NS;
	for (int i = 0; d->count && i < DISPATCH_BUCKETS; i++)
		list_for_each_entry_safe(p, tmp, &d->by_id[i], link)
			check_request(d, c, g, p);
	list_for_each_entry_safe(p, tmp, &d->held, held)
		if (c->now_ns >= p->retry_at_ns)
			route_request(d, c, g, p);
}

void dispatch_end_all(struct dispatch *d, struct mesh_ctx *c,
		      struct local_gate *g, bool include_sent)
{
	struct pending_request *p, *tmp;

	for (int i = 0; i < DISPATCH_BUCKETS; i++) {
		list_for_each_entry_safe(p, tmp, &d->by_id[i], link) {
			if (p->state == PENDING_SENT && !include_sent)
				continue;
			p->may_have_run |= not_run_cancel(c, g->gate, p);
			end_without_answer(d, c, p, REFUSAL_LEAVING);
		}
	}
}

uint64_t dispatch_next_ns(const struct dispatch *d)
{
	uint64_t quotas_ns = quotas_next_ns(&d->quotas);

	return d->count && d->next_expiry_ns < quotas_ns ? d->next_expiry_ns
							 : quotas_ns;
}
