#include "fakes/gate_fleet.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/choice.h"
#include "core/histogram.h"
#include "core/load/even.h"
#include "core/mem.h"

#define TRANSIT_NS	    NS_PER_MS
/* Interval of the reports between two nodes, as in core/reports.c. */
#define REPORT_MIN_NS	    (200 * NS_PER_MS)
#define REPORT_PER_ENTRY_NS (10 * NS_PER_MS)
#define REPORT_MAX_NS	    (2600 * NS_PER_MS)
/* A neighbour on the machine makes work this much longer for a while. */
#define NOISE_FACTOR	    3.0
#define NOISE_NS	    (400 * NS_PER_MS)
#define QUIET_MEAN_NS	    (1600 * NS_PER_MS)
#define SPEED_MIN	    0.5
#define SPEED_MAX	    1.7
#define OBJECTIVE_NS	    (1200 * NS_PER_MS)
/* Weight of the newest value in a gate's mean, as in core/gatekeeper.c. */
#define MEAN_NEWEST_WEIGHT  0.05
/* Of the logarithm of the work of a route's requests. */
#define WORK_SPREAD	    0.5
#define CLUMP_SPACING_NS    NS_PER_MS
#define ROUTES		    2

static const double route_work_ns[ROUTES] = {370.0 * NS_PER_MS,
					     84.0 * NS_PER_MS};

enum fleet_event_kind { EV_CLUMP, EV_ARRIVAL, EV_AT_GATE, EV_END, EV_REPORT };

struct work {
	struct list link;
	uint32_t entry;
	uint32_t route;
	uint64_t sent_ns;
	uint64_t started_ns;
	double work_ns; /* at speed 1 */
};

struct fleet_event {
	uint64_t at_ns;
	uint64_t sequence;
	enum fleet_event_kind kind;
	uint32_t gate;
	uint32_t entry;
	uint32_t left; /* of a clump */
	struct work *work;
};

struct sim_gate {
	double speed;
	uint32_t running;
	uint32_t waiting_count;
	struct list waiting; /* of struct work */
	double mean_ns;
	struct even_pace paces[ROUTES];
	double busy_ns;
	uint64_t *toggles_ns; /* of the noise, from quiet on; ends with MAX */
};

struct gate_fleet {
	struct gate_fleet_opts opts;
	struct rng rng; /* of the load */
	struct rng draws;
	uint64_t now_ns;
	struct fleet_event *heap;
	size_t count, size;
	uint64_t sequence;
	struct sim_gate *gates;
	struct dir_node *views; /* entries times gates */
	struct even *evens;	/* of the entries */
	struct list central;	/* of struct work */
	struct histogram waits;
	uint64_t requests, messages;
};

static double unit(struct rng *r)
{
	return (double)(rng_next(r) >> 11) / (double)(1ULL << 53);
}

static double exponential(struct rng *r, double mean)
{
	return -log(1 - unit(r)) * mean;
}

/* Log-normal with mean 1. */
static double spread(struct rng *r)
{
	double normal = sqrt(-2 * log(1 - unit(r))) * cos(2 * M_PI * unit(r));

	return exp(WORK_SPREAD * normal - WORK_SPREAD * WORK_SPREAD / 2);
}

static bool is_earlier(const struct fleet_event *a, const struct fleet_event *b)
{
	return a->at_ns != b->at_ns ? a->at_ns < b->at_ns
				    : a->sequence < b->sequence;
}

static void push(struct gate_fleet *f, struct fleet_event e)
{
	size_t i = f->count++;

	if (f->count > f->size) {
		f->size = f->size ? 2 * f->size : 1024;
		f->heap = mem_realloc(f->heap, f->size, sizeof(e));
	}
	e.sequence = f->sequence++;
	while (i && is_earlier(&e, &f->heap[(i - 1) / 2])) {
		f->heap[i] = f->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	f->heap[i] = e;
}

static struct fleet_event pop(struct gate_fleet *f)
{
	struct fleet_event first = f->heap[0];
	struct fleet_event last = f->heap[--f->count];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= f->count)
			break;
		if (child + 1 < f->count &&
		    is_earlier(&f->heap[child + 1], &f->heap[child]))
			child++;
		if (!is_earlier(&f->heap[child], &last))
			break;
		f->heap[i] = f->heap[child];
		i = child;
	}
	f->heap[i] = last;
	return first;
}

static struct dir_node *view(struct gate_fleet *f, uint32_t entry,
			     uint32_t gate)
{
	return &f->views[(size_t)entry * f->opts.gates + gate];
}

static double mean_work_ns(void)
{
	return (route_work_ns[0] + route_work_ns[1]) / ROUTES;
}

/* Index of the next toggle: odd while the machine is slow. */
static uint32_t noise_phase(const struct sim_gate *g, uint64_t now_ns)
{
	uint32_t i = 0;

	while (g->toggles_ns[i] <= now_ns)
		i++;
	return i;
}

/* When work that takes @need_ns at the usual pace ends. */
static uint64_t noisy_end_ns(const struct sim_gate *g, uint64_t now_ns,
			     double need_ns)
{
	for (uint32_t i = noise_phase(g, now_ns);; i++) {
		double factor = i % 2 ? NOISE_FACTOR : 1;
		double part = (double)(g->toggles_ns[i] - now_ns) / factor;

		if (need_ns <= part)
			return now_ns + (uint64_t)(need_ns * factor);
		need_ns -= part;
		now_ns = g->toggles_ns[i];
	}
}

static void make_noise(struct gate_fleet *f, struct sim_gate *g)
{
	/* Enough for phases of half of their mean time. */
	size_t max = (size_t)(4 * f->opts.run_ns / QUIET_MEAN_NS) + 16;
	uint64_t at_ns = 0;

	g->toggles_ns = mem_zalloc(max + 1, sizeof(*g->toggles_ns));
	for (size_t i = 0; i < max; i++) {
		at_ns += i % 2 ? NOISE_NS
			       : (uint64_t)exponential(&f->rng, QUIET_MEAN_NS);
		g->toggles_ns[i] = at_ns;
	}
	g->toggles_ns[max] = UINT64_MAX;
}

static uint32_t work_percent(const struct sim_gate *g, uint64_t now_ns)
{
	return noise_phase(g, now_ns) % 2 ? (uint32_t)(100 * NOISE_FACTOR)
					  : 100;
}

static struct gate_load load_of(struct gate_fleet *f, struct sim_gate *g)
{
	struct gate_load l = {
		.running = g->running,
		.waiting = g->waiting_count,
		.limit = f->opts.slots,
		.service_ns = (uint64_t)g->mean_ns,
		.open = true,
	};

	if (f->opts.way == GATE_FLEET_EVEN)
		l.work_percent = work_percent(g, f->now_ns);
	return l;
}

static void tell(struct gate_fleet *f, uint32_t entry, uint32_t gate)
{
	struct gate_load l = load_of(f, &f->gates[gate]);
	struct dir_node *n = view(f, entry, gate);

	f->messages++;
	directory_note_load(n, &l, f->now_ns);
}

static uint32_t choose(struct gate_fleet *f, uint32_t entry)
{
	struct choice_opts o = {
		.region = "",
		.dc = "",
		.now_ns = f->now_ns,
		.objective_ns = OBJECTIVE_NS,
		.kb = 1,
		.rng = &f->draws,
		.even = f->opts.way == GATE_FLEET_EVEN
				? even_service_for(&f->evens[entry], "s")
				: NULL,
	};
	struct choice ch;

	choice_init(&ch, &o);
	for (uint32_t g = 0; g < f->opts.gates; g++)
		choice_measure(&ch, view(f, entry, g));
	for (uint32_t g = 0; g < f->opts.gates; g++)
		choice_draw(&ch, view(f, entry, g));
	return (uint32_t)(ch.picked - view(f, entry, 0));
}

static void start(struct gate_fleet *f, uint32_t gate, struct work *w)
{
	struct sim_gate *g = &f->gates[gate];
	double need_ns = w->work_ns / g->speed;

	g->running++;
	g->busy_ns += need_ns;
	w->started_ns = f->now_ns;
	histogram_add(&f->waits, f->now_ns - w->sent_ns);
	push(f,
	     (struct fleet_event){.at_ns = noisy_end_ns(g, f->now_ns, need_ns),
				  .kind = EV_END,
				  .gate = gate,
				  .work = w});
}

/* A gate with a free slot, drawn by speed; @f->opts.gates: there is none. */
static uint32_t free_gate(struct gate_fleet *f)
{
	uint32_t picked = f->opts.gates;
	double weights = 0;

	for (uint32_t i = 0; i < f->opts.gates; i++) {
		struct sim_gate *g = &f->gates[i];
		double weight = g->speed * (f->opts.slots - (double)g->running);

		weights += weight;
		if (weight > 0 && unit(&f->draws) * weights < weight)
			picked = i;
	}
	return picked;
}

static void on_arrival(struct gate_fleet *f, uint32_t entry)
{
	struct work *w = mem_new(struct work);
	bool one_route = f->opts.unequal_mix && entry % 2;

	w->entry = entry;
	w->route = one_route ? 1 : (uint32_t)rng_below(&f->rng, ROUTES);
	w->sent_ns = f->now_ns;
	w->work_ns = route_work_ns[w->route] * spread(&f->rng);
	f->requests++;
	f->messages++;
	if (f->opts.way == GATE_FLEET_CENTRAL) {
		uint32_t gate = free_gate(f);

		if (gate < f->opts.gates)
			start(f, gate, w);
		else
			list_push_back(&f->central, &w->link);
		return;
	}
	uint32_t gate = choose(f, entry);

	even_note_sent(&view(f, entry, gate)->even);
	view(f, entry, gate)->unreported_requests++;
	push(f, (struct fleet_event){.at_ns = f->now_ns + TRANSIT_NS,
				     .kind = EV_AT_GATE,
				     .gate = gate,
				     .work = w});
}

static void on_at_gate(struct gate_fleet *f, uint32_t gate, struct work *w)
{
	struct sim_gate *g = &f->gates[gate];

	if (g->running < f->opts.slots) {
		start(f, gate, w);
		return;
	}
	list_push_back(&g->waiting, &w->link);
	g->waiting_count++;
}

static void start_next(struct gate_fleet *f, uint32_t gate)
{
	struct sim_gate *g = &f->gates[gate];
	bool central = f->opts.way == GATE_FLEET_CENTRAL;
	struct list *queue = central ? &f->central : &g->waiting;
	struct work *w;

	if (list_empty(queue))
		return;
	w = list_entry(queue->next, struct work, link);
	list_remove(&w->link);
	g->waiting_count -= !central;
	start(f, gate, w);
}

static void answer(struct gate_fleet *f, uint32_t gate, const struct work *w)
{
	struct dir_node *n = view(f, w->entry, gate);
	struct sim_gate *g = &f->gates[gate];
	struct even_answer a = {
		.service = "s",
		.route = w->route ? "b" : "a",
		.route_ns = even_pace_ns(&g->paces[w->route]),
		.service_ns = (uint64_t)g->mean_ns,
	};

	even_note_ended(&n->even);
	tell(f, w->entry, gate);
	even_note_pace(&f->evens[w->entry], &n->even, &a);
}

static void on_end(struct gate_fleet *f, uint32_t gate, struct work *w)
{
	struct sim_gate *g = &f->gates[gate];
	double took_ns = (double)(f->now_ns - w->started_ns);

	g->running--;
	g->mean_ns += MEAN_NEWEST_WEIGHT * (took_ns - g->mean_ns);
	start_next(f, gate);
	even_pace_add(&g->paces[w->route], took_ns, work_percent(g, f->now_ns));
	if (f->opts.way != GATE_FLEET_CENTRAL)
		answer(f, gate, w);
	free(w);
}

static void on_clump(struct gate_fleet *f)
{
	struct gate_fleet_opts *o = &f->opts;
	double speeds = (SPEED_MIN + SPEED_MAX) / 2 * o->gates * o->slots;
	double mean_clump = (o->clump + 1) / 2.0;
	double work_ns = o->unequal_mix
				 ? (mean_work_ns() + route_work_ns[1]) / 2
				 : mean_work_ns();
	double noise = 1 + (NOISE_FACTOR - 1) * 0.2;
	double gap_ns = work_ns * noise / (speeds * o->slots_used) * mean_clump;
	uint32_t entry = (uint32_t)rng_below(&f->rng, o->entries);
	uint32_t size = 1 + (uint32_t)rng_below(&f->rng, o->clump);

	for (uint32_t i = 0; i < size; i++)
		push(f, (struct fleet_event){.at_ns = f->now_ns +
						      i * CLUMP_SPACING_NS,
					     .kind = EV_ARRIVAL,
					     .entry = entry});
	push(f, (struct fleet_event){
			.at_ns = f->now_ns +
				 (uint64_t)exponential(&f->rng, gap_ns) + 1,
			.kind = EV_CLUMP});
}

static uint64_t report_interval_ns(const struct gate_fleet *f)
{
	uint64_t ns = f->opts.entries * REPORT_PER_ENTRY_NS;

	return ns < REPORT_MIN_NS   ? REPORT_MIN_NS
	       : ns > REPORT_MAX_NS ? REPORT_MAX_NS
				    : ns;
}

static void handle(struct gate_fleet *f, struct fleet_event *e)
{
	f->now_ns = e->at_ns;
	switch (e->kind) {
	case EV_CLUMP:
		on_clump(f);
		break;
	case EV_ARRIVAL:
		on_arrival(f, e->entry);
		break;
	case EV_AT_GATE:
		on_at_gate(f, e->gate, e->work);
		break;
	case EV_END:
		on_end(f, e->gate, e->work);
		break;
	case EV_REPORT:
		tell(f, e->entry, e->gate);
		e->at_ns += report_interval_ns(f);
		push(f, *e);
		break;
	}
}

static void init(struct gate_fleet *f, const struct gate_fleet_opts *o)
{
	memset(f, 0, sizeof(*f));
	f->opts = *o;
	rng_init(&f->rng, o->seed);
	rng_init(&f->draws, o->seed + 1);
	list_init(&f->central);
	histogram_init(&f->waits);
	f->gates = mem_zalloc(o->gates, sizeof(*f->gates));
	f->views = mem_zalloc((size_t)o->entries * o->gates, sizeof(*f->views));
	f->evens = mem_zalloc(o->entries, sizeof(*f->evens));
	for (uint32_t e = 0; e < o->entries; e++)
		even_init(&f->evens[e]);
	for (uint32_t i = 0; i < o->gates; i++) {
		struct sim_gate *g = &f->gates[i];

		list_init(&g->waiting);
		g->speed =
			SPEED_MIN + (SPEED_MAX - SPEED_MIN) * i /
					    (o->gates > 1 ? o->gates - 1 : 1);
		g->mean_ns = 200.0 * NS_PER_MS;
		make_noise(f, g);
	}
}

static void start_load(struct gate_fleet *f)
{
	push(f, (struct fleet_event){.kind = EV_CLUMP, .at_ns = 1});
	for (uint32_t e = 0; e < f->opts.entries; e++)
		for (uint32_t g = 0; g < f->opts.gates; g++) {
			uint64_t spread_ns = report_interval_ns(f);

			tell(f, e, g);
			push(f,
			     (struct fleet_event){.kind = EV_REPORT,
						  .at_ns = rng_below(&f->draws,
								     spread_ns),
						  .entry = e,
						  .gate = g});
		}
}

static double busiest_over_mean(const struct gate_fleet *f)
{
	double most = 0, sum = 0;

	for (uint32_t i = 0; i < f->opts.gates; i++) {
		if (f->gates[i].busy_ns > most)
			most = f->gates[i].busy_ns;
		sum += f->gates[i].busy_ns;
	}
	return most * f->opts.gates / sum;
}

static void done(struct gate_fleet *f)
{
	struct work *w, *tmp;

	for (size_t i = 0; i < f->count; i++)
		free(f->heap[i].work);
	for (uint32_t i = 0; i < f->opts.gates; i++) {
		list_for_each_entry_safe(w, tmp, &f->gates[i].waiting, link)
			free(w);
		free(f->gates[i].toggles_ns);
	}
	list_for_each_entry_safe(w, tmp, &f->central, link)
		free(w);
	for (uint32_t e = 0; e < f->opts.entries; e++)
		even_done(&f->evens[e]);
	free(f->evens);
	free(f->views);
	free(f->gates);
	free(f->heap);
}

struct gate_fleet_result gate_fleet_run(const struct gate_fleet_opts *o)
{
	struct gate_fleet f;
	struct gate_fleet_result r = {0};

	init(&f, o);
	start_load(&f);
	while (f.count && f.heap[0].at_ns < o->run_ns) {
		struct fleet_event e = pop(&f);

		handle(&f, &e);
	}
	r.busiest_over_mean = busiest_over_mean(&f);
	r.wait_p99_ms = (double)histogram_quantile_ns(&f.waits, 9900) / 1e6;
	r.requests = f.requests;
	r.messages = f.messages;
	done(&f);
	return r;
}
