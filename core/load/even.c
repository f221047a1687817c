#include "core/load/even.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

/* Of the moving average of other entries' requests. */
#define MEAN_TIME_NS	    (double)(3 * NS_PER_S)
/* A machine that is slow by its neighbours is so for this time more. */
#define SLOW_TIME_NS	    (double)(200 * NS_PER_MS)
/* Weight of the newest answer in a route's and in a gate's mean. */
#define ROUTE_WEIGHT	    0.01
#define GATE_WEIGHT	    0.1
#define PACE_WEIGHT	    0.02
/* A full gate is drawn by this share of its slots. */
#define ROOM_MIN	    0.02
/* Answers by which an entry knows a route's mean over the gates. */
#define ROUTE_ANSWERS_LEAST 20
/* Requests by which a gate knows its time for a route. */
#define PACE_ANSWERS_LEAST  20

void even_init(struct even *e)
{
	memset(e, 0, sizeof(*e));
	list_init(&e->routes);
	list_init(&e->services);
}

void even_done(struct even *e)
{
	struct even_route *r, *rt;
	struct even_service *s, *st;

	list_for_each_entry_safe(r, rt, &e->routes, link)
		free(r);
	list_for_each_entry_safe(s, st, &e->services, link)
		free(s);
}

void even_note_sent(struct even_gate *g)
{
	g->in_flight++;
}

void even_note_ended(struct even_gate *g)
{
	if (g->in_flight)
		g->in_flight--;
}

static double age_ns(const struct even_gate *g, uint64_t now_ns)
{
	return now_ns > g->news_ns ? (double)(now_ns - g->news_ns) : 0;
}

void even_note_load(struct even_gate *g, const struct gate_load *load,
		    uint64_t now_ns)
{
	double busy = (double)load->running + load->waiting;
	double newest = 1 - exp(-age_ns(g, now_ns) / MEAN_TIME_NS);

	g->others = busy > g->in_flight ? busy - g->in_flight : 0;
	if (!g->news_ns)
		g->mean_others = g->others;
	g->mean_others += newest * (g->others - g->mean_others);
	g->news_ns = now_ns;
}

/* A mean of the first values, then a moving average. */
static void average(double *mean, uint32_t *count, double value, double weight)
{
	double first = 1.0 / (*count + 1);

	*mean += (first > weight ? first : weight) * (value - *mean);
	if (*count < UINT32_MAX)
		(*count)++;
}

static struct even_route *route_for(struct even *e, const char *route)
{
	struct even_route *r;

	list_for_each_entry(r, &e->routes, link)
		if (!strcmp(r->route, route))
			return r;
	r = mem_new(struct even_route);
	mem_copy_str(r->route, route, sizeof(r->route));
	list_push_back(&e->routes, &r->link);
	return r;
}

struct even_service *even_service_for(struct even *e, const char *service)
{
	struct even_service *s;

	list_for_each_entry(s, &e->services, link)
		if (!strcmp(s->service, service))
			return s;
	s = mem_new(struct even_service);
	mem_copy_str(s->service, service, sizeof(s->service));
	list_push_back(&e->services, &s->link);
	return s;
}

void even_note_pace(struct even *e, struct even_gate *g,
		    const struct even_answer *a)
{
	struct even_service *s = even_service_for(e, a->service);
	struct even_route *r;

	if (a->service_ns)
		average(&s->log_ns, &s->answers, log((double)a->service_ns),
			ROUTE_WEIGHT);
	if (!a->route_ns)
		return;
	r = route_for(e, a->route);
	average(&r->log_ns, &r->answers, log((double)a->route_ns),
		ROUTE_WEIGHT);
	if (r->answers < ROUTE_ANSWERS_LEAST)
		return;
	average(&g->log_pace, &g->paces, log((double)a->route_ns) - r->log_ns,
		GATE_WEIGHT);
}

double even_busy(const struct even_gate *g, const struct gate_load *load,
		 uint64_t now_ns)
{
	double service_ns = (double)load->service_ns;
	double trust = exp(-age_ns(g, now_ns) / (service_ns + 1));

	return g->mean_others + trust * (g->others - g->mean_others) +
	       g->in_flight;
}

double even_room(const struct even_gate *g, const struct gate_load *load,
		 uint64_t now_ns)
{
	double limit = load->limit ? load->limit : 1;
	double room = 1 - even_busy(g, load, now_ns) / limit;

	return room > ROOM_MIN ? room : ROOM_MIN;
}

/* How much longer work takes at the gate's machine now than usually. */
static double slowness(const struct even_gate *g, const struct gate_load *load,
		       uint64_t now_ns)
{
	double extra = load->work_percent > 100
			       ? (double)load->work_percent / 100 - 1
			       : 0;

	return 1 + extra * exp(-age_ns(g, now_ns) / SLOW_TIME_NS);
}

double even_capacity_per_s(const struct even_service *s,
			   const struct even_gate *g,
			   const struct gate_load *load, uint64_t now_ns)
{
	double limit = load->limit ? load->limit : 1;
	double service_ns = load->service_ns ? (double)load->service_ns : 1;

	if (g->paces)
		service_ns = exp(s->log_ns + g->log_pace);
	return limit * (double)NS_PER_S /
	       (service_ns * slowness(g, load, now_ns));
}

void even_spread_add(struct even_spread *s, const struct even_gate *g,
		     const struct gate_load *load, uint64_t now_ns)
{
	double limit = load->limit ? load->limit : 1;
	double share = even_busy(g, load, now_ns) / limit;

	s->gates++;
	s->sum += share;
	if (share > s->most)
		s->most = share;
}

double even_spread_busiest_over_mean(const struct even_spread *s)
{
	return s->sum > 0 ? s->most * s->gates / s->sum : 0;
}

uint64_t even_pace_ns(const struct even_pace *p)
{
	return p->answers >= PACE_ANSWERS_LEAST ? (uint64_t)p->mean_ns : 0;
}

void even_pace_add(struct even_pace *p, double took_ns, uint32_t work_percent)
{
	double usual_ns = work_percent ? took_ns * 100 / work_percent : took_ns;

	average(&p->mean_ns, &p->answers, usual_ns, PACE_WEIGHT);
}
