/*
 * Measures tail latency, goodput and fairness of the production balancer,
 * admission and retry budget, and of simpler policies as baselines, in virtual
 * time with a model of the upstream (fakes/upstream_state.h).
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/admission.h"
#include "core/balancer.h"
#include "core/mem.h"
#include "core/retry_budget.h"
#include "fakes/upstream_state.h"

#define ENTRIES	       7
#define UPSTREAMS_MAX  7
#define SLOTS	       20
#define WORK_NS	       (5 * NS_PER_MS) /* mean: minimum plus exponential */
#define WORK_MIN_NS    (2 * NS_PER_MS)
#define TIMEOUT_NS     NS_PER_S
#define ANNOUNCE_NS    (500 * NS_PER_MS)
#define REFUSAL_NS     (NS_PER_MS / 4)
#define ATTEMPTS_MAX   3
#define CAPACITY_PER_S 4000.0 /* SLOTS / WORK_NS, of one upstream */
#define CONNECTIONS    130
#define SEED	       20261204

/* The first rows of measure_straggler(), reported as baselines. */
#define BASELINE_ROWS 4

/** What limits the requests that reach an upstream. */
enum gate_kind {
	GATE_ADMISSION, /* core/admission.h */
	GATE_FIFO,	/* its slots; the rest waits in an unbounded queue */
	GATE_NONE,	/* no limit */
};

struct scenario {
	const char *name;
	enum balancer_policy policy;
	enum gate_kind gate;
	bool hedges;
	uint32_t upstreams;
	double arrivals_per_s;	      /* requests of the first organisation */
	double second_arrivals_per_s; /* of the second one */
	uint64_t start_ns;	      /* of the measurement and of the fault */
	uint64_t end_ns;	      /* of the measurement and of arrivals */
	uint32_t slow_permille;	      /* of upstream 0, from start_ns */
	bool turns_cold;	      /* upstream 0, at start_ns */
	struct upstream_opts upstream;
};

struct attempt {
	struct ticket ticket;
	struct list fifo;
	struct request *request;
	uint32_t upstream;
	uint64_t start_ns;
	uint64_t instance; /* of the upstream that runs it; 0: none */
	bool open;
};

struct request {
	struct list link;
	uint32_t entry; /* index in sim.entries */
	uint32_t org;	/* 0 or 1 */
	uint64_t start_ns;
	uint64_t work_ns;
	uint32_t attempts;
	uint32_t open;
	bool ended;
	struct attempt items[ATTEMPTS_MAX];
};

enum sim_kind {
	SIM_ARRIVE,
	SIM_ANNOUNCE,
	SIM_FAULT,
	SIM_END,
	SIM_HEDGE,
	SIM_DEADLINE
};

struct sim_event {
	uint64_t at_ns;
	uint64_t sequence; /* of events at the same time */
	enum sim_kind kind;
	uint32_t org;
	struct request *request;
	struct attempt *attempt;
	enum request_end end;
};

struct upstream {
	struct upstream_state state;
	struct admission admission;
	struct list fifo; /* of struct attempt */
	uint32_t running;
};

struct entry {
	struct balancer balancer;
	struct retry_budget budget;
};

struct sim {
	const struct scenario *sc;
	struct rng rng;
	uint64_t now_ns;
	uint64_t next_sequence;
	struct sim_event *heap;
	size_t heap_len;
	size_t heap_cap;
	struct list requests; /* of struct request */
	struct upstream upstreams[UPSTREAMS_MAX];
	struct entry entries[ENTRIES];
	struct histogram latency[2]; /* by organisation */
	/* Requests of the measurement, by organisation. */
	uint64_t done[2];
	uint64_t total[2];
	/* Since the start of the measurement. */
	uint64_t retries_and_hedges;
	uint64_t at_upstream_0; /* attempts at upstream 0 */
	uint64_t attempts;
};

static bool is_earlier(const struct sim_event *a, const struct sim_event *b)
{
	return a->at_ns != b->at_ns ? a->at_ns < b->at_ns
				    : a->sequence < b->sequence;
}

static void swap(struct sim_event *a, struct sim_event *b)
{
	struct sim_event t = *a;

	*a = *b;
	*b = t;
}

static void push_event(struct sim *s, struct sim_event ev)
{
	size_t i = s->heap_len;

	ev.sequence = s->next_sequence++;
	if (s->heap_len == s->heap_cap) {
		s->heap_cap = s->heap_cap ? 2 * s->heap_cap : 1024;
		s->heap = mem_realloc(s->heap, s->heap_cap, sizeof(*s->heap));
	}
	s->heap[s->heap_len++] = ev;
	while (i && is_earlier(&s->heap[i], &s->heap[(i - 1) / 2])) {
		swap(&s->heap[i], &s->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

static struct sim_event pop_event(struct sim *s)
{
	struct sim_event first = s->heap[0];
	size_t i = 0;

	s->heap[0] = s->heap[--s->heap_len];
	for (;;) {
		size_t earliest = i;

		for (size_t c = 2 * i + 1; c <= 2 * i + 2; c++)
			if (c < s->heap_len &&
			    is_earlier(&s->heap[c], &s->heap[earliest]))
				earliest = c;
		if (earliest == i)
			return first;
		swap(&s->heap[i], &s->heap[earliest]);
		i = earliest;
	}
}

/* Random, between 0 and 1, both excluded, with the 53 bits of a double. */
static double uniform(struct sim *s)
{
	return ((double)(rng_next(&s->rng) >> 11) + 0.5) / 9007199254740992.0;
}

static uint64_t exponential_ns(struct sim *s, double mean_ns)
{
	return (uint64_t)(-log(uniform(s)) * mean_ns);
}

static bool is_measured(const struct sim *s, const struct request *r)
{
	return r->start_ns >= s->sc->start_ns && r->start_ns < s->sc->end_ns;
}

static void send_attempt(struct sim *s, struct attempt *a)
{
	struct upstream *u = &s->upstreams[a->upstream];
	struct upstream_request o = {.deadline_ns =
					     a->request->start_ns + TIMEOUT_NS,
				     .work_ns = a->request->work_ns};
	struct sim_event ev = {.at_ns = s->now_ns + REFUSAL_NS,
			       .kind = SIM_END,
			       .attempt = a,
			       .end = REQUEST_SHED};

	switch (upstream_state_start_request(&u->state, &o, s->now_ns,
					     &ev.at_ns)) {
	case UPSTREAM_RUNS:
		a->instance = u->state.instance;
		ev.end = REQUEST_ANSWERED;
		break;
	case UPSTREAM_REFUSED:
	case UPSTREAM_FENCED:
		break;
	case UPSTREAM_FALLS_OVER:
	case UPSTREAM_DOWN:
		ev.end = REQUEST_FAILED;
		break;
	}
	push_event(s, ev);
}

static void end_attempt(struct sim *s, struct attempt *a, enum request_end end);

static void start_queued_admission(struct sim *s, struct upstream *u)
{
	struct ticket *t;
	enum refusal why;

	while ((t = admission_pop_dropped(&u->admission, s->now_ns, &why)))
		end_attempt(s, list_entry(t, struct attempt, ticket),
			    REQUEST_NOT_SENT);
	while ((t = admission_start_next(&u->admission, s->now_ns)))
		send_attempt(s, list_entry(t, struct attempt, ticket));
}

static void start_queued_fifo(struct sim *s, struct upstream *u)
{
	while (!list_empty(&u->fifo) && u->running < SLOTS) {
		struct attempt *a =
			list_entry(u->fifo.next, struct attempt, fifo);

		list_remove(&a->fifo);
		u->running++;
		a->ticket.state = TICKET_RUNNING;
		send_attempt(s, a);
	}
}

/* Starts the queued attempts that may run now. */
static void start_queued(struct sim *s, struct upstream *u)
{
	switch (s->sc->gate) {
	case GATE_ADMISSION:
		start_queued_admission(s, u);
		break;
	case GATE_FIFO:
		start_queued_fifo(s, u);
		break;
	case GATE_NONE:
		break;
	}
}

/* Passes the attempt to the gate; REFUSAL_NONE if the gate accepts it. */
static enum refusal submit_attempt(struct sim *s, struct attempt *a)
{
	struct upstream *u = &s->upstreams[a->upstream];
	struct ticket_opts o = {.organisation = a->request->org ? "b" : "a",
				.weight = 1,
				.deadline_ns =
					a->request->start_ns + TIMEOUT_NS,
				.any = true};

	switch (s->sc->gate) {
	case GATE_ADMISSION:
		return admission_enqueue(&u->admission, &a->ticket, &o,
					 s->now_ns);
	case GATE_FIFO:
		list_push_back(&u->fifo, &a->fifo);
		break;
	case GATE_NONE:
		send_attempt(s, a);
		break;
	}
	return REFUSAL_NONE;
}

/* Starts an attempt at an upstream other than @except (0: any). */
static void start_attempt(struct sim *s, struct request *r, uint32_t except)
{
	struct entry *e = &s->entries[r->entry];
	struct attempt *a = &r->items[r->attempts++];
	incarnation_t inc =
		balancer_choose(&e->balancer, except, &s->rng, s->now_ns);

	if (!inc)
		inc = 1;
	list_init(&a->ticket.link);
	list_init(&a->fifo);
	a->request = r;
	a->upstream = (uint32_t)inc - 1;
	a->start_ns = s->now_ns;
	a->open = true;
	r->open++;
	s->attempts++;
	s->at_upstream_0 += a->upstream == 0;
	balancer_on_start(&e->balancer, inc, s->now_ns);
	if (submit_attempt(s, a) != REFUSAL_NONE)
		push_event(s,
			   (struct sim_event){.at_ns = s->now_ns + REFUSAL_NS,
					      .kind = SIM_END,
					      .attempt = a,
					      .end = REQUEST_NOT_SENT});
	else
		start_queued(s, &s->upstreams[a->upstream]);
}

static enum attempt_end to_attempt_end(enum request_end end)
{
	switch (end) {
	case REQUEST_ANSWERED:
		return ATTEMPT_ANSWERED;
	case REQUEST_FAILED:
		return ATTEMPT_FAILED;
	case REQUEST_TIMED_OUT:
	case REQUEST_CANCELLED:
		return ATTEMPT_CANCELLED;
	case REQUEST_SHED:
	case REQUEST_NOT_SENT:
		break;
	}
	return ATTEMPT_REFUSED;
}

/* Frees the attempt's slot or its place in the queue. */
static void release_upstream(struct sim *s, struct attempt *a,
			     enum request_end end)
{
	struct upstream *u = &s->upstreams[a->upstream];

	if (a->instance && a->instance == u->state.instance)
		upstream_state_end_request(&u->state, s->now_ns);
	a->instance = 0;
	if (s->sc->gate == GATE_ADMISSION)
		admission_end(&u->admission, &a->ticket, end, s->now_ns);
	else if (a->ticket.state == TICKET_RUNNING)
		u->running--;
	a->ticket.state = TICKET_IDLE;
	list_remove(&a->fifo);
}

static void end_attempt(struct sim *s, struct attempt *a, enum request_end end)
{
	struct request *r = a->request;
	struct entry *e = &s->entries[r->entry];

	if (!a->open)
		return;
	a->open = false;
	r->open--;
	release_upstream(s, a, end);
	balancer_on_end(&e->balancer, a->upstream + 1, to_attempt_end(end),
			s->now_ns - a->start_ns, s->now_ns);
}

static void end_open_attempts(struct sim *s, struct request *r,
			      enum request_end end)
{
	for (uint32_t i = 0; i < r->attempts; i++) {
		struct attempt *a = &r->items[i];

		if (!a->open)
			continue;
		end_attempt(s, a, end);
		start_queued(s, &s->upstreams[a->upstream]);
	}
}

static void end_request(struct sim *s, struct request *r, bool done)
{
	uint64_t latency_ns = done ? s->now_ns - r->start_ns : TIMEOUT_NS;

	r->ended = true;
	if (is_measured(s, r)) {
		s->total[r->org]++;
		s->done[r->org] += done;
		histogram_add(&s->latency[r->org], latency_ns);
	}
	end_open_attempts(s, r, done ? REQUEST_CANCELLED : REQUEST_TIMED_OUT);
}

/* Starts a retry or a hedge; false when the budget or the count forbids it. */
static bool start_retry_or_hedge(struct sim *s, struct request *r,
				 uint32_t except)
{
	struct entry *e = &s->entries[r->entry];

	if (r->attempts >= ATTEMPTS_MAX ||
	    !retry_budget_withdraw(&e->budget, s->now_ns))
		return false;
	s->retries_and_hedges++;
	start_attempt(s, r, except);
	return true;
}

static void on_attempt_end(struct sim *s, struct attempt *a,
			   enum request_end end)
{
	struct upstream *u = &s->upstreams[a->upstream];
	struct request *r = a->request;

	if (!a->open)
		return;
	if (end == REQUEST_ANSWERED && a->instance != u->state.instance)
		end = REQUEST_FAILED;
	end_attempt(s, a, end);
	if (end == REQUEST_ANSWERED)
		end_request(s, r, true);
	start_queued(s, u);
	if (r->ended || r->open)
		return;
	if (s->sc->gate != GATE_ADMISSION ||
	    !start_retry_or_hedge(s, r, a->upstream + 1))
		end_request(s, r, false);
}

static void on_arrival(struct sim *s, uint32_t org)
{
	struct request *r = mem_new(struct request);
	struct entry *e;
	uint64_t hedge_after_ns;
	double arrivals_per_s =
		org ? s->sc->second_arrivals_per_s : s->sc->arrivals_per_s;

	list_push_back(&s->requests, &r->link);
	r->entry = (uint32_t)rng_below(&s->rng, ENTRIES);
	r->org = org;
	r->start_ns = s->now_ns;
	r->work_ns = WORK_MIN_NS +
		     exponential_ns(s, (double)(WORK_NS - WORK_MIN_NS));
	e = &s->entries[r->entry];
	retry_budget_deposit(&e->budget);
	push_event(s, (struct sim_event){.at_ns = s->now_ns + TIMEOUT_NS,
					 .kind = SIM_DEADLINE,
					 .request = r});
	hedge_after_ns = balancer_hedge_after_ns(&e->balancer);
	start_attempt(s, r, 0);
	if (s->sc->hedges && hedge_after_ns < TIMEOUT_NS)
		push_event(s, (struct sim_event){.at_ns = s->now_ns +
							  hedge_after_ns,
						 .kind = SIM_HEDGE,
						 .request = r});
	if (s->now_ns < s->sc->end_ns)
		push_event(s, (struct sim_event){
				      .at_ns = s->now_ns +
					       exponential_ns(
						       s, 1e9 / arrivals_per_s),
				      .kind = SIM_ARRIVE,
				      .org = org});
}

static void on_announcement_timer(struct sim *s)
{
	for (uint32_t i = 0; i < s->sc->upstreams; i++) {
		struct upstream *u = &s->upstreams[i];
		struct ev_announcement w = {
			.instance = u->state.instance,
			.slots = SLOTS,
			.connections = CONNECTIONS,
			.cold = upstream_state_announces_cold(&u->state,
							      s->now_ns),
			.load_permille =
				upstream_state_load(&u->state, s->now_ns)};

		if (s->now_ns < u->state.down_until_ns)
			continue;
		admission_on_announcement(&u->admission, &w, s->now_ns);
		for (int e = 0; e < ENTRIES; e++)
			balancer_on_load_report(&s->entries[e].balancer, i + 1,
						w.load_permille);
		start_queued(s, u);
	}
	if (s->now_ns < s->sc->end_ns)
		push_event(s,
			   (struct sim_event){.at_ns = s->now_ns + ANNOUNCE_NS,
					      .kind = SIM_ANNOUNCE});
}

/* Injects the fault and restarts the counters that are measured from here. */
static void on_fault(struct sim *s)
{
	struct upstream_state *u = &s->upstreams[0].state;

	if (s->sc->slow_permille)
		u->slow_permille = s->sc->slow_permille;
	if (s->sc->turns_cold)
		upstream_state_set_cold(u, s->now_ns);
	s->attempts = 0;
	s->at_upstream_0 = 0;
	s->retries_and_hedges = 0;
}

static void on_hedge_timer(struct sim *s, struct request *r)
{
	if (r->ended || r->attempts != 1 || r->open != 1)
		return;
	start_retry_or_hedge(s, r, r->items[0].upstream + 1);
}

static void handle_event(struct sim *s, const struct sim_event *ev)
{
	switch (ev->kind) {
	case SIM_ARRIVE:
		on_arrival(s, ev->org);
		break;
	case SIM_ANNOUNCE:
		on_announcement_timer(s);
		break;
	case SIM_FAULT:
		on_fault(s);
		break;
	case SIM_END:
		on_attempt_end(s, ev->attempt, ev->end);
		break;
	case SIM_HEDGE:
		on_hedge_timer(s, ev->request);
		break;
	case SIM_DEADLINE:
		if (!ev->request->ended)
			end_request(s, ev->request, false);
		break;
	}
}

static void sim_init(struct sim *s, const struct scenario *sc)
{
	memset(s, 0, sizeof(*s));
	s->sc = sc;
	s->now_ns = NS_PER_S;
	rng_init(&s->rng, SEED);
	list_init(&s->requests);
	for (uint32_t i = 0; i < sc->upstreams; i++) {
		struct upstream *u = &s->upstreams[i];

		upstream_state_init(&u->state, &sc->upstream, 1000 * (i + 1),
				    s->now_ns);
		u->state.cold_until_ns = 0;
		admission_init(&u->admission);
		list_init(&u->fifo);
	}
	for (int e = 0; e < ENTRIES; e++) {
		struct balancer *b = &s->entries[e].balancer;

		balancer_init(b, "any", sc->policy);
		retry_budget_init(&s->entries[e].budget);
		balancer_sync_begin(b);
		for (uint32_t i = 0; i < sc->upstreams; i++)
			balancer_sync_add(b, i + 1, DISTANCE_SAME_DC);
		balancer_sync_end(b);
	}
	histogram_init(&s->latency[0]);
	histogram_init(&s->latency[1]);
}

static void sim_done(struct sim *s)
{
	struct request *r, *tmp;

	list_for_each_entry_safe(r, tmp, &s->requests, link)
		free(r);
	for (uint32_t i = 0; i < s->sc->upstreams; i++) {
		admission_done(&s->upstreams[i].admission);
		upstream_state_done(&s->upstreams[i].state);
	}
	for (int e = 0; e < ENTRIES; e++)
		balancer_done(&s->entries[e].balancer);
	free(s->heap);
}

static void sim_run(struct sim *s, const struct scenario *sc)
{
	sim_init(s, sc);
	push_event(s, (struct sim_event){.at_ns = s->now_ns,
					 .kind = SIM_ANNOUNCE});
	push_event(s,
		   (struct sim_event){.at_ns = s->now_ns, .kind = SIM_ARRIVE});
	if (sc->second_arrivals_per_s > 0)
		push_event(s, (struct sim_event){.at_ns = s->now_ns,
						 .kind = SIM_ARRIVE,
						 .org = 1});
	push_event(s, (struct sim_event){.at_ns = sc->start_ns,
					 .kind = SIM_FAULT});
	while (s->heap_len) {
		struct sim_event ev = pop_event(s);

		s->now_ns = ev.at_ns;
		handle_event(s, &ev);
	}
}

static double measured_s(const struct scenario *sc)
{
	return (double)(sc->end_ns - sc->start_ns) / 1e9;
}

static double quantile_ms(const struct sim *s, int org, uint32_t permyriad)
{
	return (double)histogram_quantile_ns(&s->latency[org], permyriad) / 1e6;
}

/** A row of the summary, which is printed at the end. */
struct result {
	struct list link;
	char name[96];
	double ours, baseline;
};

static struct list results = {&results, &results};

static void add_result(const char *name, double ours, double baseline)
{
	struct result *r = mem_new(struct result);

	mem_copy_str(r->name, name, sizeof(r->name));
	r->ours = ours;
	r->baseline = baseline;
	list_push_back(&results, &r->link);
}

/* A baseline below 1 counts as 1, to keep the ratio finite and readable. */
static void print_results(void)
{
	struct result *r, *tmp;

	list_for_each_entry_safe(r, tmp, &results, link) {
		printf("bench: name=%s ours=%.2f baseline=%.2f ratio=%.3f\n",
		       r->name, r->ours, r->baseline,
		       r->ours / (r->baseline > 1 ? r->baseline : 1));
		free(r);
	}
}

/* Quantiles of the latency, in milliseconds. */
struct latency_ms {
	double p50, p99, p999;
};

static struct latency_ms run_straggler(const struct scenario *sc)
{
	static struct sim s;
	struct latency_ms t;

	sim_run(&s, sc);
	t = (struct latency_ms){quantile_ms(&s, 0, 5000),
				quantile_ms(&s, 0, 9900),
				quantile_ms(&s, 0, 9990)};
	printf("%-34s p50=%7.2f p99=%7.2f p99.9=%7.2f ms  done=%6.2f%%  "
	       "at_straggler=%5.2f%%  extra=%4.2f%%\n",
	       sc->name, t.p50, t.p99, t.p999,
	       100.0 * (double)s.done[0] / (double)s.total[0],
	       100.0 * (double)s.at_upstream_0 / (double)s.attempts,
	       100.0 * (double)s.retries_and_hedges / (double)s.attempts);
	sim_done(&s);
	return t;
}

static const struct upstream_opts upstream = {
	.slots = SLOTS, .work_ns = WORK_NS, .report_lag_ns = 3 * NS_PER_S};

static void measure_straggler(uint32_t slow_permille)
{
	const struct scenario base = {.upstreams = 7,
				      .gate = GATE_FIFO,
				      .arrivals_per_s =
					      0.6 * 7 * CAPACITY_PER_S,
				      .start_ns = 4 * NS_PER_S,
				      .end_ns = 14 * NS_PER_S,
				      .slow_permille = slow_permille,
				      .upstream = upstream};
	struct row {
		const char *name;
		enum balancer_policy policy;
		enum gate_kind gate;
		bool hedges;
	} rows[] = {
		{"round_robin", BALANCER_ROUND_ROBIN, GATE_FIFO, false},
		{"least_in_flight", BALANCER_LEAST_IN_FLIGHT, GATE_FIFO, false},
		{"two_choices", BALANCER_TWO_CHOICES, GATE_FIFO, false},
		{"dynamic_weights", BALANCER_DYNAMIC_WEIGHTS, GATE_FIFO, false},
		{"least_in_flight+gate+hedge", BALANCER_LEAST_IN_FLIGHT,
		 GATE_ADMISSION, true},
		{"two_choices+gate+hedge", BALANCER_TWO_CHOICES, GATE_ADMISSION,
		 true},
		{"ours_without_hedge", BALANCER_LATENCY, GATE_ADMISSION, false},
		{"ours", BALANCER_LATENCY, GATE_ADMISSION, true},
	};
	enum { ROWS = sizeof(rows) / sizeof(*rows) };
	struct latency_ms t[ROWS];

	printf("# 1 of 7 upstreams %u.%u times slower from second 3 on, 60%% "
	       "load, load reports 3 s late\n",
	       slow_permille / 1000, slow_permille % 1000 / 100);
	for (int i = 0; i < ROWS; i++) {
		struct scenario sc = base;

		sc.name = rows[i].name;
		sc.policy = rows[i].policy;
		sc.gate = rows[i].gate;
		sc.hedges = rows[i].hedges;
		t[i] = run_straggler(&sc);
	}
	for (int i = 0; i < BASELINE_ROWS; i++) {
		char name[96];

		snprintf(name, sizeof(name), "%s_p99_ms_vs_%s",
			 slow_permille > 1000 ? "straggler" : "healthy",
			 rows[i].name);
		add_result(name, t[ROWS - 1].p99, t[i].p99);
		snprintf(name, sizeof(name), "%s_p999_ms_vs_%s",
			 slow_permille > 1000 ? "straggler" : "healthy",
			 rows[i].name);
		add_result(name, t[ROWS - 1].p999, t[i].p999);
	}
}

/* The results of a scenario with one upstream. */
struct single_result {
	double goodput;	      /* requests done per second */
	double second_p99_ms; /* of the second organisation */
	double second_done;   /* share of its requests */
	uint64_t falls;	      /* times that the upstream fell over */
};

/* Runs @sc with a single upstream behind a gate of kind @gate. */
static struct single_result run_single(const struct scenario *sc,
				       enum gate_kind gate)
{
	static struct sim s;
	struct scenario copy = *sc;
	struct single_result r = {0};

	copy.gate = gate;
	copy.policy = BALANCER_LATENCY;
	copy.upstreams = 1;
	sim_run(&s, &copy);
	r.goodput = (double)(s.done[0] + s.done[1]) / measured_s(&copy);
	r.second_p99_ms = quantile_ms(&s, 1, 9900);
	if (s.total[1])
		r.second_done = (double)s.done[1] / (double)s.total[1];
	r.falls = s.upstreams[0].state.falls;
	sim_done(&s);
	return r;
}

/* Compares admission with no limit. */
static void measure_goodput(const char *name, const struct scenario *sc)
{
	struct single_result ours = run_single(sc, GATE_ADMISSION);
	struct single_result none = run_single(sc, GATE_NONE);

	printf("%-34s ours=%7.0f/s falls=%lu  no_limit=%7.0f/s falls=%lu\n",
	       name, ours.goodput, (unsigned long)ours.falls, none.goodput,
	       (unsigned long)none.falls);
	add_result(name, ours.goodput, none.goodput);
}

static void measure_overload(void)
{
	struct scenario sc = {.start_ns = 3 * NS_PER_S,
			      .end_ns = 8 * NS_PER_S,
			      .upstream = upstream};
	const double loads[] = {0.8, 1, 2, 10};

	sc.upstream.queue = 1000000;
	puts("# one upstream, load as a multiple of its capacity");
	for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		char name[64];

		sc.arrivals_per_s = loads[i] * CAPACITY_PER_S;
		snprintf(name, sizeof(name), "goodput_at_%.1fx", loads[i]);
		measure_goodput(name, &sc);
	}
}

static void measure_cold_start(void)
{
	/*
	 * start_ns lies between two announcements, so that requests reach the
	 * cold upstream before it can announce that it is cold.
	 */
	struct scenario sc = {.start_ns = 4200 * NS_PER_MS,
			      .end_ns = 24200 * NS_PER_MS,
			      .turns_cold = true,
			      .arrivals_per_s = 0.8 * CAPACITY_PER_S,
			      .upstream = upstream};

	puts("# one upstream cold for 5 s with 4 of 20 slots, 0.8x load");
	sc.upstream.queue = 1000000;
	sc.upstream.cold_ns = 5 * NS_PER_S;
	sc.upstream.cold_bears = 4;
	sc.upstream.restart_ns = NS_PER_S;
	sc.upstream.announces_cold = true;
	sc.upstream.cold_mode = COLD_FALLS_OVER;
	measure_goodput("goodput_cold_announced_falls_over", &sc);
	sc.upstream.announces_cold = false;
	measure_goodput("goodput_cold_unannounced_falls_over", &sc);
	sc.upstream.cold_mode = COLD_REFUSES;
	measure_goodput("goodput_cold_unannounced_refuses", &sc);
	sc.upstream.cold_mode = COLD_SLOWS;
	measure_goodput("goodput_cold_unannounced_slows", &sc);
}

static void measure_fairness(void)
{
	struct scenario sc = {.start_ns = 4 * NS_PER_S,
			      .end_ns = 9 * NS_PER_S,
			      .arrivals_per_s = 10 * CAPACITY_PER_S,
			      .second_arrivals_per_s = 0.25 * CAPACITY_PER_S,
			      .upstream = upstream};
	struct single_result ours = run_single(&sc, GATE_ADMISSION);
	struct single_result fifo = run_single(&sc, GATE_FIFO);

	puts("# one organisation sends 10x the capacity, another 0.25x");
	printf("%-34s ours=%.2f%% p99=%.2f ms  fifo=%.2f%% p99=%.2f ms\n",
	       "small organisation done", 100 * ours.second_done,
	       ours.second_p99_ms, 100 * fifo.second_done, fifo.second_p99_ms);
	add_result("fair_small_done_percent", 100 * ours.second_done,
		   100 * fifo.second_done);
}

int main(void)
{
	measure_straggler(10000);
	measure_straggler(1000);
	measure_overload();
	measure_cold_start();
	measure_fairness();
	print_results();
	return EXIT_SUCCESS;
}
