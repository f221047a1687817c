/** What each part of a node works with while it handles one event. */
#ifndef JD_CORE_CTX_H
#define JD_CORE_CTX_H

#include "core/action.h"
#include "core/event.h"
#include "core/rng.h"
#include "core/view.h"

#define DEADLINE_NEVER UINT64_MAX

/** Times of the ownership protocol; docs/OWNERSHIP.md argues them. */
struct timing {
	uint64_t heartbeat_ns; /* between two heartbeats */
	uint64_t lease_ns;     /* a confirmation holds that long */
	uint64_t detect_ns;    /* silence after which a node is revoked */
	uint64_t authority_ns; /* a keeper answers without the store */
	uint64_t contact_ns;   /* between two signs of a keeper's contact */
	uint64_t store_ns;     /* deadline of a store call */
	uint64_t watch_ns;     /* deadline of a waiting watch */
	uint64_t drift_ppm;    /* bound between two nodes' clocks */
};

extern const struct timing timing_default;

/** Time between two signs of contact, well within the authority it gives. */
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

/** The part of a node that a store call belongs to. */
enum call_owner {
	CALL_BOOT,    /* first read of all documents */
	CALL_JOIN,    /* own entry into the roster */
	CALL_CONFIRM, /* own entry read back while the keeper is silent */
	CALL_WATCH,
	CALL_CONTACT, /* the keeper's sign of contact */
	CALL_KEEPER,  /* a roster's read or write for its charges */
	CALL_SWEEP,   /* orphaned shards get owners */
	CALL_PLANNER, /* the role's lease, planned moves */
	CALL_TAKER,   /* keepers' contacts, entries taken over */
};

/** A store call that has not ended. */
struct call {
	struct list link;
	uint64_t op;
	enum call_owner owner;
	enum store_op kind;
	struct doc_key key;
	revision_t revision; /* the one asked with */
	uint64_t sent_ns;
	uint64_t stretch; /* the keeper's authority when it was sent */
	uint32_t step;	  /* the owner's own mark */
};

struct ctx {
	const struct node_opts *opts;
	incarnation_t self; /* this membership's incarnation */
	incarnation_t boot; /* the process's; identity of its requests */
	struct view view;
	struct rng rng;
	uint64_t stretch;
	uint64_t next_op;
	struct list calls; /* of struct call */
	/* For the event being handled only: */
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
	struct doc *doc; /* taken */
	uint32_t step;
};

void ctx_call(struct ctx *c, const struct call_opts *o);

/** Takes the pending call of @op out of the list; NULL when unknown. */
struct call *ctx_take_call(struct ctx *c, uint64_t op);

/** True while a call of that owner has not ended. */
bool ctx_calling(const struct ctx *c, enum call_owner owner);

/** Sends @m (taken) to the node at @addr, known as @to. */
void ctx_send(struct ctx *c, incarnation_t to, const char *addr,
	      struct message *m);

/** @t spread by up to a quarter either way. */
uint64_t ctx_jitter(struct ctx *c, uint64_t t_ns);

#endif
