/**
 * Load balancer for a route that any endpoint may serve. Endpoints are chosen
 * by the requests in flight and the latencies observed on this node, since
 * load reports lag.
 */
#ifndef JD_CORE_BALANCER_H
#define JD_CORE_BALANCER_H

#include "core/histogram.h"
#include "core/list.h"
#include "core/rng.h"
#include "core/types.h"

#define BALANCER_BUCKETS 64

enum balancer_policy {
	BALANCER_LATENCY, /* the cheapest of a few; see balancer.c */
	BALANCER_ROUND_ROBIN,
	BALANCER_LEAST_IN_FLIGHT,
	BALANCER_TWO_CHOICES,	  /* fewer in flight of two at random */
	BALANCER_DYNAMIC_WEIGHTS, /* by reported load and response time */
	BALANCER_POLICY_COUNT,
};

/** Distance to an endpoint; traffic between regions is paid by volume. */
enum distance {
	DISTANCE_SAME_DC,
	DISTANCE_SAME_REGION,
	DISTANCE_OTHER_REGION,
	DISTANCE_COUNT,
};

/** How an attempt at an endpoint ended. */
enum attempt_end {
	ATTEMPT_ANSWERED,
	ATTEMPT_REFUSED,   /* overloaded; may accept the next one */
	ATTEMPT_FAILED,	   /* down, leaving or connection lost */
	ATTEMPT_CANCELLED, /* its latency is only a lower bound */
};

struct endpoint {
	struct list link;   /* in balancer.endpoints */
	struct list bucket; /* in balancer.buckets */
	incarnation_t inc;
	enum distance distance;
	bool stale; /* not added again in the current sync */
	uint32_t in_flight;
	uint64_t latency_ns;	   /* moving average; 0: unknown */
	uint64_t last_progress_ns; /* last end, or first start when idle */
	uint64_t avoid_until_ns;
	uint64_t avoid_for_ns; /* doubles with each failure */
	uint64_t probe_due_ns; /* postponed by each request */
	uint64_t probe_interval_ns;
	uint32_t load_permille; /* as reported; only for dynamic weights */
	double weight;
};

/** An element of balancer.by_distance. */
struct candidate {
	struct endpoint *endpoint;
};

struct balancer {
	struct list link; /* for the owner of the balancer */
	char route[JD_NAME_MAX];
	enum balancer_policy policy;
	struct list endpoints; /* of struct endpoint */
	struct list buckets[BALANCER_BUCKETS];
	/* The endpoints of each distance, for random choices. */
	struct candidate *by_distance[DISTANCE_COUNT];
	uint32_t count_by_distance[DISTANCE_COUNT];
	struct histogram latency; /* of answers, older ones decay */
	uint64_t median_ns;	  /* median of latency, updated periodically */
	uint64_t p95_ns;	  /* 95th percentile of latency, likewise */
	uint64_t next_decay_ns;
	uint64_t next_weights_ns;
	uint32_t next_index;
	uint64_t probes;
	uint64_t spilled; /* sent elsewhere although this DC has endpoints */
};

void balancer_init(struct balancer *b, const char *route,
		   enum balancer_policy policy);
void balancer_done(struct balancer *b);

/**
 * Replace the endpoints: begin, add each, end. Endpoints that were there before
 * keep their state.
 */
void balancer_sync_begin(struct balancer *b);
void balancer_sync_add(struct balancer *b, incarnation_t inc,
		       enum distance distance);
void balancer_sync_end(struct balancer *b);

/**
 * Returns the endpoint for the next attempt, never @except (0: no exception);
 * 0 when there is none.
 */
incarnation_t balancer_choose(struct balancer *b, incarnation_t except,
			      struct rng *rng, uint64_t now_ns);

/** An attempt at @inc started. */
void balancer_on_start(struct balancer *b, incarnation_t inc, uint64_t now_ns);
/** An attempt at @inc ended after @latency_ns. */
void balancer_on_end(struct balancer *b, incarnation_t inc,
		     enum attempt_end end, uint64_t latency_ns,
		     uint64_t now_ns);

/** A load report of @inc, which may be outdated or wrong. */
void balancer_on_load_report(struct balancer *b, incarnation_t inc,
			     uint32_t load_permille);

/**
 * How long to wait for an answer before a hedge: the 95th percentile of recent
 * latencies; UINT64_MAX while there are too few answers.
 */
uint64_t balancer_hedge_after_ns(const struct balancer *b);

#endif
