/** A caller's request at its entry, from its arrival until the reply. */
#ifndef JD_CORE_PENDING_H
#define JD_CORE_PENDING_H

#include "core/http.h"
#include "core/manifest.h"
#include "core/mesh_ctx.h"
#include "core/organisations/quota_share.h"
#include "core/refusal.h"
#include "core/types.h"

/* A request without a key fails when this many gates have not served it. */
#define DISPATCH_TRIED_MAX 8

enum pending_state {
	PENDING_QUOTA, /* waits for a share of its organisation's quota */
	PENDING_HELD,  /* waits for a gate that can take it */
	PENDING_SENT,  /* an attempt is at a gate */
};

/** One caller's request, until the reply. */
struct pending_request {
	struct list link;      /* in its bucket of dispatch.by_id */
	struct list by_caller; /* in its bucket of dispatch.by_caller */
	struct list held;      /* in dispatch.held while PENDING_HELD */
	struct request_id id;
	uint64_t caller; /* handle for the reply */
	enum pending_state state;
	struct quota_waiter quota;
	char *caller_id; /* the caller's own request id; or NULL */
	char route[JD_NAME_MAX];
	char service[JD_NAME_MAX];
	char organisation[JD_NAME_MAX]; /* empty: none */
	char *organisation_name;	/* in full */
	struct region_set regions;	/* that may serve it */
	uint32_t priority;		/* of a call: its run's */
	bool call;	       /* made by a run of this node's upstream */
	bool again;	       /* its caller comes back after a failure */
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

/** True if it travels apart from small messages to the same node. */
static inline bool pending_is_bulk(const struct pending_request *p)
{
	return p->request->payload.body_len >= MESH_BULK_BYTES;
}

#endif
