#include "core/balancer.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

#define LATENCY_SHARE	8 /* weight of one answer in the average */
#define AVOID_FULL_NS	(10 * NS_PER_MS)
#define AVOID_MIN_NS	(100 * NS_PER_MS)
#define AVOID_MAX_NS	(2 * NS_PER_S)
#define PROBE_MIN_NS	(250 * NS_PER_MS)
#define PROBE_MAX_NS	(4 * NS_PER_S)
#define AGE_NS		(5 * NS_PER_S)
#define QUANTILES_EVERY 32  /* answers */
#define HEDGE_MIN	100 /* answers */
#define HEDGE_QUANTILE	9500
#define HEDGE_FLOOR_NS	NS_PER_MS
#define WEIGHTS_NS	NS_PER_S
#define WEIGHT_QUEUE	20 /* the weights' bound on a queue */
#define CHOICES		4  /* endpoints compared for one request */

/* What a request may be slower nearby before it goes further away. */
static const uint64_t spill_ns[DISTANCE_COUNT] = {
	[DISTANCE_SAME_DC] = 0,
	[DISTANCE_SAME_REGION] = 2 * NS_PER_MS,
	[DISTANCE_OTHER_REGION] = 20 * NS_PER_MS,
};

void balancer_init(struct balancer *b, const char *route,
		   enum balancer_policy policy)
{
	memset(b, 0, sizeof(*b));
	list_init(&b->link);
	mem_copy_str(b->route, route, sizeof(b->route));
	b->policy = policy;
	list_init(&b->endpoints);
	for (int i = 0; i < BALANCER_BUCKETS; i++)
		list_init(&b->buckets[i]);
	histogram_init(&b->latency);
}

static void endpoint_delete(struct endpoint *e)
{
	list_remove(&e->link);
	list_remove(&e->bucket);
	free(e);
}

void balancer_done(struct balancer *b)
{
	struct endpoint *e, *tmp;

	list_for_each_entry_safe(e, tmp, &b->endpoints, link)
		endpoint_delete(e);
	for (int i = 0; i < DISTANCE_COUNT; i++)
		free(b->near[i]);
}

static struct list *bucket(struct balancer *b, incarnation_t inc)
{
	return &b->buckets[inc % BALANCER_BUCKETS];
}

static struct endpoint *find(struct balancer *b, incarnation_t inc)
{
	struct endpoint *e;

	list_for_each_entry(e, bucket(b, inc), bucket)
		if (e->inc == inc)
			return e;
	return NULL;
}

void balancer_sync_begin(struct balancer *b)
{
	struct endpoint *e;

	list_for_each_entry(e, &b->endpoints, link)
		e->stale = true;
}

void balancer_sync_add(struct balancer *b, incarnation_t inc,
		       enum distance distance)
{
	struct endpoint *e = find(b, inc);

	if (!e) {
		e = mem_new(struct endpoint);
		e->inc = inc;
		e->weight = 1;
		list_push_back(&b->endpoints, &e->link);
		list_push_back(bucket(b, inc), &e->bucket);
	}
	e->distance = distance;
	e->stale = false;
}

void balancer_sync_end(struct balancer *b)
{
	struct endpoint *e, *tmp;

	memset(b->near_count, 0, sizeof(b->near_count));
	list_for_each_entry_safe(e, tmp, &b->endpoints, link) {
		enum distance d = e->distance;

		if (e->stale) {
			endpoint_delete(e);
			continue;
		}
		b->near[d] = mem_realloc(b->near[d], b->near_count[d] + 1,
					 sizeof(*b->near[d]));
		b->near[d][b->near_count[d]++].endpoint = e;
	}
}

/*
 * No answer for longer than the average counts as that slow already; one
 * that never answered is taken for a typical one.
 */
static uint64_t latency_of(const struct balancer *b, const struct endpoint *e,
			   uint64_t now_ns)
{
	uint64_t known = e->latency_ns ? e->latency_ns : b->typical_ns;
	uint64_t silent = e->in_flight ? now_ns - e->since_ns : 0;

	return silent > known ? silent : known;
}

static double cost(const struct balancer *b, const struct endpoint *e,
		   uint64_t now_ns)
{
	return (double)(latency_of(b, e, now_ns) + 1) * (e->in_flight + 1);
}

static bool avoided(const struct endpoint *e, uint64_t now_ns)
{
	return now_ns < e->avoid_until_ns;
}

/* The cheapest of a few at random, or of all where there are few. */
static struct endpoint *cheapest(struct balancer *b, enum distance d,
				 incarnation_t except, struct rng *rng,
				 uint64_t now_ns)
{
	uint32_t n = b->near_count[d];
	uint32_t tries = n < 2 * CHOICES ? n : CHOICES;
	uint32_t start = n ? (uint32_t)rng_below(rng, n) : 0;
	struct endpoint *best = NULL;

	for (uint32_t i = 0; i < tries; i++) {
		uint32_t at = tries == n ? (start + i) % n
					 : (uint32_t)rng_below(rng, n);
		struct endpoint *e = b->near[d][at].endpoint;

		if (e->inc == except || avoided(e, now_ns))
			continue;
		if (!best || cost(b, e, now_ns) < cost(b, best, now_ns))
			best = e;
	}
	return best;
}

/*
 * One that gets nothing on its merits must get a request now and then, or
 * it would never be seen to be fast again.
 */
static struct endpoint *due_probe(struct balancer *b,
				  const struct endpoint *best,
				  incarnation_t except, struct rng *rng,
				  uint64_t now_ns)
{
	enum distance d;
	struct endpoint *e;
	uint32_t nearer = 0;

	for (d = 0; d <= best->distance; d++)
		nearer += b->near_count[d];
	nearer = (uint32_t)rng_below(rng, nearer);
	for (d = 0; nearer >= b->near_count[d]; d++)
		nearer -= b->near_count[d];
	e = b->near[d][nearer].endpoint;
	if (e == best || e->inc == except || avoided(e, now_ns) ||
	    e->in_flight || now_ns < e->probe_ns)
		return NULL;
	e->backoff_ns = e->backoff_ns ? 2 * e->backoff_ns : PROBE_MIN_NS;
	if (e->backoff_ns > PROBE_MAX_NS)
		e->backoff_ns = PROBE_MAX_NS;
	b->probes++;
	return e;
}

/* Further away only when what is near is worse by more than the distance. */
static struct endpoint *by_latency(struct balancer *b, incarnation_t except,
				   struct rng *rng, uint64_t now_ns)
{
	struct endpoint *best = NULL, *probe;

	for (enum distance d = 0; d < DISTANCE_COUNT; d++) {
		struct endpoint *e = cheapest(b, d, except, rng, now_ns);

		if (!e)
			continue;
		if (!best ||
		    latency_of(b, best, now_ns) + spill_ns[best->distance] >
			    latency_of(b, e, now_ns) + spill_ns[d])
			best = e;
		/* Nothing is known of it yet: don't go on on a guess. */
		if (best == e && !e->latency_ns)
			break;
	}
	if (!best)
		return NULL;
	if (best->distance != DISTANCE_SAME_DC &&
	    b->near_count[DISTANCE_SAME_DC])
		b->spilled++;
	probe = due_probe(b, best, except, rng, now_ns);
	if (probe)
		return probe;
	best->backoff_ns = 0;
	return best;
}

static struct endpoint *round_robin(struct balancer *b, incarnation_t except)
{
	uint32_t total = 0;

	for (int d = 0; d < DISTANCE_COUNT; d++)
		total += b->near_count[d];
	for (uint32_t i = 0; i < total; i++) {
		uint32_t at = b->turn++ % total;
		int d = 0;

		for (; at >= b->near_count[d]; d++)
			at -= b->near_count[d];
		if (b->near[d][at].endpoint->inc != except)
			return b->near[d][at].endpoint;
	}
	return NULL;
}

static struct endpoint *at_random(struct balancer *b, incarnation_t except,
				  struct rng *rng)
{
	b->turn = (uint32_t)rng_next(rng);
	return round_robin(b, except);
}

static struct endpoint *least_in_flight(struct balancer *b,
					incarnation_t except, struct rng *rng)
{
	struct endpoint *best = at_random(b, except, rng);
	struct endpoint *e;

	list_for_each_entry(e, &b->endpoints, link)
		if (best && e->inc != except && e->in_flight < best->in_flight)
			best = e;
	return best;
}

static struct endpoint *two_choices(struct balancer *b, incarnation_t except,
				    struct rng *rng)
{
	struct endpoint *x = at_random(b, except, rng);
	struct endpoint *y = at_random(b, except, rng);

	return x && y->in_flight < x->in_flight ? y : x;
}

/*
 * "Research and Realization of Nginx-based Dynamic Feedback Load Balancing
 * Algorithm": the expected arrival rate Qq / (1 + Qq) * R, with the free
 * part of the queue Qq and the availability R from the load report and the
 * response time, both with the exponent 1/2; taken anew each period.
 */
static void update_weights(struct balancer *b, uint64_t now_ns)
{
	struct endpoint *e;
	uint64_t best = UINT64_MAX;

	if (now_ns < b->next_weights_ns)
		return;
	b->next_weights_ns = now_ns + WEIGHTS_NS;
	list_for_each_entry(e, &b->endpoints, link)
		if (e->latency_ns && e->latency_ns < best)
			best = e->latency_ns;
	list_for_each_entry(e, &b->endpoints, link) {
		double free_load = 1 - (double)e->load_permille / 1000;
		double response = e->latency_ns
					  ? (double)best / (double)e->latency_ns
					  : 1;
		double queue = e->in_flight < WEIGHT_QUEUE
				       ? WEIGHT_QUEUE - e->in_flight
				       : 0;

		if (free_load < 0.01)
			free_load = 0.01;
		e->weight = (queue + 0.1) / (1 + queue) *
			    sqrt(free_load * response);
	}
}

static struct endpoint *by_weights(struct balancer *b, incarnation_t except,
				   struct rng *rng, uint64_t now_ns)
{
	struct endpoint *e, *last = NULL;
	double sum = 0, at;

	update_weights(b, now_ns);
	list_for_each_entry(e, &b->endpoints, link)
		if (e->inc != except)
			sum += e->weight;
	at = sum * (double)(rng_next(rng) >> 11) / 9007199254740992.0;
	list_for_each_entry(e, &b->endpoints, link) {
		if (e->inc == except)
			continue;
		last = e;
		at -= e->weight;
		if (at < 0)
			break;
	}
	return last;
}

static struct endpoint *choose(struct balancer *b, incarnation_t except,
			       struct rng *rng, uint64_t now_ns)
{
	struct endpoint *e;

	switch (b->policy) {
	case BALANCER_ROUND_ROBIN:
		return round_robin(b, except);
	case BALANCER_LEAST_IN_FLIGHT:
		return least_in_flight(b, except, rng);
	case BALANCER_TWO_CHOICES:
		return two_choices(b, except, rng);
	case BALANCER_DYNAMIC_WEIGHTS:
		return by_weights(b, except, rng, now_ns);
	case BALANCER_LATENCY:
	case BALANCER_POLICY_COUNT:
		break;
	}
	e = by_latency(b, except, rng, now_ns);
	/* All are avoided: their gates decide. */
	return e ? e : two_choices(b, except, rng);
}

incarnation_t balancer_choose(struct balancer *b, incarnation_t except,
			      struct rng *rng, uint64_t now_ns)
{
	struct endpoint *e = choose(b, except, rng, now_ns);

	return e ? e->inc : 0;
}

void balancer_on_start(struct balancer *b, incarnation_t inc, uint64_t now_ns)
{
	struct endpoint *e = find(b, inc);

	if (!e)
		return;
	if (!e->in_flight++)
		e->since_ns = now_ns;
	e->probe_ns = now_ns + (e->backoff_ns ? e->backoff_ns : PROBE_MIN_NS);
}

/* A probe's answer counts for more: there are few of them. */
static void observe(struct endpoint *e, uint64_t took_ns)
{
	uint64_t share = e->backoff_ns ? 2 : LATENCY_SHARE;

	if (!e->latency_ns || (e->backoff_ns && took_ns < e->latency_ns))
		e->latency_ns = took_ns;
	else if (took_ns > e->latency_ns)
		e->latency_ns += (took_ns - e->latency_ns) / share;
	else
		e->latency_ns -= (e->latency_ns - took_ns) / share;
}

static void avoid(struct endpoint *e, uint64_t now_ns)
{
	e->avoid_ns = e->avoid_ns ? 2 * e->avoid_ns : AVOID_MIN_NS;
	if (e->avoid_ns > AVOID_MAX_NS)
		e->avoid_ns = AVOID_MAX_NS;
	e->avoid_until_ns = now_ns + e->avoid_ns;
}

/* Reading quantiles walks all buckets, so not for each answer. */
static void note_latency(struct balancer *b, uint64_t took_ns, uint64_t now_ns)
{
	if (now_ns >= b->next_age_ns) {
		histogram_age(&b->latency);
		b->next_age_ns = now_ns + AGE_NS;
	}
	histogram_add(&b->latency, took_ns);
	if (b->latency.count % QUANTILES_EVERY != 0 && b->typical_ns)
		return;
	b->typical_ns = histogram_quantile_ns(&b->latency, 5000);
	b->hedge_ns = histogram_quantile_ns(&b->latency, HEDGE_QUANTILE);
}

static void on_answer(struct balancer *b, struct endpoint *e, uint64_t took_ns,
		      uint64_t now_ns)
{
	note_latency(b, took_ns, now_ns);
	observe(e, took_ns);
	e->avoid_ns = 0;
}

void balancer_on_end(struct balancer *b, incarnation_t inc,
		     enum attempt_end end, uint64_t latency_ns, uint64_t now_ns)
{
	struct endpoint *e = find(b, inc);

	if (!e)
		return;
	if (e->in_flight)
		e->in_flight--;
	e->since_ns = now_ns;
	switch (end) {
	case ATTEMPT_ANSWERED:
		on_answer(b, e, latency_ns, now_ns);
		break;
	case ATTEMPT_CANCELLED:
		if (latency_ns > e->latency_ns)
			observe(e, latency_ns);
		break;
	case ATTEMPT_REFUSED:
		e->avoid_until_ns = now_ns + AVOID_FULL_NS;
		break;
	case ATTEMPT_FAILED:
		avoid(e, now_ns);
		break;
	}
}

void balancer_on_load_report(struct balancer *b, incarnation_t inc,
			     uint32_t load_permille)
{
	struct endpoint *e = find(b, inc);

	if (e)
		e->load_permille = load_permille;
}

uint64_t balancer_hedge_after_ns(const struct balancer *b)
{
	if (b->latency.count < HEDGE_MIN)
		return UINT64_MAX;
	return b->hedge_ns > HEDGE_FLOOR_NS ? b->hedge_ns : HEDGE_FLOOR_NS;
}
