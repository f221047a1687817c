/**
 * Routes the requests that callers send to this entry node: finds route, key
 * and owner, makes attempts at gates and replies with the outcome.
 */
#ifndef JD_CORE_ROUTER_H
#define JD_CORE_ROUTER_H

#include "core/burn.h"
#include "core/ctx.h"
#include "core/gate.h"
#include "core/pools.h"
#include "core/retry_budget.h"

#define ROUTER_BUCKETS	   1024
/* Bounds on the requests that an entry node keeps; it refuses more. */
#define ROUTER_PENDING_MAX 20000
#define ROUTER_BYTES_MAX   (UINT64_C(64) << 20)

enum pending_state {
	PENDING_HELD,	   /* waits for an owner or for the next attempt */
	PENDING_FORWARDED, /* an attempt runs at a gate */
};

/** A caller's request that has no outcome yet. */
struct pending_request {
	struct list link;      /* in router.buckets */
	struct list by_caller; /* in router.callers */
	struct list held;      /* in router.held while PENDING_HELD */
	struct request_id id;
	uint64_t caller;
	enum pending_state state;
	uint32_t attempt;
	bool idempotent;
	bool may_have_run; /* an attempt did not end as not_run */
	size_t bytes;	   /* counted in router.bytes */
	char route[JD_NAME_MAX];
	char key[JD_KEY_MAX];
	char organisation[JD_NAME_MAX];
	uint64_t received_ns;
	uint64_t deadline_ns;
	uint64_t retry_at_ns; /* when held: earliest time of the next attempt */
	incarnation_t gate;   /* of the last attempt */
	bool local; /* at this node's own gate; stays true after a rejoin */
	struct pool *pool; /* of the last attempt; NULL: the route is keyed */
	uint64_t attempt_started_ns; /* of the last attempt */
	enum refusal last_refusal; /* of the last attempt, or why it is held */
	struct http_request *request; /* a reference of its own */
};

struct router {
	struct list buckets[ROUTER_BUCKETS]; /* of struct pending_request */
	struct list callers[ROUTER_BUCKETS]; /* the same, by caller */
	struct list held; /* the same, in the order of their retry_at_ns */
	uint64_t next_id;
	uint64_t next_sequence; /* of forwards to other nodes */
	uint32_t count;		/* of pending requests */
	uint64_t bytes;		/* of pending requests */
	bool leaving;		/* refuses new requests */
	uint64_t next_expiry_ns;
	/* Revision of the view that was last searched for lost gates. */
	revision_t lost_gates_revision;
	/* Revision of the view when all held requests were last due. */
	revision_t held_revision;
	struct pools pools;
	struct retry_budget budget; /* of retries that load an upstream */
	uint64_t requests;
	uint64_t outcomes[OUTCOME_COUNT];
	uint64_t reasons[REFUSAL_COUNT]; /* of replies without an answer */
	uint64_t unmatched; /* answers that fit no running attempt */
	struct burn burn;   /* good and bad requests by route */
};

void router_init(struct router *r);
void router_done(struct router *r);

/**
 * Checks a caller's request, then makes the first attempt, holds the request
 * or replies with the refusal. Takes ownership of ev->request.
 */
void router_on_request(struct router *r, struct ctx *c, struct gate *g,
		       const struct lease *lease, struct ev_request *ev);
/**
 * The attempt at the gate of @from, 0 for this node's own, ended. Takes
 * ownership of a->answer.
 */
void router_on_answer(struct router *r, struct ctx *c, incarnation_t from,
		      struct msg_answer *a);
/** Cancels the attempts of @caller and deletes its requests. */
void router_on_caller_disconnected(struct router *r, struct ctx *c,
				   struct gate *g, uint64_t caller);
/** Starts due attempts of held requests; ends requests past their deadline. */
void router_work(struct router *r, struct ctx *c, struct gate *g,
		 const struct lease *lease);
/** When router_work() is due next; DEADLINE_NEVER without requests. */
uint64_t router_next_ns(const struct router *r);

#endif
