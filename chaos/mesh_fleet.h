/**
 * Real platform nodes on loopback, each with a stand-in upstream of this
 * process, and a proxy on each of their links.
 */
#ifndef JD_CHAOS_MESH_FLEET_H
#define JD_CHAOS_MESH_FLEET_H

#include <sys/types.h>

#include "chaos/mesh_checker.h"
#include "chaos/proxy.h"
#include "fakes/kv_server.h"
#include "fakes/leased_upstream.h"

#define MESH_NODES_MAX 128

enum mesh_link {
	LINK_STORE,    /* node to store */
	LINK_PEERS,    /* other nodes to this one */
	LINK_UPSTREAM, /* node to its upstream */
	LINK_COUNT,
};

struct mesh_node {
	char name[JD_NODE_NAME_MAX];
	char dc[JD_NAME_MAX];
	char region[JD_NAME_MAX];
	bool keyed;
	pid_t pid;     /* 0 while it does not run */
	bool paused;   /* SIGSTOP was sent */
	bool stopping; /* SIGTERM was sent */
	char front[JD_ADDR_MAX];
	char control[JD_ADDR_MAX];
	char ready[JD_ADDR_MAX];
	char upstream_addr[JD_ADDR_MAX];  /* it serves there */
	char upstream_named[JD_ADDR_MAX]; /* the proxy before it */
	char store_proxy[JD_ADDR_MAX];
	char settings[256];
	struct proxy *links[LINK_COUNT];
	struct leased_upstream *upstream; /* NULL while there is none */
	uint32_t lives;			  /* of the upstream, so far */
};

struct mesh_fleet_opts {
	struct event_base *base;
	const char *bin; /* folder of the programs */
	const char *dir; /* folder for settings and logs */
	uint32_t nodes;
	uint64_t seed;
	struct mesh_checker *mesh_checker;
};

struct mesh_fleet {
	struct mesh_fleet_opts opts;
	struct kv_server *store;
	char store_addr[JD_ADDR_MAX];
	struct mesh_node nodes[MESH_NODES_MAX];
	uint32_t config_version;
	struct event *check;
};

bool mesh_fleet_start(struct mesh_fleet *f, const struct mesh_fleet_opts *o);
/** Ends all that it started. */
void mesh_fleet_stop(struct mesh_fleet *f);

void mesh_node_start(struct mesh_fleet *f, uint32_t i);
void mesh_node_signal(struct mesh_fleet *f, uint32_t i, int sig);
/** Takes note of processes that have ended. */
void mesh_fleet_reap(struct mesh_fleet *f);

void mesh_upstream_start(struct mesh_fleet *f, uint32_t i);
void mesh_upstream_crash(struct mesh_fleet *f, uint32_t i);

/** Puts the next version of the configuration in force. */
void mesh_fleet_configure(struct mesh_fleet *f);

#endif
