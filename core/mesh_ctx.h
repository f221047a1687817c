/** What each part of a leased fleet's node works with. */
#ifndef JD_CORE_MESH_CTX_H
#define JD_CORE_MESH_CTX_H

#include "core/directory.h"
#include "core/rng.h"

/** Options of a node; all times are spans of the fleet's contract. */
struct mesh_opts {
	char node[JD_NODE_NAME_MAX];
	char dc[JD_NAME_MAX];
	char region[JD_NAME_MAX];
	char peer_addr[JD_ADDR_MAX];
	char service[JD_NAME_MAX]; /* of the upstream beside the node */
	uint64_t boot;		   /* random, not 0 */
	uint64_t seed;
	uint64_t lease_ns;    /* of the node's card in the store */
	uint64_t hold_max_ns; /* longest grant of keys */
	uint64_t announce_ns; /* between two announcements of the upstream */
	uint64_t stop_ns;     /* a planned stop ends within */
	uint64_t drain_ns;    /* a leaving upstream serves that long */
	double retry_ratio;   /* extra attempts allowed a request */
	uint64_t retry_window_ns;
	uint32_t retry_slack; /* extra attempts a window, of the whole fleet */
};

struct mesh_ctx {
	const struct mesh_opts *opts;
	struct directory dir;
	struct rng rng;
	uint64_t next_op;
	/* The last call to the store failed: until one is answered again, only
	 * the session's renewals go out. */
	bool store_down;
	/* For the event being handled only: */
	uint64_t now_ns;
	struct mesh_actions *out;
};

/** Sends @m, taken, to the process @to at @addr. */
void mesh_send(struct mesh_ctx *c, uint64_t to, const char *addr,
	       struct message *m);

/** Appends a store call with a fresh number and the usual deadline. */
struct act_store_call *mesh_store_call(struct mesh_ctx *c,
				       enum store_call_kind kind);

/** Adds an expected revision to a write. */
void mesh_expect_revision(struct act_store_call *a, enum record_kind kind,
			  const char *name, revision_t revision);

#endif
