#include "core/balancer.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

#define LATENCY_AVERAGE_DIVISOR	  8 /* one answer counts as 1/8 */
#define AVOID_REFUSED_NS	  (10 * NS_PER_MS)
#define AVOID_MIN_NS		  (100 * NS_PER_MS)
#define AVOID_MAX_NS		  (2 * NS_PER_S)
#define PROBE_MIN_NS		  (250 * NS_PER_MS)
#define PROBE_MAX_NS		  (4 * NS_PER_S)
#define DECAY_INTERVAL_NS	  (5 * NS_PER_S)
#define QUANTILE_INTERVAL_ANSWERS 32
#define HEDGE_MIN_ANSWERS	  100
#define MEDIAN_PER_10000	  5000
#define HEDGE_QUANTILE_PER_10000  9500
#define HEDGE_MIN_NS		  NS_PER_MS
#define WEIGHTS_INTERVAL_NS	  NS_PER_S
#define WEIGHTS_QUEUE_MAX	  20 /* queue length in update_weights() */
#define CHOICES_MAX		  4  /* endpoints compared for one request */

/*
 * Added to the expected latency of farther endpoints, so that a nearer one is
 * used until it is slower by more than this.
 */
static const uint64_t distance_penalty_ns[DISTANCE_COUNT] = {
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
		free(b->by_distance[i]);
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

	memset(b->count_by_distance, 0, sizeof(b->count_by_distance));
	list_for_each_entry_safe(e, tmp, &b->endpoints, link) {
		enum distance d = e->distance;

		if (e->stale) {
			endpoint_delete(e);
			continue;
		}
		b->by_distance[d] = mem_realloc(b->by_distance[d],
						b->count_by_distance[d] + 1,
						sizeof(*b->by_distance[d]));
		b->by_distance[d][b->count_by_distance[d]++].endpoint = e;
	}
}

/*
 * The average latency, or the time since the last answer if that is longer: a
 * stalled endpoint counts as slow before it answers. An endpoint that never
 * answered gets the median of all.
 */
static uint64_t expected_latency_ns(const struct balancer *b,
				    const struct endpoint *e, uint64_t now_ns)
{
	uint64_t known_ns = e->latency_ns ? e->latency_ns : b->median_ns;
	uint64_t silent_ns = e->in_flight ? now_ns - e->last_progress_ns : 0;

	return silent_ns > known_ns ? silent_ns : known_ns;
}

static double cost(const struct balancer *b, const struct endpoint *e,
		   uint64_t now_ns)
{
	return (double)(expected_latency_ns(b, e, now_ns) + 1) *
	       (e->in_flight + 1);
}

static bool avoided(const struct endpoint *e, uint64_t now_ns)
{
	return now_ns < e->avoid_until_ns;
}

/* The cheapest of a few at random, or of all if there are few. */
static struct endpoint *choose_cheapest(struct balancer *b, enum distance d,
					incarnation_t except, struct rng *rng,
					uint64_t now_ns)
{
	uint32_t n = b->count_by_distance[d];
	uint32_t tries = n < 2 * CHOICES_MAX ? n : CHOICES_MAX;
	uint32_t start = n ? (uint32_t)rng_below(rng, n) : 0;
	struct endpoint *best = NULL;

	for (uint32_t i = 0; i < tries; i++) {
		uint32_t at = tries == n ? (start + i) % n
					 : (uint32_t)rng_below(rng, n);
		struct endpoint *e = b->by_distance[d][at].endpoint;

		if (e->inc == except || avoided(e, now_ns))
			continue;
		if (!best || cost(b, e, now_ns) < cost(b, best, now_ns))
			best = e;
	}
	return best;
}

/*
 * An idle endpoint that is due for a probe, at most as far away as @best; NULL
 * if the one drawn at random is not due. Without probes, an endpoint that was
 * slow once would get no more requests and never be seen to recover.
 */
static struct endpoint *choose_probe(struct balancer *b,
				     const struct endpoint *best,
				     incarnation_t except, struct rng *rng,
				     uint64_t now_ns)
{
	enum distance d;
	struct endpoint *e;
	uint32_t at = 0;

	for (d = 0; d <= best->distance; d++)
		at += b->count_by_distance[d];
	at = (uint32_t)rng_below(rng, at);
	for (d = 0; at >= b->count_by_distance[d]; d++)
		at -= b->count_by_distance[d];
	e = b->by_distance[d][at].endpoint;
	if (e == best || e->inc == except || avoided(e, now_ns) ||
	    e->in_flight || now_ns < e->probe_due_ns)
		return NULL;
	e->probe_interval_ns =
		e->probe_interval_ns ? 2 * e->probe_interval_ns : PROBE_MIN_NS;
	if (e->probe_interval_ns > PROBE_MAX_NS)
		e->probe_interval_ns = PROBE_MAX_NS;
	b->probes++;
	return e;
}

/*
 * Goes farther away only when the nearer endpoints are slower by more than the
 * difference of the distance penalties.
 */
static struct endpoint *choose_by_latency(struct balancer *b,
					  incarnation_t except, struct rng *rng,
					  uint64_t now_ns)
{
	struct endpoint *best = NULL, *probe;

	for (enum distance d = 0; d < DISTANCE_COUNT; d++) {
		struct endpoint *e = choose_cheapest(b, d, except, rng, now_ns);

		if (!e)
			continue;
		if (!best ||
		    expected_latency_ns(b, best, now_ns) +
				    distance_penalty_ns[best->distance] >
			    expected_latency_ns(b, e, now_ns) +
				    distance_penalty_ns[d])
			best = e;
		/*
		 * Its latency is unknown: try it before any that is farther
		 * away.
		 */
		if (best == e && !e->latency_ns)
			break;
	}
	if (!best)
		return NULL;
	if (best->distance != DISTANCE_SAME_DC &&
	    b->count_by_distance[DISTANCE_SAME_DC])
		b->spilled++;
	probe = choose_probe(b, best, except, rng, now_ns);
	if (probe)
		return probe;
	best->probe_interval_ns = 0;
	return best;
}

static struct endpoint *choose_round_robin(struct balancer *b,
					   incarnation_t except)
{
	uint32_t total = 0;

	for (int d = 0; d < DISTANCE_COUNT; d++)
		total += b->count_by_distance[d];
	for (uint32_t i = 0; i < total; i++) {
		uint32_t at = b->next_index++ % total;
		int d = 0;

		for (; at >= b->count_by_distance[d]; d++)
			at -= b->count_by_distance[d];
		if (b->by_distance[d][at].endpoint->inc != except)
			return b->by_distance[d][at].endpoint;
	}
	return NULL;
}

static struct endpoint *choose_random(struct balancer *b, incarnation_t except,
				      struct rng *rng)
{
	b->next_index = (uint32_t)rng_next(rng);
	return choose_round_robin(b, except);
}

static struct endpoint *choose_least_in_flight(struct balancer *b,
					       incarnation_t except,
					       struct rng *rng)
{
	struct endpoint *best = choose_random(b, except, rng);
	struct endpoint *e;

	list_for_each_entry(e, &b->endpoints, link)
		if (best && e->inc != except && e->in_flight < best->in_flight)
			best = e;
	return best;
}

static struct endpoint *choose_of_two(struct balancer *b, incarnation_t except,
				      struct rng *rng)
{
	struct endpoint *x = choose_random(b, except, rng);
	struct endpoint *y = choose_random(b, except, rng);

	return x && y->in_flight < x->in_flight ? y : x;
}

/*
 * As in "Research and Realization of Nginx-based Dynamic Feedback Load
 * Balancing Algorithm". The weight is the expected arrival rate Qq / (1 + Qq) *
 * R, with the free part of the queue Qq and the availability R from the load
 * report and the response time, both with the exponent 1/2; updated once per
 * interval.
 */
static void update_weights(struct balancer *b, uint64_t now_ns)
{
	struct endpoint *e;
	uint64_t best = UINT64_MAX;

	if (now_ns < b->next_weights_ns)
		return;
	b->next_weights_ns = now_ns + WEIGHTS_INTERVAL_NS;
	list_for_each_entry(e, &b->endpoints, link)
		if (e->latency_ns && e->latency_ns < best)
			best = e->latency_ns;
	list_for_each_entry(e, &b->endpoints, link) {
		double free_load = 1 - (double)e->load_permille / 1000;
		double response = e->latency_ns
					  ? (double)best / (double)e->latency_ns
					  : 1;
		double queue = e->in_flight < WEIGHTS_QUEUE_MAX
				       ? WEIGHTS_QUEUE_MAX - e->in_flight
				       : 0;

		if (free_load < 0.01)
			free_load = 0.01;
		e->weight = (queue + 0.1) / (1 + queue) *
			    sqrt(free_load * response);
	}
}

static struct endpoint *choose_by_weights(struct balancer *b,
					  incarnation_t except, struct rng *rng,
					  uint64_t now_ns)
{
	struct endpoint *e, *last = NULL;
	double sum = 0, at;

	update_weights(b, now_ns);
	list_for_each_entry(e, &b->endpoints, link)
		if (e->inc != except)
			sum += e->weight;
	/* A uniform number below the sum, from 53 random bits over 2^53. */
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
		return choose_round_robin(b, except);
	case BALANCER_LEAST_IN_FLIGHT:
		return choose_least_in_flight(b, except, rng);
	case BALANCER_TWO_CHOICES:
		return choose_of_two(b, except, rng);
	case BALANCER_DYNAMIC_WEIGHTS:
		return choose_by_weights(b, except, rng, now_ns);
	case BALANCER_LATENCY:
	case BALANCER_POLICY_COUNT:
		break;
	}
	e = choose_by_latency(b, except, rng, now_ns);
	/* All are avoided: try one anyway, its gate may refuse. */
	return e ? e : choose_of_two(b, except, rng);
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
		e->last_progress_ns = now_ns;
	e->probe_due_ns = now_ns + (e->probe_interval_ns ? e->probe_interval_ns
							 : PROBE_MIN_NS);
}

/* The answer to a probe has more weight, since probes are few. */
static void update_average(struct endpoint *e, uint64_t took_ns)
{
	uint64_t divisor = e->probe_interval_ns ? 2 : LATENCY_AVERAGE_DIVISOR;

	if (!e->latency_ns || (e->probe_interval_ns && took_ns < e->latency_ns))
		e->latency_ns = took_ns;
	else if (took_ns > e->latency_ns)
		e->latency_ns += (took_ns - e->latency_ns) / divisor;
	else
		e->latency_ns -= (e->latency_ns - took_ns) / divisor;
}

static void avoid(struct endpoint *e, uint64_t now_ns)
{
	e->avoid_for_ns = e->avoid_for_ns ? 2 * e->avoid_for_ns : AVOID_MIN_NS;
	if (e->avoid_for_ns > AVOID_MAX_NS)
		e->avoid_for_ns = AVOID_MAX_NS;
	e->avoid_until_ns = now_ns + e->avoid_for_ns;
}

/* Reading a quantile scans all buckets, so it isn't done for each answer. */
static void record_latency(struct balancer *b, uint64_t took_ns,
			   uint64_t now_ns)
{
	if (now_ns >= b->next_decay_ns) {
		histogram_decay(&b->latency);
		b->next_decay_ns = now_ns + DECAY_INTERVAL_NS;
	}
	histogram_add(&b->latency, took_ns);
	if (b->latency.count % QUANTILE_INTERVAL_ANSWERS != 0 && b->median_ns)
		return;
	b->median_ns = histogram_quantile_ns(&b->latency, MEDIAN_PER_10000);
	b->p95_ns =
		histogram_quantile_ns(&b->latency, HEDGE_QUANTILE_PER_10000);
}

static void on_answer(struct balancer *b, struct endpoint *e, uint64_t took_ns,
		      uint64_t now_ns)
{
	record_latency(b, took_ns, now_ns);
	update_average(e, took_ns);
	e->avoid_for_ns = 0;
}

void balancer_on_end(struct balancer *b, incarnation_t inc,
		     enum attempt_end end, uint64_t latency_ns, uint64_t now_ns)
{
	struct endpoint *e = find(b, inc);

	if (!e)
		return;
	if (e->in_flight)
		e->in_flight--;
	e->last_progress_ns = now_ns;
	switch (end) {
	case ATTEMPT_ANSWERED:
		on_answer(b, e, latency_ns, now_ns);
		break;
	case ATTEMPT_CANCELLED:
		if (latency_ns > e->latency_ns)
			update_average(e, latency_ns);
		break;
	case ATTEMPT_REFUSED:
		e->avoid_until_ns = now_ns + AVOID_REFUSED_NS;
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
	if (b->latency.count < HEDGE_MIN_ANSWERS)
		return UINT64_MAX;
	return b->p95_ns > HEDGE_MIN_NS ? b->p95_ns : HEDGE_MIN_NS;
}
