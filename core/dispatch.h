/**
 * The entry of a leased fleet, the node that a caller's request arrives at. It
 * keeps the request from its arrival until the reply: it picks the service and
 * the gate, and decides on another attempt when one ends without an answer.
 */
#ifndef JD_CORE_DISPATCH_H
#define JD_CORE_DISPATCH_H

#include "core/burn.h"
#include "core/gatekeeper.h"
#include "core/histogram.h"
#include "core/window_budget.h"

#define DISPATCH_BUCKETS      1024
/* A request without a key fails when this many gates have not served it. */
#define DISPATCH_TRIED_MAX    8
/* Bounds on what one entry keeps; beyond them it refuses new requests. */
#define DISPATCH_REQUESTS_MAX 20000
#define DISPATCH_BYTES_MAX    (UINT64_C(64) << 20)

enum pending_state {
	PENDING_HELD, /* waits for a gate that can take it */
	PENDING_SENT, /* an attempt is at a gate */
};

/** One caller's request, until the reply. */
struct pending_request {
	struct list link;      /* in its bucket of dispatch.by_id */
	struct list by_caller; /* in its bucket of dispatch.by_caller */
	struct list held;      /* in dispatch.held while PENDING_HELD */
	struct request_id id;
	uint64_t caller; /* handle for the reply */
	enum pending_state state;
	char caller_id[JD_CALLER_ID_MAX]; /* the caller's own request id */
	char route[JD_NAME_MAX];
	char service[JD_NAME_MAX];
	struct region_set regions; /* that may serve it */
	uint32_t priority;
	uint32_t max_attempts; /* bound on upstream_attempts */
	bool idempotent;
	bool keyed;
	uint32_t shard; /* the key's number, when keyed */
	uint64_t received_ns;
	uint64_t objective_at_ns; /* a later answer misses the objective */
	uint64_t deadline_ns;
	uint64_t hold_until_ns; /* then it is refused rather than held */
	uint64_t retry_at_ns;	/* when held: next search for a gate */
	uint64_t sent_ns;	/* the current attempt */
	uint32_t attempt; /* number of the current one, from 1; 0: none yet */
	uint32_t upstream_attempts; /* that may have reached an upstream */
	bool may_have_run;	    /* in any attempt so far */
	uint64_t gate_boot;	    /* of the process that has the attempt */
	char gate_node[JD_NODE_NAME_MAX];		  /* name of its node */
	char tried[DISPATCH_TRIED_MAX][JD_NODE_NAME_MAX]; /* names of nodes */
	uint32_t tried_count;
	enum refusal refusal;	 /* of the last attempt */
	uint64_t retry_after_ns; /* longest that a gate has asked for */
	struct http_answer *failed_answer; /* of an attempt that was retried */
	size_t bytes;			   /* counted in dispatch.bytes */
	struct http_request *request;
};

/** Retry budget of one service. */
struct service_budget {
	struct list link;
	char service[JD_NAME_MAX];
	struct window_budget window;
	/* Other services call it: a retry of theirs repeats the calls. */
	bool called_by_services;
};

/** A route that only upstreams call, as a gate has reported. */
struct internal_route {
	struct list link;
	char route[JD_NAME_MAX];
};

/** Size of a route's answers; it is part of the cost of other regions. */
struct route_answer_size {
	struct list link;
	char route[JD_NAME_MAX];
	double mean_kb; /* moving average of the bodies */
};

struct dispatch {
	struct list by_id[DISPATCH_BUCKETS];	 /* of struct pending_request */
	struct list by_caller[DISPATCH_BUCKETS]; /* of struct pending_request */
	struct list held;			 /* of struct pending_request */
	uint64_t next_id;
	uint32_t count;		     /* pending requests */
	uint64_t bytes;		     /* of pending requests */
	uint64_t next_expiry_ns;     /* next check of pending requests */
	bool stopping;		     /* replies close the caller's connection */
	bool closed;		     /* new requests are refused */
	struct list budgets;	     /* of struct service_budget */
	struct list internal_routes; /* of struct internal_route */
	struct list answer_sizes;    /* of struct route_answer_size */
	uint64_t retries;	     /* retries that the budget allowed */
	uint64_t retries_denied;
	struct histogram latency;
	uint64_t requests; /* received */
	uint64_t outcomes[OUTCOME_COUNT];
	uint64_t reasons[REFUSAL_COUNT];
	struct burn burn;
};

void dispatch_init(struct dispatch *d);
void dispatch_done(struct dispatch *d);

/** The gate of this node's own upstream. */
struct local_gate {
	struct gatekeeper *gate;
	const struct holder *holder;
};

/**
 * Handles a new request; takes ownership of @r->request and sets it to NULL,
 * unless it refuses the request at once.
 */
void dispatch_on_request(struct dispatch *d, struct mesh_ctx *c,
			 struct local_gate *g, struct caller_request *r);

/** Cancels the requests of @caller, which gets no reply. */
void dispatch_on_caller_disconnected(struct dispatch *d, struct mesh_ctx *c,
				     struct local_gate *g, uint64_t caller);

/**
 * Handles the result of an attempt at the process @from; unknown ones are
 * ignored. Takes ownership of @a->answer if it uses it, and sets it to NULL.
 */
void dispatch_on_answer(struct dispatch *d, struct mesh_ctx *c,
			struct local_gate *g, uint64_t from,
			struct msg_answer *a);

/** Ends late requests, retries held ones and those at lost gates. */
void dispatch_work(struct dispatch *d, struct mesh_ctx *c,
		   struct local_gate *g);

/**
 * Ends the held requests, which have not run; with @include_sent also those at
 * a gate, whose attempts are cancelled and may have run.
 */
void dispatch_end_all(struct dispatch *d, struct mesh_ctx *c,
		      struct local_gate *g, bool include_sent);

/** When dispatch_work() is next due; UINT64_MAX: nothing is pending. */
uint64_t dispatch_next_ns(const struct dispatch *d);

#endif
