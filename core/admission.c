#include "core/admission.h"

#include <stdlib.h>
#include <string.h>

#include "core/invariant.h"
#include "core/mem.h"

#define ANNOUNCE_TIMEOUT_NS	(2500 * NS_PER_MS)
#define DRAIN_GRACE_NS		(2 * NS_PER_S)
#define QUEUE_PER_SLOT		4  /* waiting requests for each slot */
#define SERVICE_AVERAGE_DIVISOR 16 /* one request counts as 1/16 */
#define LOAD_FULL_PERMILLE	1000
#define PEAK_PERIOD_NS		NS_PER_S

void admission_init(struct admission *a)
{
	memset(a, 0, sizeof(*a));
	limiter_init(&a->limiter);
	list_init(&a->orgs);
	list_init(&a->dropped);
}

void admission_done(struct admission *a)
{
	struct org_queue *o, *tmp;

	list_for_each_entry_safe(o, tmp, &a->orgs, link)
		free(o);
	list_init(&a->orgs);
}

void admission_on_announcement(struct admission *a,
			       const struct ev_announcement *ann,
			       uint64_t now_ns)
{
	uint32_t slots = ann->slots;

	if (ann->connections && ann->connections < slots)
		slots = ann->connections;
	if (a->instance != ann->instance || a->slots != slots)
		limiter_reset(&a->limiter, slots, now_ns);
	if (a->instance != ann->instance)
		a->drain_deadline_ns = 0;
	a->instance = ann->instance;
	a->slots = slots;
	a->load_permille = ann->load_permille;
	a->silent_at_ns = now_ns + ANNOUNCE_TIMEOUT_NS;
	limiter_set_cold(&a->limiter, ann->cold, now_ns);
	if (!ann->draining)
		a->drain_deadline_ns = 0;
	else if (!a->drain_deadline_ns)
		a->drain_deadline_ns = now_ns + DRAIN_GRACE_NS;
}

/*
 * Load from other nodes leaves fewer slots to this one. The report lags behind
 * the local count, so it can only lower the limit, and not below the limit of
 * a cold start.
 */
static uint32_t limit_by_load_report(const struct admission *a, uint32_t limit)
{
	uint32_t own_permille =
		a->slots ? a->running * LOAD_FULL_PERMILLE / a->slots : 0;
	uint32_t floor = limiter_cold_limit(a->slots);
	uint32_t others_permille, slots_left;

	if (a->load_permille <= LOAD_FULL_PERMILLE * 9 / 10 ||
	    a->load_permille <= own_permille)
		return limit;
	others_permille = a->load_permille - own_permille;
	if (others_permille > LOAD_FULL_PERMILLE)
		others_permille = LOAD_FULL_PERMILLE;
	slots_left = a->slots * (LOAD_FULL_PERMILLE - others_permille) /
		     LOAD_FULL_PERMILLE;
	if (slots_left < floor)
		slots_left = floor;
	return slots_left < limit ? slots_left : limit;
}

uint32_t admission_limit(const struct admission *a, uint64_t now_ns)
{
	return limit_by_load_report(a, limiter_limit(&a->limiter, now_ns));
}

static struct org_queue *org_get(struct admission *a,
				 const struct ticket_opts *opts)
{
	struct org_queue *o;

	list_for_each_entry(o, &a->orgs, link)
		if (!strcmp(o->name, opts->organisation))
			goto found;
	o = mem_new(struct org_queue);
	mem_copy_str(o->name, opts->organisation, sizeof(o->name));
	list_init(&o->tickets);
	list_push_back(&a->orgs, &o->link);
found:
	o->weight = opts->weight ? opts->weight : 1;
	return o;
}

/* Sum of the weights of @also and of all organisations with requests. */
static uint32_t busy_weight(const struct admission *a,
			    const struct org_queue *also)
{
	const struct org_queue *o;
	uint32_t sum = 0;

	list_for_each_entry(o, &a->orgs, link)
		if (o->waiting || o->running || o == also)
			sum += o->weight;
	return sum;
}

/*
 * The part of @total that @o gets by its weight, at least 1, when @also counts
 * among the organisations with requests.
 */
static uint32_t share_including(const struct admission *a,
				const struct org_queue *o,
				const struct org_queue *also, uint32_t total)
{
	uint32_t sum = busy_weight(a, also);
	uint32_t n = sum ? total * o->weight / sum : 0;

	return n ? n : 1;
}

static uint32_t share(const struct admission *a, const struct org_queue *o,
		      uint32_t total)
{
	return share_including(a, o, o, total);
}

static void dequeue(struct admission *a, struct ticket *t)
{
	list_remove(&t->link);
	t->org->waiting--;
	a->waiting--;
	t->state = TICKET_IDLE;
}

static void drop_ticket(struct admission *a, struct ticket *t)
{
	dequeue(a, t);
	list_push_back(&a->dropped, &t->link);
	a->refused++;
}

/* The organisation furthest above its share of the queue. */
static struct org_queue *most_over_share(const struct admission *a)
{
	struct org_queue *o, *worst = NULL;

	list_for_each_entry(o, &a->orgs, link)
		if (o->waiting &&
		    (!worst || (uint64_t)o->waiting * worst->weight >
				       (uint64_t)worst->waiting * o->weight))
			worst = o;
	return worst;
}

/*
 * When the queue is full, an organisation below its share of it displaces the
 * newest request of the one furthest above its share.
 */
static bool make_room(struct admission *a, const struct org_queue *o)
{
	uint32_t cap = QUEUE_PER_SLOT * a->slots;
	struct org_queue *worst;

	if (a->waiting < cap)
		return true;
	worst = most_over_share(a);
	if (!worst || worst == o || o->waiting >= share(a, o, cap) ||
	    worst->waiting <= share_including(a, worst, o, cap))
		return false;
	drop_ticket(a, list_entry(worst->tickets.prev, struct ticket, link));
	return true;
}

/*
 * The average service time of @o; until one of its requests has ended, that of
 * all organisations.
 */
static uint64_t service_ns(const struct admission *a, const struct org_queue *o)
{
	return o->service_ns ? o->service_ns : a->service_ns;
}

/*
 * True when the requests of @o ahead in the queue, at the observed service
 * time, would delay the start of a new one past its deadline.
 */
static bool would_be_late(const struct admission *a, const struct org_queue *o,
			  uint64_t deadline_ns, uint64_t now_ns)
{
	uint32_t slots = share(a, o, admission_limit(a, now_ns));
	uint64_t rounds = o->waiting / slots;

	return now_ns + rounds * service_ns(a, o) >= deadline_ns;
}

/*
 * A draining upstream refuses requests that another one may serve at once, and
 * all others after a grace period.
 */
static bool refused_by_drain(const struct admission *a, bool any,
			     uint64_t now_ns)
{
	return a->drain_deadline_ns && (any || now_ns >= a->drain_deadline_ns);
}

enum refusal admission_enqueue(struct admission *a, struct ticket *t,
			       const struct ticket_opts *opts, uint64_t now_ns)
{
	struct org_queue *o = org_get(a, opts);
	enum refusal why = REFUSAL_NONE;

	if (!a->instance || now_ns >= a->silent_at_ns)
		why = REFUSAL_UPSTREAM_DOWN;
	else if (refused_by_drain(a, opts->any, now_ns))
		why = REFUSAL_LEAVING;
	else if (now_ns >= opts->deadline_ns)
		why = REFUSAL_DEADLINE;
	else if (would_be_late(a, o, opts->deadline_ns, now_ns) ||
		 !make_room(a, o))
		why = REFUSAL_QUEUE_FULL;
	if (why != REFUSAL_NONE) {
		a->refused++;
		return why;
	}
	if (!o->waiting && !o->running &&
	    o->virtual_time_ns < a->virtual_now_ns)
		o->virtual_time_ns = a->virtual_now_ns;
	t->org = o;
	t->state = TICKET_WAITING;
	t->deadline_ns = opts->deadline_ns;
	list_push_back(&o->tickets, &t->link);
	o->waiting++;
	a->waiting++;
	return REFUSAL_NONE;
}

/* Why a waiting request can't run any more; REFUSAL_NONE if it can. */
static enum refusal drop_reason(const struct admission *a,
				const struct ticket *t, uint64_t now_ns)
{
	/*
	 * With less than half of the usual service time left, the answer would
	 * come after the deadline.
	 */
	if (now_ns + service_ns(a, t->org) / 2 >= t->deadline_ns)
		return REFUSAL_DEADLINE;
	if (now_ns >= a->silent_at_ns)
		return REFUSAL_UPSTREAM_DOWN;
	if (refused_by_drain(a, false, now_ns))
		return REFUSAL_LEAVING;
	return REFUSAL_NONE;
}

static void drop_unservable(struct admission *a, uint64_t now_ns)
{
	struct org_queue *o;

	list_for_each_entry(o, &a->orgs, link) {
		struct ticket *t, *tmp;

		list_for_each_entry_safe(t, tmp, &o->tickets, link)
			if (drop_reason(a, t, now_ns) != REFUSAL_NONE)
				drop_ticket(a, t);
	}
}

struct ticket *admission_pop_dropped(struct admission *a, uint64_t now_ns,
				     enum refusal *why)
{
	struct ticket *t;

	if (list_empty(&a->dropped))
		drop_unservable(a, now_ns);
	if (list_empty(&a->dropped))
		return NULL;
	t = list_entry(a->dropped.next, struct ticket, link);
	list_remove(&t->link);
	*why = drop_reason(a, t, now_ns);
	if (*why == REFUSAL_NONE)
		*why = REFUSAL_QUEUE_FULL;
	return t;
}

static void update_peak(struct org_queue *o, uint64_t now_ns)
{
	if (now_ns >= o->peak_end_ns) {
		o->previous_peak = now_ns < o->peak_end_ns + PEAK_PERIOD_NS
					   ? o->peak_running
					   : 0;
		o->peak_running = 0;
		o->peak_end_ns = now_ns + PEAK_PERIOD_NS;
	}
	if (o->running > o->peak_running)
		o->peak_running = o->running;
}

/*
 * Free slots kept for organisations other than @except: those that they used
 * within the last two periods, within their shares, and are likely to need
 * again.
 */
static uint32_t reserved_slots(const struct admission *a,
			       const struct org_queue *except, uint32_t limit,
			       uint64_t now_ns)
{
	const struct org_queue *o;
	uint32_t sum = 0;

	list_for_each_entry(o, &a->orgs, link) {
		uint32_t n = o->peak_running > o->previous_peak
				     ? o->peak_running
				     : o->previous_peak;
		uint32_t own_share = share(a, o, limit);

		if (o == except || now_ns >= o->peak_end_ns + PEAK_PERIOD_NS)
			continue;
		if (n > own_share)
			n = own_share;
		if (n > o->running)
			sum += n - o->running;
	}
	return sum;
}

/*
 * The organisation to serve next: those below their share of the slots come
 * first, then the one with the least virtual time. By virtual time alone, long
 * requests of one organisation would hold all slots until they ended.
 */
static struct org_queue *choose_org(const struct admission *a, uint32_t limit,
				    uint64_t now_ns)
{
	struct org_queue *o, *best = NULL;
	bool best_over = false;

	list_for_each_entry(o, &a->orgs, link) {
		bool over;

		if (!o->waiting)
			continue;
		over = o->running >= share(a, o, limit);
		if (over &&
		    a->running + reserved_slots(a, o, limit, now_ns) >= limit)
			continue;
		if (best && (over > best_over ||
			     (over == best_over &&
			      o->virtual_time_ns >= best->virtual_time_ns)))
			continue;
		best = o;
		best_over = over;
	}
	return best;
}

struct ticket *admission_start_next(struct admission *a, uint64_t now_ns)
{
	uint32_t limit = admission_limit(a, now_ns);
	struct org_queue *o;
	struct ticket *t;

	if (!a->waiting || a->running >= limit)
		return NULL;
	o = choose_org(a, limit, now_ns);
	if (!o)
		return NULL;
	t = list_entry(o->tickets.next, struct ticket, link);
	dequeue(a, t);
	t->state = TICKET_RUNNING;
	t->started_ns = now_ns;
	o->running++;
	a->running++;
	update_peak(o, now_ns);
	if (o->virtual_time_ns > a->virtual_now_ns)
		a->virtual_now_ns = o->virtual_time_ns;
	o->virtual_time_ns += (double)(service_ns(a, o) + 1) / o->weight;
	limiter_on_start(&a->limiter, a->running);
	JD_INVARIANT(a->running <= a->slots, "running=%u slots=%u", a->running,
		     a->slots);
	return t;
}

static void update_average(uint64_t *avg_ns, uint64_t took_ns)
{
	if (!*avg_ns)
		*avg_ns = took_ns;
	else if (took_ns > *avg_ns)
		*avg_ns += (took_ns - *avg_ns) / SERVICE_AVERAGE_DIVISOR;
	else
		*avg_ns -= (*avg_ns - took_ns) / SERVICE_AVERAGE_DIVISOR;
}

static void record_end(struct admission *a, struct ticket *t,
		       enum request_end end, uint64_t now_ns)
{
	uint64_t took_ns = now_ns - t->started_ns;
	struct org_queue *o = t->org;

	limiter_on_end(&a->limiter, end, took_ns, now_ns);
	if (end != REQUEST_ANSWERED && end != REQUEST_TIMED_OUT)
		return;
	o->virtual_time_ns +=
		((double)took_ns - (double)service_ns(a, o)) / o->weight;
	update_average(&o->service_ns, took_ns);
	update_average(&a->service_ns, took_ns);
}

void admission_end(struct admission *a, struct ticket *t, enum request_end end,
		   uint64_t now_ns)
{
	switch (t->state) {
	case TICKET_IDLE:
		list_remove(&t->link);
		break;
	case TICKET_WAITING:
		dequeue(a, t);
		break;
	case TICKET_RUNNING:
		record_end(a, t, end, now_ns);
		t->org->running--;
		a->running--;
		t->state = TICKET_IDLE;
		break;
	}
}
