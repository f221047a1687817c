#include "core/gatekeeper.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/name.h"

/* Weight of the newest value in the moving averages of service time. */
#define MEAN_NEWEST_WEIGHT	    0.05
/* Mean service time assumed before the first answer. */
#define SERVICE_TIME_INITIAL_NS	    (200.0 * NS_PER_MS)
/* Weight of the newest forward in the mean time that they wait on their way. */
#define TRANSIT_NEWEST_WEIGHT	    0.1
/* All but a few requests take less than this many mean service times. */
#define DURATION_MAX_MEANS	    5.0
/* Largest burst that the rate limit of a cold upstream allows. */
#define COLD_BURST_REQUESTS	    4.0
/* Requests per second of a service whose manifest sets no cold rate. */
#define COLD_RATE_DEFAULT_PER_S	    10.0
/* Reserved for the answer to travel from the gate back to the entry. */
#define ANSWER_TRANSIT_NS	    (5 * NS_PER_MS)
/* An attempt with less time left is not started. */
#define START_TIME_LEFT_MIN_NS	    (10 * NS_PER_MS)
/*
 * A route is internal, that is, only upstreams of other services call it, if
 * this many of its requests came from the VMs of other services and none from
 * a VM of this one: external callers use the VMs of all services.
 */
#define INTERNAL_ROUTE_MIN_REQUESTS 40

void gatekeeper_init(struct gatekeeper *g)
{
	memset(g, 0, sizeof(*g));
	list_init(&g->waiting);
	list_init(&g->running);
	list_init(&g->results);
	list_init(&g->routes);
	g->next_call = 1;
	g->mean_ns = SERVICE_TIME_INITIAL_NS;
	g->slot_ns = SERVICE_TIME_INITIAL_NS;
	g->work_percent = 100;
}

static void attempt_delete(struct gate_attempt *a)
{
	list_remove(&a->link);
	free(a->caller_id);
	free(a->caller_service);
	free(a->organisation);
	http_request_unref(a->request);
	free(a);
}

void gatekeeper_done(struct gatekeeper *g)
{
	struct gate_attempt *a, *tmp;
	struct route_stats *s, *st;
	struct attempt_result *r;

	list_for_each_entry_safe(a, tmp, &g->waiting, link)
		attempt_delete(a);
	list_for_each_entry_safe(a, tmp, &g->running, link)
		attempt_delete(a);
	list_for_each_entry_safe(s, st, &g->routes, link)
		free(s);
	while ((r = gatekeeper_pop_result(g))) {
		http_answer_delete(r->answer.answer);
		free(r);
	}
}

struct attempt_result *gatekeeper_pop_result(struct gatekeeper *g)
{
	struct attempt_result *r;

	if (list_empty(&g->results))
		return NULL;
	r = list_entry(g->results.next, struct attempt_result, link);
	list_remove(&r->link);
	return r;
}

uint32_t gatekeeper_attempt_count(const struct gatekeeper *g)
{
	return g->running_count + g->waiting_count;
}

static struct route_stats *stats_for(struct gatekeeper *g, const char *route)
{
	struct route_stats *s;

	list_for_each_entry(s, &g->routes, link)
		if (!strcmp(s->route, route))
			return s;
	s = mem_new(struct route_stats);
	mem_copy_str(s->route, route, sizeof(s->route));
	s->mean_ns = g->mean_ns;
	list_push_back(&g->routes, &s->link);
	return s;
}

static bool is_internal_route(const struct route_stats *s)
{
	return !s->from_own_service &&
	       s->from_other_services >= INTERNAL_ROUTE_MIN_REQUESTS;
}

static void count_origin(struct gatekeeper *g, const struct mesh_ctx *c,
			 const struct gate_attempt *a)
{
	struct route_stats *s = stats_for(g, a->route);

	if (a->caller_service &&
	    !strcmp(a->caller_service, mesh_service_name(c->opts)))
		s->from_own_service++;
	else
		s->from_other_services++;
}

static void uncount(struct gatekeeper *g, const struct gate_attempt *a)
{
	if (a->state == ATTEMPT_WAITING)
		g->waiting_count--;
	else
		g->running_count--;
}

/*
 * Queues the result of @a and frees @a. Takes ownership of @answer, which may
 * be NULL.
 */
static void end_attempt(struct gatekeeper *g, struct gate_attempt *a,
			enum outcome outcome, enum refusal refusal,
			struct http_answer *answer)
{
	struct attempt_result *r = mem_new(struct attempt_result);

	r->from = a->from;
	mem_copy_str(r->reply_to, a->reply_to, sizeof(r->reply_to));
	r->answer.id = a->id;
	r->answer.attempt = a->attempt;
	r->answer.outcome = outcome;
	r->answer.refusal = refusal;
	r->answer.internal_route = a->internal;
	r->answer.route_ns = even_pace_ns(&stats_for(g, a->route)->pace);
	r->answer.answer = answer;
	list_push_back(&g->results, &r->link);
	g->served += outcome == OUTCOME_DONE;
	g->refused += outcome == OUTCOME_NOT_RUN;
	uncount(g, a);
	attempt_delete(a);
}

static uint32_t slot_limit(const struct holder *h)
{
	return h->slots ? h->slots : 1;
}

/*
 * Calls on internal routes run first, as a request that has started waits for
 * them. The others run by priority, then by objective.
 */
static bool runs_before(const struct gate_attempt *a,
			const struct gate_attempt *b)
{
	if (a->internal != b->internal)
		return a->internal;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->objective_at_ns < b->objective_at_ns;
}

static struct order_terms terms_of(const struct gate_attempt *a)
{
	return (struct order_terms){
		.rank = a->priority,
		.call = a->internal,
		.late = a->late,
		.again = a->again,
		.objective_at_ns = a->objective_at_ns,
		.deadline_ns = a->deadline_ns,
		.late_until_ns = a->late_until_ns,
	};
}

static bool goes_before(const struct mesh_ctx *c, const struct gate_attempt *a,
			const struct gate_attempt *b)
{
	struct order_terms ta = terms_of(a);
	struct order_terms tb = terms_of(b);

	return c->opts->heavy_load ? order_before(&ta, &tb) : runs_before(a, b);
}

/* Slots that @a may not take, as calls need them. */
static uint32_t kept_free(const struct gatekeeper *g, const struct mesh_ctx *c,
			  const struct holder *h, const struct gate_attempt *a)
{
	if (!c->opts->heavy_load || a->internal)
		return 0;
	return call_room_free(&g->call_room, slot_limit(h), c->now_ns);
}

static double cold_rate_per_s(const struct mesh_ctx *c)
{
	const struct service *sv =
		c->dir.manifest
			? manifest_service(c->dir.manifest, c->opts->service)
			: NULL;

	return sv && sv->cold_per_s > 0 ? sv->cold_per_s
					: COLD_RATE_DEFAULT_PER_S;
}

/* Expected time in ns until @a would start if it were queued now. */
static uint64_t expected_wait_ns(const struct gatekeeper *g,
				 const struct mesh_ctx *c,
				 const struct holder *h,
				 const struct gate_attempt *a)
{
	const struct gate_attempt *other;
	uint32_t ahead = 0;
	uint32_t limit = slot_limit(h);
	double wait_ns = 0;

	list_for_each_entry(other, &g->waiting, link)
		ahead += !runs_before(a, other);
	if (g->running_count >= limit)
		wait_ns = (ahead + 1) * g->mean_ns / limit;
	/* The rate limit of a cold upstream applies even if slots are free. */
	if (c->now_ns < h->cold_until_ns &&
	    ahead * (double)NS_PER_S / cold_rate_per_s(c) > wait_ns)
		wait_ns = ahead * (double)NS_PER_S / cold_rate_per_s(c);
	return (uint64_t)wait_ns;
}

static void enqueue(struct gatekeeper *g, const struct mesh_ctx *c,
		    struct gate_attempt *a)
{
	struct gate_attempt *other;

	list_for_each_entry(other, &g->waiting, link)
		if (goes_before(c, a, other))
			break;
	list_insert_before(&other->link, &a->link);
	g->waiting_count++;
}

/* Returns @text to a new owner and leaves none behind. */
static char *take_text(char **text)
{
	char *taken = *text;

	*text = NULL;
	return taken;
}

static struct gate_attempt *attempt_new(struct gatekeeper *g,
					const struct mesh_ctx *c,
					struct msg_forward *f, uint64_t from,
					uint64_t delay_ns)
{
	struct gate_attempt *a = mem_new(struct gate_attempt);
	uint64_t time_left_ns =
		f->time_left_ns > delay_ns ? f->time_left_ns - delay_ns : 0;
	uint64_t objective_left_ns =
		f->objective_ns > delay_ns ? f->objective_ns - delay_ns : 0;

	list_init(&a->link);
	a->from = from;
	mem_copy_str(a->reply_to, f->reply_to, sizeof(a->reply_to));
	a->id = f->id;
	a->attempt = f->attempt;
	a->deadline_ns = c->now_ns + time_left_ns;
	a->objective_at_ns = c->now_ns + objective_left_ns;
	a->priority = f->priority;
	a->internal = f->call || is_internal_route(stats_for(g, f->route));
	a->again = f->again;
	a->keyed = f->keyed;
	a->shard = f->shard;
	mem_copy_str(a->route, f->route, sizeof(a->route));
	a->caller_id = take_text(&f->caller_id);
	a->caller_service = take_text(&f->caller_service);
	a->organisation = take_text(&f->organisation);
	a->request = f->request;
	f->request = NULL;
	return a;
}

/* True when the process may end before @a would be answered. */
static bool may_outlast_process(struct gatekeeper *g, const struct mesh_ctx *c,
				const struct gate_attempt *a)
{
	return g->end_ns &&
	       (double)c->now_ns + DURATION_MAX_MEANS *
					   stats_for(g, a->route)->mean_ns >
		       (double)g->end_ns;
}

/* Why @a can't be started by this gate; REFUSAL_NONE when it can. */
static enum refusal attempt_refusal(struct gatekeeper *g,
				    const struct mesh_ctx *c,
				    const struct holder *h,
				    const struct gate_attempt *a)
{
	if (!h->known || h->gone)
		return REFUSAL_UPSTREAM_DOWN;
	if (!holder_accepts_requests(h, c) || may_outlast_process(g, c, a))
		return REFUSAL_LEAVING;
	if (a->keyed && !holder_holds_key(h, a->shard, c->now_ns))
		return REFUSAL_MOVING;
	if (c->now_ns + START_TIME_LEFT_MIN_NS >= a->deadline_ns)
		return REFUSAL_DEADLINE;
	return REFUSAL_NONE;
}

/*
 * True when @a would have to wait and be answered after its objective. A call
 * on an internal route has until its deadline, as the request that made the
 * call waits for it.
 */
static bool would_be_late(struct gatekeeper *g, const struct mesh_ctx *c,
			  const struct holder *h, const struct gate_attempt *a)
{
	uint64_t wait_ns = expected_wait_ns(g, c, h, a);
	uint64_t ready_ns =
		c->now_ns + wait_ns + (uint64_t)stats_for(g, a->route)->mean_ns;

	return wait_ns &&
	       ready_ns > (a->internal ? a->deadline_ns : a->objective_at_ns);
}

static struct order_run run_of(struct gatekeeper *g,
			       const struct gate_attempt *a)
{
	const struct route_stats *s = stats_for(g, a->route);

	return (struct order_run){.mean_ns = s->mean_ns,
				  .deviation_ns = s->deviation_ns};
}

/* The queue's pace for @a: the slots that it may not take count as busy. */
static struct order_pace pace_for(const struct gatekeeper *g,
				  const struct mesh_ctx *c,
				  const struct holder *h,
				  const struct gate_attempt *a)
{
	return (struct order_pace){
		.now_ns = c->now_ns,
		.running = g->running_count,
		.limit = slot_limit(h) - kept_free(g, c, h, a),
		.mean_ns = g->slot_ns,
		.cold_per_s =
			c->now_ns < h->cold_until_ns ? cold_rate_per_s(c) : 0,
	};
}

static void note_late(struct gate_attempt *a, const struct order_run *r,
		      uint64_t now_ns)
{
	struct order_terms t = terms_of(a);

	order_note_late(&t, r, now_ns);
	a->late = t.late;
	a->late_until_ns = t.late_until_ns;
}

/* Those that come back go before the others of their rank. */
static uint32_t demand_class(const struct gate_attempt *a)
{
	uint32_t rank =
		a->priority < UINT32_MAX / 2 ? a->priority : UINT32_MAX / 2;

	return 2 * rank + !a->again;
}

/* True when @a can't be answered in time behind those that go before it. */
static bool has_no_room(struct gatekeeper *g, const struct mesh_ctx *c,
			const struct holder *h, struct gate_attempt *a)
{
	const struct gate_attempt *other;
	struct order_run r = run_of(g, a);
	struct order_pace p = pace_for(g, c, h, a);
	struct order_terms t;
	uint32_t ahead = 0;

	p.share_left = rank_demand_share_left(&g->demand, demand_class(a),
					      slot_limit(h), c->now_ns);
	note_late(a, &r, c->now_ns);
	t = terms_of(a);
	list_for_each_entry(other, &g->waiting, link)
		ahead += !goes_before(c, a, other);
	if (!order_admits(&t, &p, &r, ahead))
		return true;
	rank_demand_note(&g->demand, demand_class(a), r.mean_ns, c->now_ns);
	return false;
}

void gatekeeper_offer(struct gatekeeper *g, struct mesh_ctx *c,
		      const struct holder *h, struct msg_forward *f,
		      uint64_t from, uint64_t delay_ns)
{
	struct gate_attempt *a = attempt_new(g, c, f, from, delay_ns);
	enum refusal why = attempt_refusal(g, c, h, a);

	if (from != c->opts->boot)
		g->transit_ns += TRANSIT_NEWEST_WEIGHT *
				 ((double)delay_ns - g->transit_ns);
	count_origin(g, c, a);
	if (why == REFUSAL_NONE &&
	    (c->opts->heavy_load ? has_no_room(g, c, h, a)
				 : would_be_late(g, c, h, a)))
		why = REFUSAL_QUEUE_FULL;
	enqueue(g, c, a);
	if (why != REFUSAL_NONE)
		end_attempt(g, a, OUTCOME_NOT_RUN, why, NULL);
}

static struct gate_attempt *find_attempt(struct list *in, uint64_t from,
					 struct request_id id, uint32_t attempt)
{
	struct gate_attempt *a;

	list_for_each_entry(a, in, link)
		if (a->from == from && a->attempt == attempt &&
		    request_id_equal(a->id, id))
			return a;
	return NULL;
}

bool gatekeeper_cancel(struct gatekeeper *g, struct mesh_ctx *c, uint64_t from,
		       const struct msg_cancel *m)
{
	struct gate_attempt *a =
		find_attempt(&g->waiting, from, m->id, m->attempt);

	if (a) {
		end_attempt(g, a, OUTCOME_NOT_RUN, REFUSAL_DEADLINE, NULL);
		return true;
	}
	a = find_attempt(&g->running, from, m->id, m->attempt);
	if (a && a->state != ATTEMPT_CANCELLED) {
		a->state = ATTEMPT_CANCELLED;
		mesh_actions_add(c->out, MA_CANCEL_UPSTREAM_CALL)->u.cancel =
			a->call;
	}
	return false;
}

static void update_mean_times(struct gatekeeper *g, const struct mesh_ctx *c,
			      const struct gate_attempt *a)
{
	double took_ns = (double)(c->now_ns - a->started_ns);
	struct route_stats *s = stats_for(g, a->route);

	s->deviation_ns += MEAN_NEWEST_WEIGHT *
			   (fabs(took_ns - s->mean_ns) - s->deviation_ns);
	if (c->opts->heavy_load)
		even_pace_add(&s->pace, took_ns, g->work_percent);
	s->mean_ns += MEAN_NEWEST_WEIGHT * (took_ns - s->mean_ns);
	g->mean_ns += MEAN_NEWEST_WEIGHT * (took_ns - g->mean_ns);
}

void gatekeeper_on_upstream_end(struct gatekeeper *g, struct mesh_ctx *c,
				struct ev_upstream_end *e)
{
	struct gate_attempt *a;

	if (e->report.present)
		g->work_percent = e->report.work_percent;
	list_for_each_entry(a, &g->running, link) {
		if (a->call != e->call)
			continue;
		g->slot_ns +=
			MEAN_NEWEST_WEIGHT *
			((double)(c->now_ns - a->started_ns) - g->slot_ns);
		if (e->outcome == OUTCOME_DONE && e->answer->code < 500)
			update_mean_times(g, c, a);
		if (a->internal)
			call_room_note(&g->call_room, g->call_room.running - 1,
				       c->now_ns);
		end_attempt(g, a, e->outcome, e->refusal, e->answer);
		e->answer = NULL;
		return;
	}
}

/*
 * Takes a token of the bucket that limits the rate of a cold upstream; always
 * true for a warm one. Without a token, sets the time of the next one.
 */
static bool take_cold_token(struct gatekeeper *g, const struct mesh_ctx *c,
			    const struct holder *h)
{
	double per_s = cold_rate_per_s(c);

	if (c->now_ns >= h->cold_until_ns) {
		g->cold_tokens_ns = 0;
		return true;
	}
	if (!g->cold_tokens_ns)
		g->cold_tokens = 1;
	else
		g->cold_tokens += per_s *
				  (double)(c->now_ns - g->cold_tokens_ns) /
				  (double)NS_PER_S;
	if (g->cold_tokens > COLD_BURST_REQUESTS)
		g->cold_tokens = COLD_BURST_REQUESTS;
	g->cold_tokens_ns = c->now_ns;
	if (g->cold_tokens < 1) {
		g->next_wake_ns = c->now_ns +
				  (uint64_t)((1 - g->cold_tokens) / per_s *
					     (double)NS_PER_S) +
				  NS_PER_MS;
		return false;
	}
	g->cold_tokens -= 1;
	return true;
}

static void start_attempt(struct gatekeeper *g, struct mesh_ctx *c,
			  const struct holder *h, struct gate_attempt *a,
			  uint64_t write_before_ns)
{
	struct act_mesh_upstream_call *act =
		&mesh_actions_add(c->out, MA_UPSTREAM_CALL)->u.call;

	list_remove(&a->link);
	list_push_back(&g->running, &a->link);
	g->waiting_count--;
	g->running_count++;
	if (a->internal)
		call_room_note(&g->call_room, g->call_room.running + 1,
			       c->now_ns);
	a->state = ATTEMPT_RUNNING;
	a->call = g->next_call++;
	a->started_ns = c->now_ns;
	act->call = a->call;
	mem_copy_str(act->addr, h->addr, sizeof(act->addr));
	act->instance = mem_dup_str(holder_instance(h));
	act->caller_id = take_text(&a->caller_id);
	act->caller_service = take_text(&a->caller_service);
	act->organisation = take_text(&a->organisation);
	act->deadline_ns = a->deadline_ns - ANSWER_TRANSIT_NS;
	a->upstream_deadline_ns = act->deadline_ns;
	act->write_before_ns = write_before_ns;
	act->request = a->request;
	a->request = NULL;
}

/* Ends waiting attempts that can't be started here, or not in time. */
static void end_unservable(struct gatekeeper *g, struct mesh_ctx *c,
			   const struct holder *h)
{
	struct gate_attempt *a, *tmp;

	list_for_each_entry_safe(a, tmp, &g->waiting, link) {
		enum refusal why = attempt_refusal(g, c, h, a);

		if (why == REFUSAL_NONE &&
		    c->now_ns + (uint64_t)stats_for(g, a->route)->mean_ns / 2 >
			    a->deadline_ns)
			why = REFUSAL_DEADLINE;
		if (why != REFUSAL_NONE)
			end_attempt(g, a, OUTCOME_NOT_RUN, why, NULL);
	}
}

/* Moves @a behind all that can still meet their objectives. */
static void put_back(struct gatekeeper *g, const struct mesh_ctx *c,
		     struct gate_attempt *a, const struct order_run *r)
{
	a->objective_at_ns = c->now_ns;
	note_late(a, r, c->now_ns);
	list_remove(&a->link);
	g->waiting_count--;
	enqueue(g, c, a);
}

static void refuse_hopeless(struct gatekeeper *g, struct mesh_ctx *c,
			    struct gate_attempt *a)
{
	g->hopeless++;
	mesh_log(c->out, LOG_INFO,
		 "event=attempt_hopeless id=%s route=%s rank=%u call=%d "
		 "late=%d waiting=%u running=%u left_ms=%ld",
		 name_for_log(a->caller_id).text, a->route, a->priority,
		 a->internal, a->late, g->waiting_count, g->running_count,
		 (long)((int64_t)(a->deadline_ns - c->now_ns) /
			(int64_t)NS_PER_MS));
	end_attempt(g, a, OUTCOME_NOT_RUN, REFUSAL_NO_ROOM, NULL);
}

/* Reviews the queue: what has been pushed back gives way or ends early. */
static void review_queue(struct gatekeeper *g, struct mesh_ctx *c,
			 const struct holder *h)
{
	struct gate_attempt *a, *tmp;
	uint32_t ahead = 0;

	list_for_each_entry_safe(a, tmp, &g->waiting, link) {
		struct order_run r = run_of(g, a);
		struct order_pace p = pace_for(g, c, h, a);
		struct order_terms t = terms_of(a);

		switch (order_review(&t, &p, &r, ahead)) {
		case ORDER_STAYS:
			ahead++;
			break;
		case ORDER_BECOMES_LATE:
			g->put_back++;
			put_back(g, c, a, &r);
			break;
		case ORDER_HOPELESS:
			refuse_hopeless(g, c, a);
			break;
		}
	}
}

/* The attempt that starts next; NULL: none of them may now. */
static struct gate_attempt *next_to_start(struct gatekeeper *g,
					  const struct mesh_ctx *c,
					  const struct holder *h)
{
	struct gate_attempt *a;

	list_for_each_entry(a, &g->waiting, link)
		if (g->running_count + kept_free(g, c, h, a) < slot_limit(h))
			return a;
	return NULL;
}

void gatekeeper_work(struct gatekeeper *g, struct mesh_ctx *c,
		     const struct holder *h)
{
	struct gate_attempt *a;

	g->next_wake_ns = UINT64_MAX;
	end_unservable(g, c, h);
	if (c->opts->heavy_load)
		review_queue(g, c, h);
	while ((a = next_to_start(g, c, h))) {
		if (!take_cold_token(g, c, h))
			break;
		start_attempt(g, c, h, a,
			      a->keyed ? h->usable_until_ns : a->deadline_ns);
	}
}

uint64_t gatekeeper_next_ns(const struct gatekeeper *g)
{
	return g->next_wake_ns;
}

void gatekeeper_fill_load(const struct gatekeeper *g, const struct mesh_ctx *c,
			  const struct holder *h, struct gate_load *load)
{
	load->running = g->running_count;
	load->waiting = g->waiting_count;
	load->limit = slot_limit(h);
	load->service_ns = (uint64_t)g->mean_ns;
	load->transit_ms = (uint32_t)(g->transit_ns / (double)NS_PER_MS);
	load->open = holder_accepts_requests(h, c);
	load->work_percent = c->opts->heavy_load ? g->work_percent : 0;
	load->cold = c->now_ns < h->cold_until_ns;
	/* Requests that run at once at the cold rate, by Little's law. */
	if (load->cold) {
		double at_once =
			cold_rate_per_s(c) * g->mean_ns / (double)NS_PER_S;

		load->limit = at_once < 1	      ? 1
			      : at_once < load->limit ? (uint32_t)at_once
						      : load->limit;
	}
}
