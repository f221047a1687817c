/** State that the modules of a leased fleet's node share. */
#ifndef JD_CORE_MESH_CTX_H
#define JD_CORE_MESH_CTX_H

#include "core/directory.h"
#include "core/rng.h"

/** Options of a node; all times are durations. */
struct mesh_opts {
	char node[JD_NODE_NAME_MAX];
	char dc[JD_NAME_MAX];
	char region[JD_NAME_MAX];
	char peer_addr[JD_ADDR_MAX];
	char service[JD_NAME_MAX]; /* of the upstream on the same VM */
	/* In full, if it is abbreviated; else NULL. Outlives the node. */
	const char *long_service;
	uint64_t boot; /* identifies this process; random, not 0 */
	uint64_t seed;
	bool bootstrap;	      /* no node of the fleet has ever run before */
	uint64_t lease_ns;    /* of the lease on the node's card */
	uint64_t hold_max_ns; /* longest grant of keys */
	uint64_t announce_interval_ns; /* between upstream announcements */
	uint64_t stop_ns;	       /* longest planned stop */
	uint64_t drain_ns;  /* how long a leaving upstream still serves */
	double retry_ratio; /* retries allowed per request */
	uint64_t retry_window_ns;
	uint32_t retry_slack; /* retries per window, fleet-wide */
	/* How far the requests of one window may exceed a quota. */
	uint64_t quota_window_ns;
	double quota_overage; /* as a share of the quota */
	double quota_slack;   /* in requests */
	/* Switches on the decisions of core/load/ that docs/design/ names. */
	bool heavy_load;
};

/** The name in full of the service of the upstream on the same VM. */
static inline const char *mesh_service_name(const struct mesh_opts *o)
{
	return o->long_service ? o->long_service : o->service;
}

#define MESH_CALLS_NOTED 64

/** Of one of the latest store calls, to log how it ended. */
struct store_call_note {
	uint64_t op;
	enum store_call_kind kind;
	uint64_t sent_ns;
};

/*
 * How long a call is awaited that may only be slow. It is made again earlier
 * once a call that was sent later has been answered.
 */
#define STORE_LATE_NS (4 * NS_PER_S)

struct mesh_ctx {
	const struct mesh_opts *opts;
	struct directory dir;
	struct rng rng;
	uint64_t next_op;
	struct store_call_note notes[MESH_CALLS_NOTED]; /* by op */
	/*
	 * The last store call failed: until one is answered, only lease
	 * renewals and requests for a new lease are sent.
	 */
	bool store_down;
	uint64_t store_answered_ns; /* when it last answered a call; 0: never */
	uint64_t answered_sent_ns;  /* latest sending of an answered call */
	/*
	 * Latest time at which a newer manifest would have shown, in this
	 * node's own watch or read of the store; 0: never.
	 */
	uint64_t manifest_checked_ns;
	uint64_t manifest_sent_ns; /* when it was last sent whole to a node */
	/* Valid only while an event is handled: */
	uint64_t now_ns;
	struct mesh_actions *out;
};

/** A message with a body of this size is sent as a bulk one. */
#define MESH_BULK_BYTES 8192

/**
 * Sends @m to the process @to at @addr; takes ownership of @m. Messages to one
 * node arrive in their order, bulk ones and others each by themselves.
 */
struct act_send *mesh_send(struct mesh_ctx *c, uint64_t to, const char *addr,
			   struct message *m);

/**
 * Appends an action that sends @m to the nodes that mesh_add_target() adds;
 * takes ownership of @m.
 */
struct act_send_all *mesh_send_all(struct mesh_ctx *c, struct message *m);
void mesh_add_target(struct act_send_all *a, const struct dir_node *n);

/** Appends a store call with a new operation number and the usual deadline. */
struct act_store_call *mesh_store_call(struct mesh_ctx *c,
				       enum store_call_kind kind);

/** The note of call @op; NULL for one that was made too long ago. */
const struct store_call_note *mesh_call_note(const struct mesh_ctx *c,
					     uint64_t op);

/** Lower-case name of a kind of store call. */
const char *store_call_name(enum store_call_kind kind);

/** Makes a write depend on a record's revision; 0: no such record exists. */
void mesh_expect_revision(struct act_store_call *a, enum record_kind kind,
			  const char *name, revision_t revision);

#endif
