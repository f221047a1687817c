/** State that the modules of one node share, and the event being handled. */
#ifndef JD_CORE_CTX_H
#define JD_CORE_CTX_H

#include "core/action.h"
#include "core/event.h"
#include "core/rng.h"
#include "core/view.h"

#define DEADLINE_NEVER UINT64_MAX

/** Times of the ownership protocol; docs/OWNERSHIP.md gives the reasons. */
struct timing {
	uint64_t heartbeat_ns; /* between two heartbeats */
	uint64_t lease_ns;  /* counted from the confirmed heartbeat's sending */
	uint64_t detect_ns; /* silence after which a node is revoked */
	/* How long a keeper confirms leases after its last renewed contact. */
	uint64_t authority_ns;
	uint64_t contact_ns; /* longest time between two contact renewals */
	uint64_t store_timeout_ns;
	uint64_t watch_timeout_ns; /* of a watch that waits for a change */
	uint64_t drift_ppm;	   /* bound between two nodes' clocks */
};

extern const struct timing timing_default;

/** Time between two contact renewals, well below authority_ns. */
uint64_t timing_contact_ns(const struct timing *t);

struct node_opts {
	char name[JD_NAME_MAX];
	char dc[JD_NAME_MAX];
	char region[JD_NAME_MAX];
	char peer_addr[JD_ADDR_MAX]; /* for other nodes */
	char http_addr[JD_ADDR_MAX]; /* for callers */
	struct timing timing;
	uint64_t seed;
};

/** The module that made a store call and handles its result. */
enum call_owner {
	CALL_BOOT,    /* first read of all documents */
	CALL_JOIN,    /* reads and writes of the own entry */
	CALL_CONFIRM, /* own entry read while the keeper is silent */
	CALL_WATCH,
	CALL_CONTACT,  /* renewal of the keeper's contact */
	CALL_KEEPER,   /* roster reads and writes for the kept nodes */
	CALL_SWEEP,    /* new owners for orphaned shards */
	CALL_PLANNER,  /* the planner's lease, planned moves */
	CALL_TAKEOVER, /* list of contacts, entries taken over */
};

/** A pending store call. */
struct call {
	struct list link;
	uint64_t op; /* number of the call; its result bears it */
	enum call_owner owner;
	enum store_op kind;
	struct doc_key key;
	revision_t revision; /* sent with the call */
	uint64_t sent_ns;
	uint64_t authority_period; /* current when the call was sent */
	uint32_t step;		   /* set by the owner to tell calls apart */
};

struct ctx {
	const struct node_opts *opts;
	incarnation_t self; /* of the own entry; new at each rejoin */
	incarnation_t boot; /* of the process; identifies its requests */
	struct view view;
	struct rng rng;
	/*
	 * Rises when the node's authority as a keeper lapses and when it is
	 * gained again: a roster read sent under a lower value is out of date.
	 */
	uint64_t authority_period;
	uint64_t next_op;
	struct list calls; /* of struct call */
	/* Set only while an event is handled: */
	uint64_t now_ns;
	struct actions *out;
};

void ctx_init(struct ctx *c, const struct node_opts *opts);
void ctx_done(struct ctx *c);

/** Options of a store call; zero fields take the defaults. */
struct call_opts {
	enum call_owner owner;
	enum store_op kind;
	enum doc_kind doc_kind;
	const char *name;
	revision_t revision;
	uint64_t ttl_ms;
	struct doc *doc; /* ownership passes to the action */
	uint32_t step;
};

/** Appends ACT_STORE and records the call as pending. */
void ctx_call(struct ctx *c, const struct call_opts *o);

/**
 * Removes the pending call of @op from the list; NULL when unknown. The
 * caller frees it.
 */
struct call *ctx_remove_call(struct ctx *c, uint64_t op);

/** True while a call of @owner is pending. */
bool ctx_call_pending(const struct ctx *c, enum call_owner owner);

/** Sends @m to the incarnation @to at @addr; takes ownership of @m. */
void ctx_send(struct ctx *c, incarnation_t to, const char *addr,
	      struct message *m);

/** A random time between 3/4 and 5/4 of @t_ns. */
uint64_t ctx_jitter(struct ctx *c, uint64_t t_ns);

#endif
