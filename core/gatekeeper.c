#include "core/gatekeeper.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

/* Weight of the newest time in a moving average. */
#define TIME_WEIGHT	   0.05
/* Of a route that has not been seen yet. */
#define TIME_FIRST_NS	   (200.0 * NS_PER_MS)
/* Mean times that a request may take, as all but a few do. */
#define END_MEANS	   5.0
/* Requests at once that a cold upstream's allowance may save up. */
#define COLD_BURST	   4.0
#define COLD_DEFAULT_PER_S 10.0
/* Time that the answer needs on its way back to the entry. */
#define WAY_BACK_NS	   (5 * NS_PER_MS)
/* An attempt with less time left is not started. */
#define LEAST_LEFT_NS	   (10 * NS_PER_MS)
/*
 * Callers sit beside the upstreams of all services. So many requests of a
 * route without one from a VM of our service come from other upstreams.
 */
#define INTERNAL_LEAST	   40

void gatekeeper_init(struct gatekeeper *g)
{
	memset(g, 0, sizeof(*g));
	list_init(&g->waiting);
	list_init(&g->running);
	list_init(&g->ends);
	list_init(&g->routes);
	g->next_call = 1;
	g->mean_ns = TIME_FIRST_NS;
	g->work_percent = 100;
}

static void work_delete(struct work *w)
{
	list_remove(&w->link);
	http_request_delete(w->request);
	free(w);
}

void gatekeeper_done(struct gatekeeper *g)
{
	struct work *w, *tmp;
	struct route_stats *t, *tt;
	struct work_end *e;

	list_for_each_entry_safe(w, tmp, &g->waiting, link)
		work_delete(w);
	list_for_each_entry_safe(w, tmp, &g->running, link)
		work_delete(w);
	list_for_each_entry_safe(t, tt, &g->routes, link)
		free(t);
	while ((e = gatekeeper_pop(g))) {
		http_answer_delete(e->answer.answer);
		free(e);
	}
}

struct work_end *gatekeeper_pop(struct gatekeeper *g)
{
	struct work_end *e;

	if (list_empty(&g->ends))
		return NULL;
	e = list_entry(g->ends.next, struct work_end, link);
	list_remove(&e->link);
	return e;
}

uint32_t gatekeeper_busy(const struct gatekeeper *g)
{
	return g->running_count + g->waiting_count;
}

static struct route_stats *stats_of(struct gatekeeper *g, const char *route)
{
	struct route_stats *t;

	list_for_each_entry(t, &g->routes, link)
		if (!strcmp(t->route, route))
			return t;
	t = mem_new(struct route_stats);
	mem_copy_str(t->route, route, sizeof(t->route));
	t->mean_ns = g->mean_ns;
	list_push_back(&g->routes, &t->link);
	return t;
}

/* True for a route that only upstreams of other services use. */
static bool is_internal(const struct route_stats *t)
{
	return !t->from_own && t->from_others >= INTERNAL_LEAST;
}

static void count_origin(struct gatekeeper *g, const struct mesh_ctx *c,
			 const struct msg_forward *f)
{
	struct route_stats *t = stats_of(g, f->route);

	if (!strcmp(f->caller_service, c->opts->service))
		t->from_own++;
	else
		t->from_others++;
}

static void count_out(struct gatekeeper *g, const struct work *w)
{
	if (w->state == WORK_WAITING)
		g->waiting_count--;
	else
		g->running_count--;
}

/* Ends @w and frees it; takes @answer. */
static void end(struct gatekeeper *g, struct work *w, enum outcome outcome,
		enum refusal refusal, struct http_answer *answer)
{
	struct work_end *e = mem_new(struct work_end);

	e->from = w->from;
	mem_copy_str(e->reply_to, w->reply_to, sizeof(e->reply_to));
	e->answer.id = w->id;
	e->answer.attempt = w->attempt;
	e->answer.outcome = outcome;
	e->answer.refusal = refusal;
	e->answer.internal_route = w->nested;
	e->answer.answer = answer;
	list_push_back(&g->ends, &e->link);
	g->served += outcome == OUTCOME_DONE;
	g->refused += outcome == OUTCOME_NOT_RUN;
	count_out(g, w);
	work_delete(w);
}

static uint32_t limit_of(const struct holder *h)
{
	return h->slots ? h->slots : 1;
}

/* Nested calls first, as a started request waits for them; then by rank. */
static bool runs_before(const struct work *a, const struct work *b)
{
	if (a->nested != b->nested)
		return a->nested;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->objective_ns < b->objective_ns;
}

static double cold_per_s(const struct mesh_ctx *c)
{
	const struct service *sv =
		c->dir.manifest
			? manifest_service(c->dir.manifest, c->opts->service)
			: NULL;

	return sv && sv->cold_per_s > 0 ? sv->cold_per_s : COLD_DEFAULT_PER_S;
}

/* Expected time until @w would start, were it queued now. */
static uint64_t wait_ns(const struct gatekeeper *g, const struct mesh_ctx *c,
			const struct holder *h, const struct work *w)
{
	const struct work *it;
	uint32_t before = 0;
	uint32_t limit = limit_of(h);
	double wait = 0;

	list_for_each_entry(it, &g->waiting, link)
		before += !runs_before(w, it);
	if (g->running_count >= limit)
		wait = (before + 1) * g->mean_ns / limit;
	/* A cold upstream's slots may be free, its allowance is not. */
	if (c->now_ns < h->cold_until_ns &&
	    before * (double)NS_PER_S / cold_per_s(c) > wait)
		wait = before * (double)NS_PER_S / cold_per_s(c);
	return (uint64_t)wait;
}

static void queue(struct gatekeeper *g, struct work *w)
{
	struct work *it;

	list_for_each_entry(it, &g->waiting, link)
		if (runs_before(w, it))
			break;
	list_insert_before(&it->link, &w->link);
	g->waiting_count++;
}

static struct work *work_new(struct gatekeeper *g, const struct mesh_ctx *c,
			     struct msg_forward *f, uint64_t from,
			     uint64_t delay_ns)
{
	struct work *w = mem_new(struct work);
	uint64_t left =
		f->time_left_ns > delay_ns ? f->time_left_ns - delay_ns : 0;
	uint64_t objective =
		f->objective_ns > delay_ns ? f->objective_ns - delay_ns : 0;

	list_init(&w->link);
	w->from = from;
	mem_copy_str(w->reply_to, f->reply_to, sizeof(w->reply_to));
	w->id = f->id;
	w->attempt = f->attempt;
	w->deadline_ns = c->now_ns + left;
	w->objective_ns = c->now_ns + objective;
	w->priority = f->priority;
	w->nested = is_internal(stats_of(g, f->route));
	w->keyed = f->keyed;
	w->shard = f->shard;
	mem_copy_str(w->route, f->route, sizeof(w->route));
	mem_copy_str(w->caller_id, f->caller_id, sizeof(w->caller_id));
	mem_copy_str(w->caller_service, f->caller_service,
		     sizeof(w->caller_service));
	w->request = f->request;
	f->request = NULL;
	return w;
}

/* A process that ends soon starts only what will surely be done by then. */
static bool ends_before(struct gatekeeper *g, const struct mesh_ctx *c,
			const struct work *w)
{
	return g->end_ns &&
	       (double)c->now_ns + END_MEANS * stats_of(g, w->route)->mean_ns >
		       (double)g->end_ns;
}

static enum refusal check(struct gatekeeper *g, const struct mesh_ctx *c,
			  const struct holder *h, const struct work *w)
{
	if (!h->known || h->gone)
		return REFUSAL_UPSTREAM_DOWN;
	if (!holder_accepts_requests(h, c) || ends_before(g, c, w))
		return REFUSAL_LEAVING;
	if (w->keyed && !holder_holds_key(h, w->shard, c->now_ns))
		return REFUSAL_MOVING;
	if (c->now_ns + LEAST_LEFT_NS >= w->deadline_ns)
		return REFUSAL_DEADLINE;
	return REFUSAL_NONE;
}

/*
 * A request that could not be answered in time is refused at once. An
 * upstream's own call is worth its request, which waits for it to the end.
 */
static bool too_late(struct gatekeeper *g, const struct mesh_ctx *c,
		     const struct holder *h, const struct work *w)
{
	uint64_t wait = wait_ns(g, c, h, w);
	uint64_t ready =
		c->now_ns + wait + (uint64_t)stats_of(g, w->route)->mean_ns;

	return wait && ready > (w->nested ? w->deadline_ns : w->objective_ns);
}

void gatekeeper_offer(struct gatekeeper *g, struct mesh_ctx *c,
		      const struct holder *h, struct msg_forward *f,
		      uint64_t from, uint64_t delay_ns)
{
	struct work *w = work_new(g, c, f, from, delay_ns);
	enum refusal why = check(g, c, h, w);

	count_origin(g, c, f);
	if (why == REFUSAL_NONE && too_late(g, c, h, w))
		why = REFUSAL_QUEUE_FULL;
	queue(g, w);
	if (why != REFUSAL_NONE)
		end(g, w, OUTCOME_NOT_RUN, why, NULL);
}

static struct work *find(struct list *in, uint64_t from, struct request_id id,
			 uint32_t attempt)
{
	struct work *w;

	list_for_each_entry(w, in, link)
		if (w->from == from && w->attempt == attempt &&
		    request_id_equal(w->id, id))
			return w;
	return NULL;
}

void gatekeeper_cancel(struct gatekeeper *g, struct mesh_ctx *c, uint64_t from,
		       const struct msg_cancel *m)
{
	struct work *w = find(&g->waiting, from, m->id, m->attempt);

	if (w) {
		end(g, w, OUTCOME_NOT_RUN, REFUSAL_DEADLINE, NULL);
		return;
	}
	w = find(&g->running, from, m->id, m->attempt);
	if (!w || w->state == WORK_CANCELLED)
		return;
	w->state = WORK_CANCELLED;
	mesh_actions_add(c->out, MA_CANCEL_UPSTREAM_CALL)->u.cancel = w->call;
}

static void learn_time(struct gatekeeper *g, const struct mesh_ctx *c,
		       const struct work *w)
{
	double took = (double)(c->now_ns - w->started_ns);
	struct route_stats *t = stats_of(g, w->route);

	t->mean_ns += TIME_WEIGHT * (took - t->mean_ns);
	g->mean_ns += TIME_WEIGHT * (took - g->mean_ns);
}

void gatekeeper_on_end(struct gatekeeper *g, struct mesh_ctx *c,
		       struct ev_upstream_end *e)
{
	struct work *w;

	if (e->report.present)
		g->work_percent = e->report.work_percent;
	list_for_each_entry(w, &g->running, link) {
		if (w->call != e->call)
			continue;
		if (e->outcome == OUTCOME_DONE && e->answer->code < 500)
			learn_time(g, c, w);
		end(g, w, e->outcome, e->refusal, e->answer);
		e->answer = NULL;
		return;
	}
}

/* Allowance of a cold upstream; a warm one has no such bound. */
static bool take_token(struct gatekeeper *g, const struct mesh_ctx *c,
		       const struct holder *h)
{
	double per_s = cold_per_s(c);

	if (c->now_ns >= h->cold_until_ns) {
		g->tokens_ns = 0;
		return true;
	}
	if (!g->tokens_ns)
		g->tokens = 1;
	else
		g->tokens += per_s * (double)(c->now_ns - g->tokens_ns) /
			     (double)NS_PER_S;
	if (g->tokens > COLD_BURST)
		g->tokens = COLD_BURST;
	g->tokens_ns = c->now_ns;
	if (g->tokens < 1) {
		g->next_wake_ns =
			c->now_ns +
			(uint64_t)((1 - g->tokens) / per_s * (double)NS_PER_S) +
			NS_PER_MS;
		return false;
	}
	g->tokens -= 1;
	return true;
}

static void start(struct gatekeeper *g, struct mesh_ctx *c,
		  const struct holder *h, struct work *w,
		  uint64_t write_before_ns)
{
	struct act_mesh_upstream_call *a =
		&mesh_actions_add(c->out, MA_UPSTREAM_CALL)->u.call;

	list_remove(&w->link);
	list_push_back(&g->running, &w->link);
	g->waiting_count--;
	g->running_count++;
	w->state = WORK_RUNNING;
	w->call = g->next_call++;
	w->started_ns = c->now_ns;
	a->call = w->call;
	mem_copy_str(a->addr, h->addr, sizeof(a->addr));
	mem_copy_str(a->instance, h->id.instance, sizeof(a->instance));
	mem_copy_str(a->caller_id, w->caller_id, sizeof(a->caller_id));
	mem_copy_str(a->caller_service, w->caller_service,
		     sizeof(a->caller_service));
	a->deadline_ns = w->deadline_ns - WAY_BACK_NS;
	a->write_before_ns = write_before_ns;
	a->request = w->request;
	w->request = NULL;
}

/* Ends waiting ones that can't run here, or not in time. */
static void drop(struct gatekeeper *g, struct mesh_ctx *c,
		 const struct holder *h)
{
	struct work *w, *tmp;

	list_for_each_entry_safe(w, tmp, &g->waiting, link) {
		enum refusal why = check(g, c, h, w);

		if (why == REFUSAL_NONE &&
		    c->now_ns + (uint64_t)stats_of(g, w->route)->mean_ns / 2 >
			    w->deadline_ns)
			why = REFUSAL_DEADLINE;
		if (why != REFUSAL_NONE)
			end(g, w, OUTCOME_NOT_RUN, why, NULL);
	}
}

void gatekeeper_work(struct gatekeeper *g, struct mesh_ctx *c,
		     const struct holder *h)
{
	g->next_wake_ns = UINT64_MAX;
	drop(g, c, h);
	while (!list_empty(&g->waiting) && g->running_count < limit_of(h)) {
		struct work *w = list_entry(g->waiting.next, struct work, link);

		if (!take_token(g, c, h))
			break;
		start(g, c, h, w,
		      w->keyed ? h->usable_until_ns : w->deadline_ns);
	}
}

uint64_t gatekeeper_next_ns(const struct gatekeeper *g)
{
	return g->next_wake_ns;
}

void gatekeeper_load(const struct gatekeeper *g, const struct mesh_ctx *c,
		     const struct holder *h, struct gate_load *load)
{
	load->running = g->running_count;
	load->waiting = g->waiting_count;
	load->limit = limit_of(h);
	load->service_ns = (uint64_t)g->mean_ns;
	load->open = holder_accepts_requests(h, c);
	load->cold = c->now_ns < h->cold_until_ns;
	/* At its rate so many run at once, by Little's law. */
	if (load->cold) {
		double at_once = cold_per_s(c) * g->mean_ns / (double)NS_PER_S;

		load->limit = at_once < 1	      ? 1
			      : at_once < load->limit ? (uint32_t)at_once
						      : load->limit;
	}
}
