/*
 * Tail latency, goodput and fairness of the shipped balancer, admission and
 * retry budget, in virtual time against small models of the upstream.
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

#define ENTRIES	      7
#define UPSTREAMS_MAX 7
#define SLOTS	      20
#define WORK_NS	      (5 * NS_PER_MS) /* mean; 2 ms plus an exponential */
#define WORK_MIN_NS   (2 * NS_PER_MS)
#define TIMEOUT_NS    NS_PER_S
#define ANNOUNCE_NS   (500 * NS_PER_MS)
#define REFUSAL_TIME  (NS_PER_MS / 4)
#define ATTEMPTS_MAX  3
#define CAPACITY      4000.0 /* requests a second of one upstream */

/** What stands before each upstream. */
enum gate_kind {
	GATE_ADMISSION, /* ours */
	GATE_FIFO,	/* slots and an endless queue */
	GATE_NONE,	/* all at once */
};

struct scenario {
	const char *name;
	enum balancer_policy policy;
	enum gate_kind gate;
	bool hedges;
	uint32_t upstreams;
	double per_s; /* of the first organisation */
	double second_per_s;
	uint64_t start_ns; /* measured from here; the fault comes then */
	uint64_t end_ns;
	uint32_t slow_permille; /* of upstream 0, from start_ns */
	bool turns_cold;	/* upstream 0, at start_ns */
	struct upstream_opts upstream;
};

struct attempt {
	struct ticket ticket;
	struct list fifo;
	struct request *request;
	uint32_t upstream;
	uint64_t start_ns;
	uint64_t instance; /* of the upstream that runs it; 0: none does */
	bool open;
};

struct request {
	struct list link;
	uint32_t entry;
	uint32_t org;
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
	uint64_t order; /* keeps equal times in order */
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
	uint64_t next_order;
	struct sim_event *heap;
	size_t heap_len;
	size_t heap_cap;
	struct list requests; /* of struct request */
	struct upstream upstreams[UPSTREAMS_MAX];
	struct entry entries[ENTRIES];
	struct histogram latency[2]; /* by organisation */
	uint64_t done[2];
	uint64_t asked[2];
	uint64_t extra;	   /* retries and hedges */
	uint64_t at_first; /* attempts at upstream 0 */
	uint64_t attempts;
};

static bool before(const struct sim_event *a, const struct sim_event *b)
{
	return a->at_ns != b->at_ns ? a->at_ns < b->at_ns : a->order < b->order;
}

static void swap(struct sim_event *a, struct sim_event *b)
{
	struct sim_event t = *a;

	*a = *b;
	*b = t;
}

static void push(struct sim *s, struct sim_event ev)
{
	size_t i = s->heap_len;

	ev.order = s->next_order++;
	if (s->heap_len == s->heap_cap) {
		s->heap_cap = s->heap_cap ? 2 * s->heap_cap : 1024;
		s->heap = mem_realloc(s->heap, s->heap_cap, sizeof(*s->heap));
	}
	s->heap[s->heap_len++] = ev;
	while (i && before(&s->heap[i], &s->heap[(i - 1) / 2])) {
		swap(&s->heap[i], &s->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

static struct sim_event pop(struct sim *s)
{
	struct sim_event first = s->heap[0];
	size_t i = 0;

	s->heap[0] = s->heap[--s->heap_len];
	for (;;) {
		size_t least = i;

		for (size_t c = 2 * i + 1; c <= 2 * i + 2; c++)
			if (c < s->heap_len &&
			    before(&s->heap[c], &s->heap[least]))
				least = c;
		if (least == i)
			return first;
		swap(&s->heap[i], &s->heap[least]);
		i = least;
	}
}

static double uniform(struct sim *s)
{
	return ((double)(rng_next(&s->rng) >> 11) + 0.5) / 9007199254740992.0;
}

static uint64_t exponential_ns(struct sim *s, double mean_ns)
{
	return (uint64_t)(-log(uniform(s)) * mean_ns);
}

static bool measured(const struct sim *s, const struct request *r)
{
	return r->start_ns >= s->sc->start_ns && r->start_ns < s->sc->end_ns;
}

static void send(struct sim *s, struct attempt *a)
{
	struct upstream *u = &s->upstreams[a->upstream];
	struct order_opts o = {.deadline_ns = a->request->start_ns + TIMEOUT_NS,
			       .work_ns = a->request->work_ns};
	struct sim_event ev = {.at_ns = s->now_ns + REFUSAL_TIME,
			       .kind = SIM_END,
			       .attempt = a,
			       .end = REQUEST_SHED};

	switch (upstream_state_order(&u->state, &o, s->now_ns, &ev.at_ns)) {
	case ORDER_RUNS:
		a->instance = u->state.instance;
		ev.end = REQUEST_ANSWERED;
		break;
	case ORDER_REFUSED:
	case ORDER_FENCED:
		break;
	case ORDER_BREAKS:
	case ORDER_NO_CONN:
		ev.end = REQUEST_FAILED;
		break;
	}
	push(s, ev);
}

static void close_attempt(struct sim *s, struct attempt *a,
			  enum request_end end);

static void pump_admission(struct sim *s, struct upstream *u)
{
	struct ticket *t;
	enum refusal why;

	while ((t = admission_pop_dropped(&u->admission, s->now_ns, &why)))
		close_attempt(s, list_entry(t, struct attempt, ticket),
			      REQUEST_NOT_SENT);
	while ((t = admission_start_next(&u->admission, s->now_ns)))
		send(s, list_entry(t, struct attempt, ticket));
}

static void pump_fifo(struct sim *s, struct upstream *u)
{
	while (!list_empty(&u->fifo) && u->running < SLOTS) {
		struct attempt *a =
			list_entry(u->fifo.next, struct attempt, fifo);

		list_remove(&a->fifo);
		u->running++;
		a->ticket.state = TICKET_RUNNING;
		send(s, a);
	}
}

static void pump(struct sim *s, struct upstream *u)
{
	switch (s->sc->gate) {
	case GATE_ADMISSION:
		pump_admission(s, u);
		break;
	case GATE_FIFO:
		pump_fifo(s, u);
		break;
	case GATE_NONE:
		break;
	}
}

static enum refusal offer(struct sim *s, struct attempt *a)
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
		send(s, a);
		break;
	}
	return REFUSAL_NONE;
}

static void launch(struct sim *s, struct request *r, uint32_t not )
{
	struct entry *e = &s->entries[r->entry];
	struct attempt *a = &r->items[r->attempts++];
	incarnation_t inc =
		balancer_choose(&e->balancer, not, &s->rng, s->now_ns);

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
	s->at_first += a->upstream == 0;
	balancer_on_start(&e->balancer, inc, s->now_ns);
	if (offer(s, a) != REFUSAL_NONE)
		push(s, (struct sim_event){.at_ns = s->now_ns + REFUSAL_TIME,
					   .kind = SIM_END,
					   .attempt = a,
					   .end = REQUEST_NOT_SENT});
	else
		pump(s, &s->upstreams[a->upstream]);
}

static enum attempt_end attempt_end(enum request_end end)
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

/* Frees the slot or the place in the queue. */
static void leave_upstream(struct sim *s, struct attempt *a,
			   enum request_end end)
{
	struct upstream *u = &s->upstreams[a->upstream];

	if (a->instance && a->instance == u->state.instance)
		upstream_state_end(&u->state, s->now_ns);
	a->instance = 0;
	if (s->sc->gate == GATE_ADMISSION)
		admission_end(&u->admission, &a->ticket, end, s->now_ns);
	else if (a->ticket.state == TICKET_RUNNING)
		u->running--;
	a->ticket.state = TICKET_IDLE;
	list_remove(&a->fifo);
}

static void close_attempt(struct sim *s, struct attempt *a,
			  enum request_end end)
{
	struct request *r = a->request;
	struct entry *e = &s->entries[r->entry];

	if (!a->open)
		return;
	a->open = false;
	r->open--;
	leave_upstream(s, a, end);
	balancer_on_end(&e->balancer, a->upstream + 1, attempt_end(end),
			s->now_ns - a->start_ns, s->now_ns);
}

static void close_all(struct sim *s, struct request *r, enum request_end end)
{
	for (uint32_t i = 0; i < r->attempts; i++) {
		struct attempt *a = &r->items[i];

		if (!a->open)
			continue;
		close_attempt(s, a, end);
		pump(s, &s->upstreams[a->upstream]);
	}
}

static void end_request(struct sim *s, struct request *r, bool done)
{
	uint64_t took = done ? s->now_ns - r->start_ns : TIMEOUT_NS;

	r->ended = true;
	if (measured(s, r)) {
		s->asked[r->org]++;
		s->done[r->org] += done;
		histogram_add(&s->latency[r->org], took);
	}
	close_all(s, r, done ? REQUEST_CANCELLED : REQUEST_TIMED_OUT);
}

static bool extra_attempt(struct sim *s, struct request *r, uint32_t not )
{
	struct entry *e = &s->entries[r->entry];

	if (r->attempts >= ATTEMPTS_MAX ||
	    !retry_budget_withdraw(&e->budget, s->now_ns))
		return false;
	s->extra++;
	launch(s, r, not );
	return true;
}

static void on_end(struct sim *s, struct attempt *a, enum request_end end)
{
	struct upstream *u = &s->upstreams[a->upstream];
	struct request *r = a->request;

	if (!a->open)
		return;
	if (end == REQUEST_ANSWERED && a->instance != u->state.instance)
		end = REQUEST_FAILED;
	close_attempt(s, a, end);
	if (end == REQUEST_ANSWERED)
		end_request(s, r, true);
	pump(s, u);
	if (r->ended || r->open)
		return;
	if (s->sc->gate != GATE_ADMISSION ||
	    !extra_attempt(s, r, a->upstream + 1))
		end_request(s, r, false);
}

static void arrive(struct sim *s, uint32_t org)
{
	struct request *r = mem_new(struct request);
	struct entry *e;
	uint64_t hedge_ns;
	double per_s = org ? s->sc->second_per_s : s->sc->per_s;

	list_push_back(&s->requests, &r->link);
	r->entry = (uint32_t)rng_below(&s->rng, ENTRIES);
	r->org = org;
	r->start_ns = s->now_ns;
	r->work_ns = WORK_MIN_NS +
		     exponential_ns(s, (double)(WORK_NS - WORK_MIN_NS));
	e = &s->entries[r->entry];
	retry_budget_deposit(&e->budget);
	push(s, (struct sim_event){.at_ns = s->now_ns + TIMEOUT_NS,
				   .kind = SIM_DEADLINE,
				   .request = r});
	hedge_ns = balancer_hedge_after_ns(&e->balancer);
	launch(s, r, 0);
	if (s->sc->hedges && hedge_ns < TIMEOUT_NS)
		push(s, (struct sim_event){.at_ns = s->now_ns + hedge_ns,
					   .kind = SIM_HEDGE,
					   .request = r});
	if (s->now_ns < s->sc->end_ns)
		push(s,
		     (struct sim_event){.at_ns = s->now_ns +
						 exponential_ns(s, 1e9 / per_s),
					.kind = SIM_ARRIVE,
					.org = org});
}

static void announce(struct sim *s)
{
	for (uint32_t i = 0; i < s->sc->upstreams; i++) {
		struct upstream *u = &s->upstreams[i];
		struct ev_announcement w = {
			.instance = u->state.instance,
			.slots = SLOTS,
			.connections = 130,
			.cold = upstream_state_says_cold(&u->state, s->now_ns),
			.load_permille =
				upstream_state_load(&u->state, s->now_ns)};

		if (s->now_ns < u->state.down_until_ns)
			continue;
		admission_on_announcement(&u->admission, &w, s->now_ns);
		for (int e = 0; e < ENTRIES; e++)
			balancer_on_load_report(&s->entries[e].balancer, i + 1,
						w.load_permille);
		pump(s, u);
	}
	if (s->now_ns < s->sc->end_ns)
		push(s, (struct sim_event){.at_ns = s->now_ns + ANNOUNCE_NS,
					   .kind = SIM_ANNOUNCE});
}

static void fault(struct sim *s)
{
	struct upstream_state *u = &s->upstreams[0].state;

	if (s->sc->slow_permille)
		u->slow_permille = s->sc->slow_permille;
	if (s->sc->turns_cold)
		upstream_state_chill(u, s->now_ns);
	s->attempts = 0;
	s->at_first = 0;
	s->extra = 0;
}

static void hedge(struct sim *s, struct request *r)
{
	if (r->ended || r->attempts != 1 || r->open != 1)
		return;
	extra_attempt(s, r, r->items[0].upstream + 1);
}

static void handle(struct sim *s, const struct sim_event *ev)
{
	switch (ev->kind) {
	case SIM_ARRIVE:
		arrive(s, ev->org);
		break;
	case SIM_ANNOUNCE:
		announce(s);
		break;
	case SIM_FAULT:
		fault(s);
		break;
	case SIM_END:
		on_end(s, ev->attempt, ev->end);
		break;
	case SIM_HEDGE:
		hedge(s, ev->request);
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
	rng_init(&s->rng, 20261204);
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
	push(s, (struct sim_event){.at_ns = s->now_ns, .kind = SIM_ANNOUNCE});
	push(s, (struct sim_event){.at_ns = s->now_ns, .kind = SIM_ARRIVE});
	if (sc->second_per_s > 0)
		push(s, (struct sim_event){.at_ns = s->now_ns,
					   .kind = SIM_ARRIVE,
					   .org = 1});
	push(s, (struct sim_event){.at_ns = sc->start_ns, .kind = SIM_FAULT});
	while (s->heap_len) {
		struct sim_event ev = pop(s);

		s->now_ns = ev.at_ns;
		handle(s, &ev);
	}
}

static double seconds(const struct scenario *sc)
{
	return (double)(sc->end_ns - sc->start_ns) / 1e9;
}

static double ms(const struct sim *s, int org, uint32_t permyriad)
{
	return (double)histogram_quantile_ns(&s->latency[org], permyriad) / 1e6;
}

/** A line of the summary, printed last. */
struct result {
	struct list link;
	char name[96];
	double ours, baseline;
};

static struct list results = {&results, &results};

static void result(const char *name, double ours, double baseline)
{
	struct result *r = mem_new(struct result);

	mem_copy_str(r->name, name, sizeof(r->name));
	r->ours = ours;
	r->baseline = baseline;
	list_push_back(&results, &r->link);
}

/* A baseline below 1 counts as 1, lest the ratio mean nothing. */
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

struct tail {
	double p50, p99, p999;
};

static struct tail straggler_row(const struct scenario *sc)
{
	static struct sim s;
	struct tail t;

	sim_run(&s, sc);
	t = (struct tail){ms(&s, 0, 5000), ms(&s, 0, 9900), ms(&s, 0, 9990)};
	printf("%-34s p50=%7.2f p99=%7.2f p99.9=%7.2f ms  done=%6.2f%%  "
	       "at_straggler=%5.2f%%  extra=%4.2f%%\n",
	       sc->name, t.p50, t.p99, t.p999,
	       100.0 * (double)s.done[0] / (double)s.asked[0],
	       100.0 * (double)s.at_first / (double)s.attempts,
	       100.0 * (double)s.extra / (double)s.attempts);
	sim_done(&s);
	return t;
}

static const struct upstream_opts upstream = {
	.slots = SLOTS, .work_ns = WORK_NS, .report_lag_ns = 3 * NS_PER_S};

static void straggler(uint32_t slow_permille)
{
	const struct scenario base = {.upstreams = 7,
				      .gate = GATE_FIFO,
				      .per_s = 0.6 * 7 * CAPACITY,
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
	struct tail t[ROWS];

	printf("# 1 of 7 upstreams %u.%u times slower from second 3 on, 60%% "
	       "load, its report 3 s late\n",
	       slow_permille / 1000, slow_permille % 1000 / 100);
	for (int i = 0; i < ROWS; i++) {
		struct scenario sc = base;

		sc.name = rows[i].name;
		sc.policy = rows[i].policy;
		sc.gate = rows[i].gate;
		sc.hedges = rows[i].hedges;
		t[i] = straggler_row(&sc);
	}
	for (int i = 0; i < 4; i++) {
		char name[96];

		snprintf(name, sizeof(name), "%s_p99_ms_vs_%s",
			 slow_permille > 1000 ? "straggler" : "healthy",
			 rows[i].name);
		result(name, t[ROWS - 1].p99, t[i].p99);
		snprintf(name, sizeof(name), "%s_p999_ms_vs_%s",
			 slow_permille > 1000 ? "straggler" : "healthy",
			 rows[i].name);
		result(name, t[ROWS - 1].p999, t[i].p999);
	}
}

struct one_result {
	double goodput;
	double second_p99_ms;
	double second_done; /* share */
	uint64_t falls;
};

/* One upstream behind one kind of gate. */
static struct one_result one(const struct scenario *sc, enum gate_kind gate)
{
	static struct sim s;
	struct scenario copy = *sc;
	struct one_result r = {0};

	copy.gate = gate;
	copy.policy = BALANCER_LATENCY;
	copy.upstreams = 1;
	sim_run(&s, &copy);
	r.goodput = (double)(s.done[0] + s.done[1]) / seconds(&copy);
	r.second_p99_ms = ms(&s, 1, 9900);
	if (s.asked[1])
		r.second_done = (double)s.done[1] / (double)s.asked[1];
	r.falls = s.upstreams[0].state.falls;
	sim_done(&s);
	return r;
}

static void goodput(const char *name, const struct scenario *sc)
{
	struct one_result ours = one(sc, GATE_ADMISSION);
	struct one_result none = one(sc, GATE_NONE);

	printf("%-34s ours=%7.0f/s falls=%lu  no_limit=%7.0f/s falls=%lu\n",
	       name, ours.goodput, (unsigned long)ours.falls, none.goodput,
	       (unsigned long)none.falls);
	result(name, ours.goodput, none.goodput);
}

static void overload(void)
{
	struct scenario sc = {.start_ns = 3 * NS_PER_S,
			      .end_ns = 8 * NS_PER_S,
			      .upstream = upstream};
	const double loads[] = {0.8, 1, 2, 10};

	sc.upstream.queue = 1000000;
	puts("# one upstream, load as a multiple of what it bears");
	for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		char name[64];

		sc.per_s = loads[i] * CAPACITY;
		snprintf(name, sizeof(name), "goodput_at_%.1fx", loads[i]);
		goodput(name, &sc);
	}
}

static void cold_start(void)
{
	/* Between two of its announcements. */
	struct scenario sc = {.start_ns = 4200 * NS_PER_MS,
			      .end_ns = 24200 * NS_PER_MS,
			      .turns_cold = true,
			      .per_s = 0.8 * CAPACITY,
			      .upstream = upstream};

	puts("# one upstream turns cold for 5 s and bears 4 of 20, 0.8x load");
	sc.upstream.queue = 1000000;
	sc.upstream.cold_ns = 5 * NS_PER_S;
	sc.upstream.cold_bears = 4;
	sc.upstream.restart_ns = NS_PER_S;
	sc.upstream.announces_cold = true;
	sc.upstream.cold_mode = COLD_FALLS_OVER;
	goodput("goodput_cold_announced_falls_over", &sc);
	sc.upstream.announces_cold = false;
	goodput("goodput_cold_unannounced_falls_over", &sc);
	sc.upstream.cold_mode = COLD_REFUSES;
	goodput("goodput_cold_unannounced_refuses", &sc);
	sc.upstream.cold_mode = COLD_SLOWS;
	goodput("goodput_cold_unannounced_slows", &sc);
}

static void fairness(void)
{
	struct scenario sc = {.start_ns = 4 * NS_PER_S,
			      .end_ns = 9 * NS_PER_S,
			      .per_s = 10 * CAPACITY,
			      .second_per_s = 0.25 * CAPACITY,
			      .upstream = upstream};
	struct one_result ours = one(&sc, GATE_ADMISSION);
	struct one_result fifo = one(&sc, GATE_FIFO);

	puts("# one organisation floods with 10x, another asks for 0.25x");
	printf("%-34s ours=%.2f%% p99=%.2f ms  fifo=%.2f%% p99=%.2f ms\n",
	       "small organisation done", 100 * ours.second_done,
	       ours.second_p99_ms, 100 * fifo.second_done, fifo.second_p99_ms);
	result("fair_small_done_percent", 100 * ours.second_done,
	       100 * fifo.second_done);
}

int main(void)
{
	straggler(10000);
	straggler(1000);
	overload();
	cold_start();
	fairness();
	print_results();
	return EXIT_SUCCESS;
}
