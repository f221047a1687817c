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
#include "core/load/arrival.h"
#include "core/load/retries.h"
#include "core/organisations/quotas.h"
#include "core/pending.h"

#define DISPATCH_BUCKETS      1024
/* Bounds on what one entry keeps; beyond them it refuses new requests. */
#define DISPATCH_REQUESTS_MAX 20000
#define DISPATCH_BYTES_MAX    (UINT64_C(64) << 20)

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
	uint32_t count;		 /* pending requests */
	uint64_t bytes;		 /* of pending requests */
	uint64_t next_expiry_ns; /* next check of pending requests */
	bool stopping;		 /* replies close the caller's connection */
	bool closed;		 /* new requests are refused */
	struct retries retries;
	struct quotas quotas;
	struct list internal_routes; /* of struct internal_route */
	struct list answer_sizes;    /* of struct route_answer_size */
	struct histogram latency;
	uint64_t requests; /* received */
	uint64_t outcomes[OUTCOME_COUNT];
	uint64_t reasons[REFUSAL_COUNT];
	struct burn burn;
	struct arrivals arrivals;
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
