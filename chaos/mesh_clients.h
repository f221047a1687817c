/**
 * Callers on persistent connections to each node. They report their requests
 * and the answers to the checker.
 */
#ifndef JD_CHAOS_MESH_CLIENTS_H
#define JD_CHAOS_MESH_CLIENTS_H

#include "chaos/mesh_fleet.h"
#include "core/rng.h"

struct mesh_clients_opts {
	struct event_base *base;
	struct mesh_fleet *fleet;
	struct mesh_checker *checker;
	uint32_t per_node; /* callers for each node */
	uint32_t pause_ms; /* between an answer and the next request */
	uint64_t seed;
};

struct mesh_clients {
	struct mesh_clients_opts opts;
	struct rng rng;
	struct list clients; /* of struct mesh_client */
	uint64_t last_id;    /* of a request */
	bool paused;	     /* callers send nothing */
};

/** The fleet and the checker must outlive the callers. */
void mesh_clients_start(struct mesh_clients *c,
			const struct mesh_clients_opts *o);
void mesh_clients_stop(struct mesh_clients *c);

#endif
