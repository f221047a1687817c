/**
 * Which endpoint gets the next request of a route that any may serve. Own
 * counts and latencies decide, since load reports lag.
 */
#ifndef JD_CORE_BALANCER_H
#define JD_CORE_BALANCER_H

#include "core/histogram.h"
#include "core/list.h"
#include "core/rng.h"
#include "core/types.h"

#define BALANCER_BUCKETS 64

enum balancer_policy {
	BALANCER_LATENCY, /* a few choices by latency and in-flight, probes */
	BALANCER_ROUND_ROBIN,
	BALANCER_LEAST_IN_FLIGHT,
	BALANCER_TWO_CHOICES,	  /* the less loaded of two at random */
	BALANCER_DYNAMIC_WEIGHTS, /* by reported load and response time */
	BALANCER_POLICY_COUNT,
};

/** How far an endpoint is; traffic between regions is paid by volume. */
enum distance {
	DISTANCE_SAME_DC,
	DISTANCE_SAME_REGION,
	DISTANCE_OTHER_REGION,
	DISTANCE_COUNT,
};

/** How an attempt at an endpoint ended. */
enum attempt_end {
	ATTEMPT_ANSWERED,
	ATTEMPT_REFUSED,   /* full: it may take the next one */
	ATTEMPT_FAILED,	   /* down, leaving or lost */
	ATTEMPT_CANCELLED, /* it would have taken at least as long */
};

struct endpoint {
	struct list link;   /* in balancer.endpoints */
	struct list bucket; /* in balancer.buckets */
	incarnation_t inc;
	enum distance distance;
	bool stale; /* not seen in the present sync */
	uint32_t in_flight;
	uint64_t latency_ns; /* moving average; 0 unknown */
	uint64_t since_ns;   /* last answer, or start of the first in flight */
	uint64_t avoid_until_ns;
	uint64_t avoid_ns; /* the last wait; doubles with each failure */
	uint64_t probe_ns; /* a probe is due if it got nothing by then */
	uint64_t backoff_ns;
	uint32_t load_permille; /* as reported; only for dynamic weights */
	double weight;
};

struct candidate {
	struct endpoint *endpoint;
};

struct balancer {
	struct list link; /* for its owner */
	char route[JD_NAME_MAX];
	enum balancer_policy policy;
	struct list endpoints; /* of struct endpoint */
	struct list buckets[BALANCER_BUCKETS];
	/* The endpoints of each distance, for choices at random. */
	struct candidate *near[DISTANCE_COUNT];
	uint32_t near_count[DISTANCE_COUNT];
	struct histogram latency; /* of answers, the newer weigh more */
	uint64_t typical_ns;	  /* their median, taken now and then */
	uint64_t hedge_ns;	  /* their 95th percentile */
	uint64_t next_age_ns;
	uint64_t next_weights_ns;
	uint32_t turn;
	uint64_t probes;
	uint64_t spilled; /* chosen further away than the nearest */
};

void balancer_init(struct balancer *b, const char *route,
		   enum balancer_policy policy);
void balancer_done(struct balancer *b);

/** Replaces the endpoints: begin, add each, end. Known ones keep state. */
void balancer_sync_begin(struct balancer *b);
void balancer_sync_add(struct balancer *b, incarnation_t inc,
		       enum distance distance);
void balancer_sync_end(struct balancer *b);

/**
 * The endpoint for the next attempt other than @except (0: none); 0 when there
 * is none.
 */
incarnation_t balancer_choose(struct balancer *b, incarnation_t except,
			      struct rng *rng, uint64_t now_ns);

/** An attempt at @inc started. */
void balancer_on_start(struct balancer *b, incarnation_t inc, uint64_t now_ns);
/** It ended after @latency_ns. */
void balancer_on_end(struct balancer *b, incarnation_t inc,
		     enum attempt_end end, uint64_t latency_ns,
		     uint64_t now_ns);

/** A load report; it may lag or lie. */
void balancer_on_load_report(struct balancer *b, incarnation_t inc,
			     uint32_t load_permille);

/**
 * How long to wait for an answer before a hedge: the 95th percentile of
 * late; UINT64_MAX while too little is known.
 */
uint64_t balancer_hedge_after_ns(const struct balancer *b);

#endif
