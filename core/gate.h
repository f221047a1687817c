/**
 * The gate of a node: every request to the node's own upstream passes it. It
 * sends one only under a valid lease and, on a keyed route, under the current
 * epoch of the shard.
 */
#ifndef JD_CORE_GATE_H
#define JD_CORE_GATE_H

#include "core/admission.h"
#include "core/ctx.h"
#include "core/hot_keys.h"
#include "core/lease.h"
#include "core/replay.h"

#define GATE_BUCKETS 1024

/** One attempt of a request, from its arrival at this gate to its end. */
struct gate_call {
	struct list link;    /* in gate.buckets */
	struct list by_call; /* in gate.calls while it is at the upstream */
	struct ticket ticket;
	struct request_id id;
	uint32_t attempt;
	incarnation_t from; /* boot of the entry node's process */
	incarnation_t self; /* this node's incarnation at its arrival */
	char reply_to[JD_ADDR_MAX];
	uint64_t call;	/* number of the upstream call; 0: not sent yet */
	bool cancelled; /* still at the upstream; its result is unused */
	uint64_t deadline_ns;
	char route[JD_NAME_MAX];
	uint32_t shard; /* index in the map; valid if epoch isn't 0 */
	epoch_t epoch;	/* of the shard; 0: the route isn't keyed */
	struct http_request *request; /* NULL once sent */
};

/** State of a shard that is known to this node only, as its owner. */
struct local_shard {
	uint32_t in_flight;
	epoch_t released; /* not served under this epoch or an older one */
};

/** The shards of one keyed route, one element per shard of its map. */
struct gate_route {
	struct list link;
	char name[JD_NAME_MAX];
	uint32_t count;
	struct local_shard *shards;
};

/** The result of an attempt, to be sent to its entry node. */
struct gate_result {
	struct list link;
	struct request_id id;
	uint32_t attempt;
	incarnation_t from;
	incarnation_t self;
	char reply_to[JD_ADDR_MAX];
	enum outcome outcome;
	enum refusal refusal;
	struct http_answer *answer; /* owned; NULL unless done */
};

struct gate {
	/* The upstream's last announcement; instance 0: none. */
	struct ev_announcement upstream;
	struct list buckets[GATE_BUCKETS]; /* of struct gate_call */
	struct list calls[GATE_BUCKETS]; /* of struct gate_call, by its call */
	struct admission admission;
	struct list routes;   /* of struct gate_route */
	struct list results;  /* of struct gate_result */
	struct replay replay; /* detects repeated forwards of other nodes */
	uint64_t next_call;
	struct hot_keys hot;
	uint64_t next_grant_ns;
	uint64_t grant_digest;	   /* of the grants sent last; 0: send all */
	uint64_t grant_version;	   /* of the grants sent last */
	revision_t grant_revision; /* of the view they were made from */
	uint64_t next_release_ns;
	uint64_t next_expiry_ns;
	uint64_t next_admit_ns; /* DEADLINE_NEVER while no attempt waits */
	uint64_t served;	/* attempts that ended */
	uint64_t doubled;	/* repeated attempts, dropped */
};

void gate_init(struct gate *g);
void gate_done(struct gate *g);

/** Handles an announcement of the node's own upstream. */
void gate_on_announcement(struct gate *g, struct ctx *c,
			  const struct ev_announcement *a);

/**
 * Starts, queues or refuses the attempt that @f describes, and takes ownership
 * of f->request. @from is the process that sent it. Its result is appended to
 * g->results later or before this returns; a repeated attempt gets none.
 */
void gate_submit(struct gate *g, struct ctx *c, const struct lease *lease,
		 struct msg_forward *f, incarnation_t from);

/**
 * An upstream call ended, or, if a->call is 0, the upstream did not accept the
 * grants. Takes ownership of a->answer and sets it to NULL if the call belongs
 * to an attempt.
 */
void gate_on_upstream_answer(struct gate *g, struct ctx *c,
			     struct ev_upstream_answer *a,
			     const struct lease *lease);
/** The entry node no longer waits for the attempt. */
void gate_on_cancel(struct gate *g, struct ctx *c, const struct msg_cancel *m);

/** Ends, as not run, all attempts not yet sent to the upstream. */
void gate_refuse_waiting(struct gate *g, struct ctx *c);

/**
 * Renews grants, releases moving shards, reports hot keys, ends attempts past
 * their deadline and starts waiting ones.
 */
void gate_work(struct gate *g, struct ctx *c, const struct lease *lease);
/** When gate_work() is due next. */
uint64_t gate_next_ns(const struct gate *g);

/** Removes and returns the first result; NULL when there is none. */
struct gate_result *gate_pop_result(struct gate *g);
void gate_result_delete(struct gate_result *r);

/** True while attempts run or wait. */
bool gate_busy(const struct gate *g);

#endif
