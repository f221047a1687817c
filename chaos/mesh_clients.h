/** Callers on kept connections to each node, who record what they see. */
#ifndef JD_CHAOS_MESH_CLIENTS_H
#define JD_CHAOS_MESH_CLIENTS_H

#include "chaos/mesh_fleet.h"
#include "core/rng.h"

struct mesh_clients_opts {
	struct event_base *base;
	struct mesh_fleet *fleet;
	struct mesh_checker *mesh_checker;
	uint32_t each;	   /* callers a node */
	uint32_t pause_ms; /* of a caller, between two requests */
	uint64_t seed;
};

struct mesh_clients {
	struct mesh_clients_opts opts;
	struct rng rng;
	struct list list; /* of struct mesh_client */
	uint64_t next_id;
	bool paused;
};

void mesh_clients_start(struct mesh_clients *c,
			const struct mesh_clients_opts *o);
void mesh_clients_stop(struct mesh_clients *c);

#endif
