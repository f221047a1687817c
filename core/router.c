#include "core/router.h"

#include <stdlib.h>
#include <string.h>

#include "core/invariant.h"
#include "core/mem.h"
#include "core/request_key.h"

#define RETRY_NS      (20 * NS_PER_MS)
#define EXPIRY_NS     (50 * NS_PER_MS)
#define ENTRIES_MAX   20000
#define RETRY_AFTER_S 1

void router_init(struct router *r)
{
	memset(r, 0, sizeof(*r));
	for (int i = 0; i < ROUTER_BUCKETS; i++)
		list_init(&r->buckets[i]);
	list_init(&r->held);
	r->next_id = 1;
}

static void entry_delete(struct router *r, struct entry *e)
{
	list_remove(&e->link);
	list_remove(&e->held);
	http_request_delete(e->request);
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
}

static struct list *bucket(struct router *r, uint64_t counter)
{
	return &r->buckets[counter % ROUTER_BUCKETS];
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
	struct http_answer *answer; /* taken */
};

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
	r->outcomes[p->outcome]++;
}

static void refuse(struct router *r, struct ctx *c, uint64_t caller,
		   enum refusal refusal)
{
	reply(r, c,
	      &(struct reply){.caller = caller,
			      .outcome = OUTCOME_NOT_RUN,
			      .refusal = refusal});
}

static void finish(struct router *r, struct ctx *c, struct entry *e,
		   struct reply *p)
{
	p->caller = e->caller;
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

static bool can_serve(const struct ctx *c, const struct roster *ro,
		      const struct member *m, const struct route *route)
{
	const struct data_centre *dc =
		manifest_data_centre(view_manifest(&c->view), ro->dc);

	return m->state == MEMBER_UP && !strcmp(m->service, route->service) &&
	       (!dc || dc->state == DC_IN) &&
	       region_set_allows(&route->home_regions, ro->region);
}

/* Any endpoint of the service: one at random, the own data centre first. */
static incarnation_t choose_any(struct ctx *c, const struct route *route)
{
	incarnation_t best = 0;
	const struct doc *d = NULL;
	uint64_t best_rank = 0;

	while ((d = view_next(&c->view, DOC_ROSTER, d))) {
		const struct member *m;

		list_for_each_entry(m, &d->u.roster->members, link) {
			uint64_t rank = rng_next(&c->rng) >> 8;

			if (!can_serve(c, d->u.roster, m, route))
				continue;
			if (!strcmp(d->u.roster->region, c->opts->region))
				rank |= UINT64_C(1) << 57;
			if (!strcmp(d->u.roster->dc, c->opts->dc))
				rank |= UINT64_C(1) << 56;
			if (rank >= best_rank) {
				best_rank = rank;
				best = m->inc;
			}
		}
	}
	return best;
}

/* The gate for the next attempt; 0 and a reason when there is none. */
static incarnation_t choose(struct ctx *c, const struct entry *e,
			    const struct route *route, enum refusal *why)
{
	const struct shard_map *map;
	const struct shard *sh;

	*why = REFUSAL_NO_OWNER;
	if (route->kind == ROUTE_ANY)
		return choose_any(c, route);
	map = view_map(&c->view, route->name);
	if (!map)
		return 0;
	sh = shard_map_find(map, e->key);
	if (sh->target) {
		*why = REFUSAL_MOVING;
		return 0;
	}
	return sh->owner;
}

static void fill_forward(struct msg_forward *f, const struct entry *e,
			 const struct ctx *c)
{
	f->id = e->id;
	f->attempt = e->attempt;
	f->time_left_ns = e->deadline_ns - c->now_ns;
	f->idempotent = e->idempotent;
	mem_copy_str(f->reply_to, c->opts->peer_addr, sizeof(f->reply_to));
	mem_copy_str(f->route, e->route, sizeof(f->route));
	mem_copy_str(f->key, e->key, sizeof(f->key));
	mem_copy_str(f->organisation, e->organisation, sizeof(f->organisation));
	f->request = http_request_copy(e->request);
}

static void run_local(struct ctx *c, struct gate *g, const struct lease *lease,
		      const struct entry *e)
{
	struct msg_forward f = {0};

	fill_forward(&f, e, c);
	gate_run(g, c, lease, &f, c->boot);
}

static void run_remote(struct ctx *c, const struct entry *e,
		       const struct member *m)
{
	struct message *msg = message_new(MSG_FORWARD);

	fill_forward(&msg->u.forward, e, c);
	ctx_send(c, m->inc, m->peer_addr, msg);
	msg->from = c->boot;
}

static void dispatch(struct router *r, struct ctx *c, struct gate *g,
		     const struct lease *lease, struct entry *e)
{
	const struct manifest *mf = view_manifest(&c->view);
	const struct route *route = mf ? manifest_route(mf, e->route) : NULL;
	enum refusal why = REFUSAL_NO_ROUTE;
	incarnation_t to = route ? choose(c, e, route, &why) : 0;
	const struct member *m = view_member(&c->view, to, NULL);

	if (!m) {
		hold(r, c, e, why);
		return;
	}
	list_remove(&e->held);
	e->state = ENTRY_FORWARDED;
	e->at = to;
	e->attempt++;
	e->revision = c->view.revision;
	if (to == c->self)
		run_local(c, g, lease, e);
	else
		run_remote(c, e, m);
}

static struct entry *entry_new(struct router *r, struct ctx *c,
			       const struct route *route, struct ev_request *ev)
{
	struct entry *e = mem_new(struct entry);
	const char *org =
		payload_header(&ev->request->payload, HEADER_ORGANISATION);

	list_init(&e->held);
	e->id.node = c->boot;
	e->id.counter = r->next_id++;
	e->caller = ev->caller;
	e->idempotent = route_idempotent(route, ev->request->method);
	mem_copy_str(e->route, route->name, sizeof(e->route));
	if (org)
		mem_copy_str(e->organisation, org, sizeof(e->organisation));
	e->deadline_ns = c->now_ns + route->timeout_ms * NS_PER_MS;
	if (ev->deadline_ns && ev->deadline_ns < e->deadline_ns)
		e->deadline_ns = ev->deadline_ns;
	e->request = ev->request;
	ev->request = NULL;
	list_push_back(bucket(r, e->id.counter), &e->link);
	r->count++;
	return e;
}

static enum refusal check_request(const struct router *r, const struct ctx *c,
				  const struct ev_request *ev,
				  const struct route **route, char *key)
{
	const struct manifest *mf = view_manifest(&c->view);
	const struct organisation *o;
	const char *org;

	if (r->leaving)
		return REFUSAL_LEAVING;
	if (!mf)
		return REFUSAL_NO_MANIFEST;
	*route = manifest_match(mf, ev->request->target);
	if (!*route)
		return REFUSAL_NO_ROUTE;
	if (ev->request->payload.body_len > (*route)->max_body_bytes)
		return REFUSAL_TOO_LARGE;
	if (r->count >= ENTRIES_MAX)
		return REFUSAL_QUEUE_FULL;
	org = payload_header(&ev->request->payload, HEADER_ORGANISATION);
	o = org ? manifest_organisation(mf, org) : NULL;
	if (!region_set_allows(&(*route)->home_regions, c->opts->region) ||
	    (o && !region_set_allows(&o->home_regions, c->opts->region)))
		return REFUSAL_HOME_REGION;
	if ((*route)->kind == ROUTE_KEYED &&
	    !request_key(ev->request, &(*route)->key, key, JD_KEY_MAX))
		return REFUSAL_NO_KEY;
	return REFUSAL_NONE;
}

void router_on_request(struct router *r, struct ctx *c, struct gate *g,
		       const struct lease *lease, struct ev_request *ev)
{
	const struct route *route = NULL;
	char key[JD_KEY_MAX] = "";
	enum refusal refusal = check_request(r, c, ev, &route, key);
	struct entry *e;

	r->requests++;
	if (refusal != REFUSAL_NONE) {
		refuse(r, c, ev->caller, refusal);
		http_request_delete(ev->request);
		ev->request = NULL;
		return;
	}
	e = entry_new(r, c, route, ev);
	mem_copy_str(e->key, key, sizeof(e->key));
	if (e->deadline_ns <= c->now_ns) {
		finish(r, c, e,
		       &(struct reply){.outcome = OUTCOME_NOT_RUN,
				       .refusal = REFUSAL_DEADLINE});
		return;
	}
	dispatch(r, c, g, lease, e);
}

/* Another attempt is safe after "not run", or when running twice is. */
static bool may_retry(const struct entry *e, const struct msg_answer *a,
		      const struct ctx *c)
{
	if (c->now_ns >= e->deadline_ns)
		return false;
	if (a->outcome == OUTCOME_NOT_RUN)
		return refusal_find(a->refusal)->retry;
	return a->outcome == OUTCOME_UNKNOWN && e->idempotent &&
	       a->refusal == REFUSAL_CONNECTION_LOST;
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
	if (may_retry(e, a, c)) {
		hold(r, c, e, a->refusal);
		return;
	}
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
	if (e->at == c->self) {
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

void router_on_caller_gone(struct router *r, struct ctx *c, struct gate *g,
			   uint64_t caller)
{
	for (int i = 0; i < ROUTER_BUCKETS; i++) {
		struct entry *e, *tmp;

		list_for_each_entry_safe(e, tmp, &r->buckets[i], link) {
			if (e->caller != caller)
				continue;
			cancel(c, g, e);
			entry_delete(r, e);
		}
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
			cancel(c, g, e);
			finish(r, c, e, &p);
		}
	}
}

/* An idempotent request whose gate is gone need not wait for it. */
static void give_up_lost(struct router *r, struct ctx *c)
{
	for (int i = 0; i < ROUTER_BUCKETS; i++) {
		struct entry *e;

		list_for_each_entry(e, &r->buckets[i], link) {
			if (e->state != ENTRY_FORWARDED || !e->idempotent ||
			    view_member(&c->view, e->at, NULL))
				continue;
			hold(r, c, e, REFUSAL_NO_OWNER);
		}
	}
}

void router_work(struct router *r, struct ctx *c, struct gate *g,
		 const struct lease *lease)
{
	struct entry *e, *tmp;
	struct list due;

	if (c->now_ns >= r->next_expiry_ns)
		give_up_lost(r, c);
	expire(r, c, g);
	list_init(&due);
	list_for_each_entry_safe(e, tmp, &r->held, held) {
		if (c->now_ns < e->retry_ns && e->revision == c->view.revision)
			continue;
		list_remove(&e->held);
		list_push_back(&due, &e->held);
	}
	while (!list_empty(&due)) {
		e = list_entry(due.next, struct entry, held);
		list_remove(&e->held);
		e->revision = c->view.revision;
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
