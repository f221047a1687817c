#include "core/gate.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/home_region.h"
#include "core/invariant.h"
#include "core/mem.h"

#define GRANT_INTERVAL_NS   (400 * NS_PER_MS)
#define GRANT_RETRY_NS	    (20 * NS_PER_MS)
#define RELEASE_INTERVAL_NS (100 * NS_PER_MS)
#define EXPIRY_INTERVAL_NS  (200 * NS_PER_MS)
/*
 * While attempts wait: short enough that a late not_run reaches the entry node
 * within the reserve that it keeps before the caller's deadline.
 */
#define ADMIT_INTERVAL_NS   (10 * NS_PER_MS)

void gate_init(struct gate *g)
{
	memset(g, 0, sizeof(*g));
	for (int i = 0; i < GATE_BUCKETS; i++) {
		list_init(&g->buckets[i]);
		list_init(&g->calls[i]);
	}
	admission_init(&g->admission);
	list_init(&g->routes);
	hot_keys_init(&g->hot);
	list_init(&g->results);
	replay_init(&g->replay);
	g->next_call = 1;
}

static void call_delete(struct gate_call *gc)
{
	list_remove(&gc->link);
	list_remove(&gc->by_call);
	http_request_unref(gc->request);
	free(gc);
}

void gate_done(struct gate *g)
{
	struct gate_route *r, *rt;
	struct gate_result *res;

	for (int i = 0; i < GATE_BUCKETS; i++) {
		struct gate_call *gc, *tmp;

		list_for_each_entry_safe(gc, tmp, &g->buckets[i], link)
			call_delete(gc);
	}
	list_for_each_entry_safe(r, rt, &g->routes, link) {
		free(r->shards);
		free(r);
	}
	while ((res = gate_pop_result(g)))
		gate_result_delete(res);
	replay_done(&g->replay);
	admission_done(&g->admission);
}

struct gate_result *gate_pop_result(struct gate *g)
{
	struct gate_result *r;

	if (list_empty(&g->results))
		return NULL;
	r = list_entry(g->results.next, struct gate_result, link);
	list_remove(&r->link);
	return r;
}

void gate_result_delete(struct gate_result *r)
{
	http_answer_delete(r->answer);
	free(r);
}

bool gate_busy(const struct gate *g)
{
	return g->admission.running || g->admission.waiting;
}

void gate_on_announcement(struct gate *g, struct ctx *c,
			  const struct ev_announcement *a)
{
	if (g->upstream.instance != a->instance) {
		actions_log(c->out, LOG_INFO,
			    "event=upstream_announced service=%s addr=%s "
			    "slots=%u checks_grants=%d",
			    a->service, a->addr, a->slots, a->checks_grants);
		g->next_grant_ns = c->now_ns;
		g->grant_digest = 0;
	}
	g->upstream = *a;
	admission_on_announcement(&g->admission, a, c->now_ns);
}

static struct list *bucket(struct gate *g, struct request_id id)
{
	return &g->buckets[(id.node ^ id.counter) % GATE_BUCKETS];
}

static struct gate_call *find_attempt(struct gate *g, struct request_id id,
				      uint32_t attempt)
{
	struct gate_call *gc;

	list_for_each_entry(gc, bucket(g, id), link)
		if (request_id_equal(gc->id, id) && gc->attempt == attempt)
			return gc;
	return NULL;
}

static struct gate_route *route_get(struct gate *g, const char *name,
				    uint32_t count)
{
	struct gate_route *r;

	list_for_each_entry(r, &g->routes, link)
		if (!strcmp(r->name, name) && r->count == count)
			return r;
	r = mem_new(struct gate_route);
	mem_copy_str(r->name, name, sizeof(r->name));
	r->count = count;
	r->shards = mem_zalloc(count, sizeof(*r->shards));
	list_push_back(&g->routes, &r->link);
	return r;
}

static struct local_shard *local_shard(struct gate *g, const struct ctx *c,
				       const struct gate_call *gc)
{
	const struct shard_map *map = view_map(&c->view, gc->route);

	if (!gc->epoch || !map || gc->shard >= map->count)
		return NULL;
	return &route_get(g, gc->route, map->count)->shards[gc->shard];
}

static enum request_end request_end(const struct gate_call *gc,
				    enum outcome outcome, enum refusal refusal)
{
	if (gc->cancelled)
		return REQUEST_CANCELLED;
	if (outcome == OUTCOME_DONE)
		return REQUEST_ANSWERED;
	switch (refusal) {
	case REFUSAL_UPSTREAM_SHED:
		return REQUEST_SHED;
	case REFUSAL_UPSTREAM_DOWN:
	case REFUSAL_CONNECTION_LOST:
		return REQUEST_FAILED;
	case REFUSAL_NO_ANSWER:
		return REQUEST_TIMED_OUT;
	default:
		return REQUEST_NOT_SENT;
	}
}

/*
 * Appends the result, frees the attempt and its slot or place in the queue, and
 * takes ownership of @answer.
 */
static void end_attempt(struct gate *g, const struct ctx *c,
			struct gate_call *gc, enum outcome outcome,
			enum refusal refusal, struct http_answer *answer)
{
	struct gate_result *r = mem_new(struct gate_result);
	struct local_shard *sh = local_shard(g, c, gc);

	admission_end(&g->admission, &gc->ticket,
		      request_end(gc, outcome, refusal), c->now_ns);
	if (sh && sh->in_flight)
		sh->in_flight--;
	g->served++;
	r->id = gc->id;
	r->attempt = gc->attempt;
	r->from = gc->from;
	r->self = gc->self;
	mem_copy_str(r->reply_to, gc->reply_to, sizeof(r->reply_to));
	r->outcome = outcome;
	r->refusal = refusal;
	r->answer = answer;
	list_push_back(&g->results, &r->link);
	call_delete(gc);
}

static enum refusal check_keyed(struct gate *g, const struct ctx *c,
				struct gate_call *gc, const char *key)
{
	const struct shard_map *map = view_map(&c->view, gc->route);
	const struct shard *sh;
	struct gate_route *r;
	uint32_t i;

	if (!map)
		return REFUSAL_NOT_OWNER;
	i = shard_map_index(map, key, strlen(key));
	sh = &map->shards[i];
	r = route_get(g, gc->route, map->count);
	if (sh->owner != c->self)
		return REFUSAL_NOT_OWNER;
	if (sh->target || r->shards[i].released >= sh->epoch)
		return REFUSAL_MOVING;
	gc->shard = i;
	gc->epoch = sh->epoch;
	return REFUSAL_NONE;
}

static enum refusal check_attempt(struct gate *g, const struct ctx *c,
				  const struct lease *lease,
				  struct gate_call *gc,
				  const struct msg_forward *f)
{
	const struct manifest *m = view_manifest(&c->view);
	enum refusal refusal;
	struct home home;

	if (!m)
		return REFUSAL_NO_MANIFEST;
	refusal = home_find(&home, m, f->route, forward_organisation(f));
	if (refusal != REFUSAL_NONE)
		return refusal;
	if (!home_allows(&home, c->opts->region))
		return REFUSAL_HOME_REGION;
	if (!g->upstream.instance ||
	    strcmp(g->upstream.service, home.route->service) != 0)
		return REFUSAL_UPSTREAM_DOWN;
	if (!lease_valid(lease, c->now_ns))
		return REFUSAL_NO_LEASE;
	if (c->now_ns >= gc->deadline_ns)
		return REFUSAL_DEADLINE;
	return home.route->kind == ROUTE_KEYED ? check_keyed(g, c, gc, f->key)
					       : REFUSAL_NONE;
}

static void start_call(struct gate *g, struct ctx *c, struct gate_call *gc,
		       const struct lease *lease)
{
	struct act_upstream_call *a;

	a = &actions_add(c->out, ACT_UPSTREAM_CALL)->u.call;
	gc->call = g->next_call++;
	list_push_back(&g->calls[gc->call % GATE_BUCKETS], &gc->by_call);
	a->call = gc->call;
	mem_copy_str(a->addr, g->upstream.addr, sizeof(a->addr));
	mem_copy_str(a->fence.route, gc->route, sizeof(a->fence.route));
	a->fence.shard = gc->shard;
	a->fence.epoch = gc->epoch;
	a->id = gc->id;
	a->deadline_ns = gc->deadline_ns;
	a->write_before_ns = lease->deadline_ns;
	a->request = gc->request;
	gc->request = NULL;
}

static struct gate_call *call_new(struct gate *g, const struct ctx *c,
				  struct msg_forward *f, incarnation_t from)
{
	struct gate_call *gc = mem_new(struct gate_call);

	list_init(&gc->by_call);
	list_init(&gc->ticket.link);
	gc->id = f->id;
	gc->attempt = f->attempt;
	gc->from = from;
	gc->self = c->self;
	mem_copy_str(gc->reply_to, f->reply_to, sizeof(gc->reply_to));
	mem_copy_str(gc->route, f->route, sizeof(gc->route));
	gc->deadline_ns = c->now_ns + f->time_left_ns;
	gc->request = f->request;
	f->request = NULL;
	list_push_back(bucket(g, gc->id), &gc->link);
	return gc;
}

/* Organisations that are not in the manifest share one queue. */
static enum refusal enqueue(struct gate *g, const struct ctx *c,
			    struct gate_call *gc, const char *organisation)
{
	const struct manifest *m = view_manifest(&c->view);
	const struct organisation *o = manifest_organisation(m, organisation);
	struct ticket_opts opts = {
		.organisation = o ? o->name : "",
		.weight = o ? o->weight : 1,
		.deadline_ns = gc->deadline_ns,
		.any = !gc->epoch,
	};

	return admission_enqueue(&g->admission, &gc->ticket, &opts, c->now_ns);
}

/* Ends attempts that can't run any more and starts those that may run. */
static void start_waiting(struct gate *g, struct ctx *c,
			  const struct lease *lease)
{
	enum refusal why;
	struct ticket *t;

	while ((t = admission_pop_dropped(&g->admission, c->now_ns, &why)))
		end_attempt(g, c, list_entry(t, struct gate_call, ticket),
			    OUTCOME_NOT_RUN, why, NULL);
	while ((t = admission_start_next(&g->admission, c->now_ns))) {
		struct gate_call *gc = list_entry(t, struct gate_call, ticket);

		if (lease_valid(lease, c->now_ns))
			start_call(g, c, gc, lease);
		else
			end_attempt(g, c, gc, OUTCOME_NOT_RUN, REFUSAL_NO_LEASE,
				    NULL);
	}
}

void gate_submit(struct gate *g, struct ctx *c, const struct lease *lease,
		 struct msg_forward *f, incarnation_t from)
{
	struct gate_call *gc = find_attempt(g, f->id, f->attempt);
	enum refusal refusal;
	struct local_shard *sh;

	/*
	 * A repeated attempt gets no answer, since the entry node would take it
	 * for the answer to the first.
	 */
	if (gc || (from != c->boot &&
		   !replay_accept(&g->replay, from, f->sequence, c->now_ns))) {
		g->doubled++;
		return;
	}
	gc = call_new(g, c, f, from);
	refusal = check_attempt(g, c, lease, gc, f);
	if (refusal == REFUSAL_NONE)
		refusal = enqueue(g, c, gc, forward_organisation(f));
	if (refusal != REFUSAL_NONE) {
		gc->epoch = 0;
		end_attempt(g, c, gc, OUTCOME_NOT_RUN, refusal, NULL);
		return;
	}
	sh = local_shard(g, c, gc);
	if (sh) {
		sh->in_flight++;
		hot_keys_count(&g->hot, gc->route, gc->shard, f->key);
	}
	start_waiting(g, c, lease);
}

static struct gate_call *find_call(struct gate *g, uint64_t call)
{
	struct gate_call *gc;

	list_for_each_entry(gc, &g->calls[call % GATE_BUCKETS], by_call)
		if (gc->call == call)
			return gc;
	return NULL;
}

/*
 * Sends all grants soon: the upstream did not accept the last message or has
 * other grants than this node believes.
 */
static void resend_grants(struct gate *g, const struct ctx *c)
{
	g->grant_digest = 0;
	if (g->next_grant_ns > c->now_ns + GRANT_RETRY_NS)
		g->next_grant_ns = c->now_ns + GRANT_RETRY_NS;
}

/*
 * An answer above the size limit can't be sent to the entry node. It is not
 * truncated: a caller gets a complete answer or none.
 */
static void drop_large_answer(struct ev_upstream_answer *a)
{
	if (!a->answer || a->answer->payload.body_len <= HTTP_ANSWER_MAX_BYTES)
		return;
	http_answer_delete(a->answer);
	a->answer = NULL;
	a->outcome = OUTCOME_UNKNOWN;
	a->refusal = REFUSAL_ANSWER_TOO_LARGE;
}

void gate_on_upstream_answer(struct gate *g, struct ctx *c,
			     struct ev_upstream_answer *a,
			     const struct lease *lease)
{
	struct gate_call *gc = a->call ? find_call(g, a->call) : NULL;

	if (!a->call || a->refusal == REFUSAL_NOT_OWNER)
		resend_grants(g, c);
	drop_large_answer(a);
	if (gc) {
		end_attempt(g, c, gc, a->outcome, a->refusal, a->answer);
		a->answer = NULL;
	}
	start_waiting(g, c, lease);
}

void gate_on_cancel(struct gate *g, struct ctx *c, const struct msg_cancel *m)
{
	struct gate_call *gc = find_attempt(g, m->id, m->attempt);

	if (!gc)
		return;
	if (gc->call) {
		gc->cancelled = true;
		actions_add(c->out, ACT_UPSTREAM_CANCEL)->u.cancel = gc->call;
		return;
	}
	end_attempt(g, c, gc, OUTCOME_NOT_RUN, REFUSAL_DEADLINE, NULL);
}

static void grant_map(struct act_grant *a, const struct ctx *c, struct gate *g,
		      const struct shard_map *map)
{
	struct gate_route *r = route_get(g, map->route, map->count);
	struct grant_range *last = NULL;

	for (uint32_t i = 0; i < map->count; i++) {
		const struct shard *sh = &map->shards[i];

		if (sh->owner != c->self || r->shards[i].released >= sh->epoch)
			continue;
		if (last && last->last + 1 == i && last->epoch == sh->epoch) {
			last->last = i;
			continue;
		}
		last = mem_new(struct grant_range);
		mem_copy_str(last->route, map->route, sizeof(last->route));
		last->first = i;
		last->last = i;
		last->epoch = sh->epoch;
		list_push_back(&a->ranges, &last->link);
	}
}

/* Never 0, which means that all grants must be sent. */
static uint64_t ranges_digest(const struct act_grant *a)
{
	const struct grant_range *r;
	uint64_t digest = 1;

	list_for_each_entry(r, &a->ranges, link) {
		uint64_t part[] = {digest, r->first, r->last, r->epoch};

		digest = XXH3_64bits(part, sizeof(part)) ^
			 XXH3_64bits(r->route, strlen(r->route));
	}
	return digest ? digest : 1;
}

static void drop_ranges(struct act_grant *a)
{
	struct grant_range *r, *tmp;

	list_for_each_entry_safe(r, tmp, &a->ranges, link) {
		list_remove(&r->link);
		free(r);
	}
}

/*
 * Sends the ranges only when they changed; otherwise the message just extends
 * their deadline.
 */
static void renew_grants(struct gate *g, struct ctx *c,
			 const struct lease *lease)
{
	const struct doc *d = NULL;
	struct act_grant *a;
	uint64_t digest;

	if (!g->upstream.instance || !lease_valid(lease, c->now_ns) ||
	    (c->now_ns < g->next_grant_ns &&
	     g->grant_revision == c->view.revision))
		return;
	g->next_grant_ns = c->now_ns + GRANT_INTERVAL_NS;
	g->grant_revision = c->view.revision;
	a = &actions_add(c->out, ACT_GRANT)->u.grant;
	mem_copy_str(a->addr, g->upstream.addr, sizeof(a->addr));
	a->deadline_ns = lease->deadline_ns;
	while ((d = view_next(&c->view, DOC_MAP, d)))
		grant_map(a, c, g, d->u.map);
	digest = ranges_digest(a);
	a->replaces_all = digest != g->grant_digest;
	if (a->replaces_all)
		g->grant_version = c->now_ns;
	else
		drop_ranges(a);
	a->version = g->grant_version;
	g->grant_digest = digest;
}

static void release_add(struct message *msg, uint32_t shard, epoch_t epoch)
{
	struct msg_release *r = &msg->u.release;

	r->shards = mem_realloc(r->shards, r->count + 1, sizeof(*r->shards));
	r->epochs = mem_realloc(r->epochs, r->count + 1, sizeof(*r->epochs));
	r->shards[r->count] = shard;
	r->epochs[r->count] = epoch;
	r->count++;
}

/*
 * Releases the shards that move to another owner and have nothing in flight;
 * they are never served again under their epoch.
 */
static void release_map(struct gate *g, struct ctx *c,
			const struct shard_map *map,
			const struct member *planner)
{
	struct gate_route *r = route_get(g, map->route, map->count);
	struct message *msg = message_new(MSG_RELEASE);

	mem_copy_str(msg->u.release.route, map->route,
		     sizeof(msg->u.release.route));
	for (uint32_t i = 0; i < map->count; i++) {
		const struct shard *sh = &map->shards[i];

		if (sh->owner != c->self || !sh->target ||
		    r->shards[i].in_flight)
			continue;
		r->shards[i].released = sh->epoch;
		release_add(msg, i, sh->epoch);
	}
	if (!msg->u.release.count || !planner) {
		message_delete(msg);
		return;
	}
	ctx_send(c, planner->inc, planner->peer_addr, msg);
}

static void report_hot_keys(struct gate *g, struct ctx *c)
{
	incarnation_t holder = view_planner(&c->view).holder;
	const struct member *planner = view_member(&c->view, holder, NULL);
	struct hot_report items[HOT_KEYS_REPORT_MAX];
	uint32_t n = hot_keys_report(&g->hot, c->now_ns, items);
	struct message *msg;

	if (!n || !planner)
		return;
	msg = message_new(MSG_HOT_KEYS);
	msg->u.hot_keys.count = n;
	memcpy(msg->u.hot_keys.items, items, n * sizeof(*items));
	ctx_send(c, planner->inc, planner->peer_addr, msg);
}

static void release_shards(struct gate *g, struct ctx *c)
{
	incarnation_t holder = view_planner(&c->view).holder;
	const struct member *planner = view_member(&c->view, holder, NULL);
	const struct doc *d = NULL;

	if (c->now_ns < g->next_release_ns)
		return;
	g->next_release_ns = c->now_ns + RELEASE_INTERVAL_NS;
	while ((d = view_next(&c->view, DOC_MAP, d)))
		release_map(g, c, d->u.map, planner);
}

/* Ends waiting attempts past their deadline. */
static void end_expired(struct gate *g, struct ctx *c)
{
	if (c->now_ns < g->next_expiry_ns)
		return;
	g->next_expiry_ns = c->now_ns + EXPIRY_INTERVAL_NS;
	for (int i = 0; i < GATE_BUCKETS; i++) {
		struct gate_call *gc, *tmp;

		list_for_each_entry_safe(gc, tmp, &g->buckets[i], link) {
			if (c->now_ns >= gc->deadline_ns && !gc->call)
				end_attempt(g, c, gc, OUTCOME_NOT_RUN,
					    REFUSAL_DEADLINE, NULL);
		}
	}
}

void gate_refuse_waiting(struct gate *g, struct ctx *c)
{
	for (int i = 0; i < GATE_BUCKETS; i++) {
		struct gate_call *gc, *tmp;

		list_for_each_entry_safe(gc, tmp, &g->buckets[i], link)
			if (!gc->call)
				end_attempt(g, c, gc, OUTCOME_NOT_RUN,
					    REFUSAL_NO_LEASE, NULL);
	}
}

void gate_work(struct gate *g, struct ctx *c, const struct lease *lease)
{
	renew_grants(g, c, lease);
	release_shards(g, c);
	report_hot_keys(g, c);
	end_expired(g, c);
	start_waiting(g, c, lease);
	g->next_admit_ns = g->admission.waiting ? c->now_ns + ADMIT_INTERVAL_NS
						: DEADLINE_NEVER;
}

uint64_t gate_next_ns(const struct gate *g)
{
	uint64_t next = g->next_expiry_ns;

	if (g->next_admit_ns < next)
		next = g->next_admit_ns;
	if (g->next_release_ns < next)
		next = g->next_release_ns;
	if (g->upstream.instance && g->next_grant_ns < next)
		next = g->next_grant_ns;
	return next;
}
