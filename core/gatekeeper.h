/**
 * The gate of a node's own upstream: the admission queue in front of it. All
 * requests to the upstream pass through it, from any node. It bounds how many
 * run at once (the upstream's slots), limits the rate of an upstream that is
 * cold, as after its start, and stops requests when the upstream leaves.
 */
#ifndef JD_CORE_GATEKEEPER_H
#define JD_CORE_GATEKEEPER_H

#include "core/holder.h"
#include "core/load/gate_order.h"
#include "core/load/rank_demand.h"

enum attempt_state {
	ATTEMPT_WAITING,
	ATTEMPT_RUNNING,
	ATTEMPT_CANCELLED, /* at the upstream, but the entry has given it up */
};

/** One attempt of a request, from its arrival at the gate to its result. */
struct gate_attempt {
	struct list link; /* in waiting or running */
	enum attempt_state state;
	uint64_t call; /* number of the upstream call; 0 while it waits */
	uint64_t from; /* boot of the entry, the node that sent the request */
	char reply_to[JD_ADDR_MAX];
	struct request_id id;
	uint32_t attempt;
	uint64_t started_ns;
	uint64_t deadline_ns;	  /* of the entry, on the clock of this node */
	uint64_t objective_at_ns; /* a later answer misses the objective */
	uint64_t upstream_deadline_ns; /* that it was started with */
	uint64_t late_until_ns;	       /* see struct order_terms */
	bool late;
	bool again;	   /* its caller comes back after a failure */
	uint32_t priority; /* of the route; 0 is served first */
	bool internal;	   /* the route was internal on arrival */
	bool keyed;
	uint32_t shard; /* the key's number, when keyed */
	char route[JD_NAME_MAX];
	char *caller_id;      /* the caller's own request id; or NULL */
	char *caller_service; /* of the VM where it began, in full; or NULL */
	char *organisation;   /* in full; NULL or empty: none */
	struct http_request *request; /* NULL once it has started */
};

/** Result of one attempt, for its entry. */
struct attempt_result {
	struct list link;
	uint64_t from; /* boot of the entry */
	char reply_to[JD_ADDR_MAX];
	struct msg_answer answer; /* owns answer.answer */
};

/** What the gate has measured of a route. */
struct route_stats {
	struct list link;
	char route[JD_NAME_MAX];
	double mean_ns; /* time of a request at the upstream, moving average */
	double deviation_ns;   /* mean absolute deviation from it */
	struct even_pace pace; /* under heavy load only */
	/* Requests by the service of the VM where they began. */
	uint32_t from_own_service;
	uint32_t from_other_services;
};

struct gatekeeper {
	struct list waiting; /* of struct gate_attempt, in the order to run */
	struct list running; /* of struct gate_attempt */
	struct list results; /* of struct attempt_result */
	struct list routes;  /* of struct route_stats */
	uint32_t running_count;
	uint32_t waiting_count;
	uint64_t next_call;
	double mean_ns;		 /* as in route_stats, over all routes */
	double cold_tokens;	 /* requests that a cold upstream may get now */
	uint64_t cold_tokens_ns; /* last refill; 0: it was not cold */
	double transit_ns;	 /* of forwards on their way, moving average */
	uint32_t work_percent;	 /* as in the last upstream_report */
	uint64_t end_ns;	 /* the process ends then; 0: not planned */
	uint64_t next_wake_ns;
	uint64_t served;  /* attempts that the upstream answered */
	uint64_t refused; /* attempts that were not run */
	double slot_ns;	  /* time that any attempt holds a slot, average */
	struct call_room call_room;
	struct rank_demand demand;
	uint64_t put_back; /* attempts that missed their objective waiting */
	uint64_t hopeless; /* attempts refused as they waited in vain */
};

void gatekeeper_init(struct gatekeeper *g);
void gatekeeper_done(struct gatekeeper *g);

/**
 * Queues or refuses one attempt of the entry @from; @delay_ns is how long @f
 * was under way. Takes what @f owns. The result is in @g->results,
 * possibly already on return.
 */
void gatekeeper_offer(struct gatekeeper *g, struct mesh_ctx *c,
		      const struct holder *h, struct msg_forward *f,
		      uint64_t from, uint64_t delay_ns);

/**
 * Ends an attempt that its entry has given up; unknown ones are ignored. True
 * if it was waiting: no byte of it has reached the upstream, nor will.
 */
bool gatekeeper_cancel(struct gatekeeper *g, struct mesh_ctx *c, uint64_t from,
		       const struct msg_cancel *m);

/**
 * Ends the attempt of an upstream call; takes ownership of @e->answer and sets
 * it to NULL if the call belongs to an attempt.
 */
void gatekeeper_on_upstream_end(struct gatekeeper *g, struct mesh_ctx *c,
				struct ev_upstream_end *e);

/** Starts the attempts that may run now; ends those that can't any more. */
void gatekeeper_work(struct gatekeeper *g, struct mesh_ctx *c,
		     const struct holder *h);

/** When gatekeeper_work() is next due for the rate limit; else UINT64_MAX. */
uint64_t gatekeeper_next_ns(const struct gatekeeper *g);

/** Sets @load to the load of the gate. */
void gatekeeper_fill_load(const struct gatekeeper *g, const struct mesh_ctx *c,
			  const struct holder *h, struct gate_load *load);

/** Number of attempts that run or wait. */
uint32_t gatekeeper_attempt_count(const struct gatekeeper *g);

/** The oldest result, now the caller's; NULL when there is none. */
struct attempt_result *gatekeeper_pop_result(struct gatekeeper *g);

#endif
