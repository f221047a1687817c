/** The entry of callers' requests: route, key, owner, attempts, outcome. */
#ifndef JD_CORE_ROUTER_H
#define JD_CORE_ROUTER_H

#include "core/burn.h"
#include "core/ctx.h"
#include "core/gate.h"
#include "core/pools.h"
#include "core/retry_budget.h"

#define ROUTER_BUCKETS	   1024
/* Bounds on what one entry keeps; past them it refuses. */
#define ROUTER_PENDING_MAX 20000
#define ROUTER_BYTES_MAX   (UINT64_C(64) << 20)

enum entry_state {
	ENTRY_HELD,	 /* waits for an owner or for the next attempt */
	ENTRY_FORWARDED, /* an attempt runs at a gate */
};

/** One caller's request until its outcome. */
struct entry {
	struct list link;      /* in its bucket */
	struct list by_caller; /* in the bucket of its caller */
	struct list held;      /* in router.held while ENTRY_HELD */
	struct request_id id;
	uint64_t caller;
	enum entry_state state;
	uint32_t attempt;
	bool idempotent;
	bool may_have_run; /* an earlier attempt ended without a not_run */
	size_t bytes;	   /* counted in router.bytes */
	char route[JD_NAME_MAX];
	char key[JD_KEY_MAX];
	char organisation[JD_NAME_MAX];
	uint64_t received_ns;
	uint64_t deadline_ns;
	uint64_t retry_ns;    /* when held: not before */
	incarnation_t at;     /* gate of the running attempt */
	bool local;	      /* it is our own, whatever our incarnation */
	struct pool *pool;    /* of the running attempt; NULL: has owners */
	uint64_t started_ns;  /* that attempt */
	enum refusal refusal; /* of the last attempt */
	struct http_request *request;
};

struct router {
	struct list buckets[ROUTER_BUCKETS]; /* of struct entry */
	struct list callers[ROUTER_BUCKETS]; /* of struct entry, by caller */
	struct list held;		     /* of struct entry */
	uint64_t next_id;
	uint64_t next_sequence; /* of forwards to other nodes */
	uint32_t count;
	uint64_t bytes; /* of requests kept */
	bool leaving;	/* takes no new requests */
	uint64_t next_expiry_ns;
	revision_t lost_revision; /* of the view that gates were found in */
	revision_t held_revision; /* of the view that held ones were tried in */
	struct pools pools;
	struct retry_budget budget; /* of attempts that cost an upstream */
	uint64_t requests;
	uint64_t outcomes[OUTCOME_COUNT];
	uint64_t reasons[REFUSAL_COUNT]; /* of replies without an answer */
	uint64_t unmatched;		 /* answers to nothing we wait for */
	struct burn burn;		 /* good and bad requests by route */
};

void router_init(struct router *r);
void router_done(struct router *r);

void router_on_request(struct router *r, struct ctx *c, struct gate *g,
		       const struct lease *lease, struct ev_request *ev);
/** The end of an attempt at @from, 0 for our own gate; takes @a->answer. */
void router_on_answer(struct router *r, struct ctx *c, incarnation_t from,
		      struct msg_answer *a);
void router_on_caller_disconnected(struct router *r, struct ctx *c,
				   struct gate *g, uint64_t caller);
/** Tries held requests again, ends the late ones. */
void router_work(struct router *r, struct ctx *c, struct gate *g,
		 const struct lease *lease);
uint64_t router_next_ns(const struct router *r);

#endif
