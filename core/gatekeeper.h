/**
 * The queue before the node's own upstream. All requests to it pass here, so
 * its slots, its rate while cold and its leaving are kept exactly.
 */
#ifndef JD_CORE_GATEKEEPER_H
#define JD_CORE_GATEKEEPER_H

#include "core/holder.h"

enum work_state {
	WORK_WAITING,
	WORK_RUNNING,
	WORK_CANCELLED, /* at the upstream, but nobody waits for it */
};

/** One attempt of a request until its end. */
struct work {
	struct list link; /* in waiting or running */
	enum work_state state;
	uint64_t call; /* at the upstream; 0 while it waits */
	uint64_t from; /* boot of the entry */
	char reply_to[JD_ADDR_MAX];
	struct request_id id;
	uint32_t attempt;
	uint64_t started_ns;
	uint64_t deadline_ns;
	uint64_t objective_ns; /* worth more before than after it */
	uint32_t priority;
	bool nested;
	bool keyed;
	uint32_t shard;
	char route[JD_NAME_MAX];
	char caller_id[JD_CALLER_ID_MAX];
	char caller_service[JD_NAME_MAX];
	struct http_request *request;
};

/** The end of one attempt. */
struct attempt_result {
	struct list link;
	uint64_t from;
	char reply_to[JD_ADDR_MAX];
	struct msg_answer answer; /* the message takes answer.answer */
};

/** What the gate has learned of a route. */
struct route_stats {
	struct list link;
	char route[JD_NAME_MAX];
	double mean_ns; /* time of a request at the upstream, moving average */
	/* Requests by where they began: VMs of this service, and others. */
	uint32_t from_own;
	uint32_t from_others;
};

struct gatekeeper {
	struct list waiting; /* of struct work, in the order to run them */
	struct list running; /* of struct work */
	struct list ends;    /* of struct attempt_result */
	struct list routes;  /* of struct route_stats */
	uint32_t running_count;
	uint32_t waiting_count;
	uint64_t next_call;
	double mean_ns;	       /* moving average over all routes */
	double tokens;	       /* requests that a cold upstream may get now */
	uint64_t tokens_ns;    /* when they were counted */
	uint32_t work_percent; /* as the upstream last reported */
	uint64_t end_ns;       /* the process ends then; 0: it goes on */
	uint64_t next_wake_ns;
	uint64_t served;
	uint64_t refused;
};

void gatekeeper_init(struct gatekeeper *g);
void gatekeeper_done(struct gatekeeper *g);

/** Takes one attempt; its end is in @g->ends, maybe at once. */
void gatekeeper_offer(struct gatekeeper *g, struct mesh_ctx *c,
		      const struct holder *h, struct msg_forward *f,
		      uint64_t from, uint64_t delay_ns);
void gatekeeper_cancel(struct gatekeeper *g, struct mesh_ctx *c, uint64_t from,
		       const struct msg_cancel *m);
/** Takes the end of a call to the upstream. */
void gatekeeper_on_upstream_end(struct gatekeeper *g, struct mesh_ctx *c,
				struct ev_upstream_end *e);

/** Starts what may run; ends what can't. */
void gatekeeper_work(struct gatekeeper *g, struct mesh_ctx *c,
		     const struct holder *h);
uint64_t gatekeeper_next_ns(const struct gatekeeper *g);

void gatekeeper_fill_load(const struct gatekeeper *g, const struct mesh_ctx *c,
			  const struct holder *h, struct gate_load *load);

/** Attempts that run or wait. */
uint32_t gatekeeper_attempt_count(const struct gatekeeper *g);

struct attempt_result *gatekeeper_pop_result(struct gatekeeper *g);

#endif
