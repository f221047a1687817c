/**
 * The entry of a leased fleet: a caller's request from its route to its
 * outcome. It picks the service, the gate, and what to do when an attempt
 * ends without an answer.
 */
#ifndef JD_CORE_DISPATCH_H
#define JD_CORE_DISPATCH_H

#include "core/burn.h"
#include "core/gatekeeper.h"
#include "core/histogram.h"
#include "core/window_budget.h"

#define DISPATCH_BUCKETS   1024
#define DISPATCH_TRIED_MAX 8
/* Bounds on what one entry keeps; past them it refuses. */
#define DISPATCH_MAX	   20000
#define DISPATCH_BYTES_MAX (UINT64_C(64) << 20)

enum job_state {
	JOB_HELD, /* waits for a gate that can take it */
	JOB_SENT, /* an attempt is at a gate */
};

/** One caller's request until its outcome. */
struct job {
	struct list link;      /* in its bucket by id */
	struct list by_caller; /* in its bucket by caller */
	struct list held;      /* in dispatch.held while JOB_HELD */
	struct request_id id;
	uint64_t caller;
	enum job_state state;
	char caller_id[JD_CALLER_ID_MAX];
	char route[JD_NAME_MAX];
	char service[JD_NAME_MAX];
	struct region_set regions;
	uint32_t priority;
	uint32_t max_attempts;
	bool idempotent;
	bool keyed;
	uint32_t shard;
	uint64_t received_ns;
	uint64_t objective_at_ns;
	uint64_t deadline_ns;
	uint64_t give_up_ns; /* held no longer than that */
	uint64_t retry_ns;   /* held: not before */
	uint64_t sent_ns;    /* the present attempt */
	uint32_t attempt;
	uint32_t reached; /* attempts that may have reached an upstream */
	bool may_have_run;
	uint64_t at;		     /* boot of the gate that has it */
	char node[JD_NODE_NAME_MAX]; /* of that gate */
	char tried[DISPATCH_TRIED_MAX][JD_NODE_NAME_MAX];
	uint32_t tried_count;
	enum refusal refusal;	     /* of the last attempt */
	uint64_t retry_after_ns;     /* as the last gate said */
	struct http_answer *failure; /* an upstream's own failed answer */
	size_t bytes;
	struct http_request *request;
};

/** The fleet's budget of extra attempts counts each service apart. */
struct service_budget {
	struct list link;
	char service[JD_NAME_MAX];
	struct window_budget window;
	bool called; /* by other services: their repeats repeat its calls */
};

/** A route that only upstreams use. */
struct internal_route {
	struct list link;
	char route[JD_NAME_MAX];
};

/** Bodies of a route's answers: those from other regions are paid for. */
struct route_answers {
	struct list link;
	char route[JD_NAME_MAX];
	double mean_kb; /* moving average */
};

struct dispatch {
	struct list jobs[DISPATCH_BUCKETS];    /* of struct job */
	struct list callers[DISPATCH_BUCKETS]; /* of struct job */
	struct list held;		       /* of struct job */
	uint64_t next_id;
	uint32_t count;
	uint64_t bytes;
	uint64_t next_expiry_ns;
	bool stopping;	      /* callers are told to go elsewhere */
	bool closed;	      /* nothing new is taken */
	struct list budgets;  /* of struct service_budget */
	struct list internal; /* of struct internal_route */
	struct list answers;  /* of struct route_answers */
	uint64_t repeats;
	uint64_t repeats_denied;
	struct histogram latency;
	uint64_t requests;
	uint64_t outcomes[OUTCOME_COUNT];
	uint64_t reasons[REFUSAL_COUNT];
	struct burn burn;
};

void dispatch_init(struct dispatch *d);
void dispatch_done(struct dispatch *d);

/** What the parts of one node need of each other here. */
struct local_gate {
	struct gatekeeper *gate;
	const struct holder *holder;
};

void dispatch_on_request(struct dispatch *d, struct mesh_ctx *c,
			 struct local_gate *g, struct caller_request *r);
void dispatch_on_caller_gone(struct dispatch *d, struct mesh_ctx *c,
			     struct local_gate *g, uint64_t caller);
/** The end of an attempt at the process @from; takes @a->answer. */
void dispatch_on_answer(struct dispatch *d, struct mesh_ctx *c,
			struct local_gate *g, uint64_t from,
			struct msg_answer *a);
/** Ends late requests, tries held ones, gives up on lost gates. */
void dispatch_work(struct dispatch *d, struct mesh_ctx *c,
		   struct local_gate *g);
/**
 * The process ends: answers all that is left. What waits for a gate has not
 * run; what is at one is cancelled.
 */
void dispatch_end_all(struct dispatch *d, struct mesh_ctx *c,
		      struct local_gate *g, bool sent);
uint64_t dispatch_next_ns(const struct dispatch *d);

#endif
