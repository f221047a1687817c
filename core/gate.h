/**
 * The gate of a node's own upstream: no order reaches it but through here,
 * under a valid lease and the shard's present epoch.
 */
#ifndef JD_CORE_GATE_H
#define JD_CORE_GATE_H

#include "core/admission.h"
#include "core/ctx.h"
#include "core/hot_keys.h"
#include "core/lease.h"
#include "core/replay.h"

#define GATE_BUCKETS 1024

/** One attempt of a request at this gate until its end. */
struct gate_call {
	struct list link;  /* in its bucket */
	struct list calls; /* in gate.calls while the upstream has it */
	struct ticket ticket;
	struct request_id id;
	uint32_t attempt;
	incarnation_t from;
	incarnation_t self; /* ours when it was taken */
	char reply_to[JD_ADDR_MAX];
	uint64_t call;	/* at the upstream; 0 before and after */
	bool cancelled; /* at the upstream; nobody waits for its end */
	uint64_t deadline_ns;
	char route[JD_NAME_MAX];
	uint32_t shard;		      /* index; counts only with epoch */
	epoch_t epoch;		      /* 0: the route has no owners */
	struct http_request *request; /* until it runs */
};

/** What the node itself knows of a shard it owns. */
struct local_shard {
	uint32_t in_flight;
	epoch_t released; /* never served again under this epoch */
};

struct gate_route {
	struct list link;
	char name[JD_NAME_MAX];
	uint32_t count;
	struct local_shard *shards;
};

/** The end of an attempt, for whoever asked. */
struct gate_result {
	struct list link;
	struct request_id id;
	uint32_t attempt;
	incarnation_t from;
	incarnation_t self;
	char reply_to[JD_ADDR_MAX];
	enum outcome outcome;
	enum refusal refusal;
	struct http_answer *answer; /* NULL unless done */
};

struct gate {
	struct ev_announce upstream;	   /* instance 0: not announced */
	struct list buckets[GATE_BUCKETS]; /* of struct gate_call */
	struct list calls[GATE_BUCKETS];   /* of struct gate_call, by call */
	struct admission admission;
	struct list routes;   /* of struct gate_route */
	struct list results;  /* of struct gate_result */
	struct replay replay; /* of forwards from others */
	uint64_t next_call;
	struct hot_keys hot;
	uint64_t next_grant_ns;
	uint64_t grant_digest;	   /* of the set sent last; 0: send it whole */
	uint64_t grant_version;	   /* of that set */
	revision_t grant_revision; /* of the view it was made from */
	uint64_t next_release_ns;
	uint64_t next_expiry_ns;
	uint64_t next_admit_ns; /* attempts wait in the queue */
	uint64_t served;	/* calls that ended */
	uint64_t doubled;	/* attempts seen before */
};

void gate_init(struct gate *g);
void gate_done(struct gate *g);

void gate_on_announcement(struct gate *g, struct ctx *c,
			  const struct ev_announce *a);

/**
 * Takes one attempt; its end is in g->results, maybe already on return.
 * Takes f->request.
 */
void gate_submit(struct gate *g, struct ctx *c, const struct lease *lease,
		 struct msg_forward *f, incarnation_t from);

void gate_on_upstream_answer(struct gate *g, struct ctx *c,
			     struct ev_upstream_answer *a,
			     const struct lease *lease);
void gate_on_cancel(struct gate *g, struct ctx *c, const struct msg_cancel *m);

/** Ends all attempts that have not started; none of them ran. */
void gate_refuse_waiting(struct gate *g, struct ctx *c);

/** Renews grants, releases moving shards, forgets old attempts. */
void gate_work(struct gate *g, struct ctx *c, const struct lease *lease);
uint64_t gate_next_ns(const struct gate *g);

/** The first result off the list; NULL when there is none. */
struct gate_result *gate_pop_result(struct gate *g);
void gate_result_delete(struct gate_result *r);

/** True while attempts run or wait. */
bool gate_busy(const struct gate *g);

#endif
