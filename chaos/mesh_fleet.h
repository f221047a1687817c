/**
 * Platform nodes as real processes on loopback. This process runs a fake store,
 * a fake upstream for each node, and a proxy on each link of a node that can
 * inject network faults.
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
	LINK_PEERS,    /* from other nodes to the node */
	LINK_UPSTREAM, /* node to its upstream */
	LINK_COUNT,
};

struct mesh_node {
	char name[JD_NODE_NAME_MAX];
	char dc[JD_NAME_MAX];
	char region[JD_NAME_MAX];
	bool keyed;			  /* its service is keyed */
	pid_t pid;			  /* 0: not running */
	bool paused;			  /* SIGSTOP was sent */
	bool stopping;			  /* SIGTERM was sent */
	char front[JD_ADDR_MAX];	  /* for callers */
	char control[JD_ADDR_MAX];	  /* for announcements */
	char ready[JD_ADDR_MAX];	  /* for readiness checks */
	char upstream_addr[JD_ADDR_MAX];  /* bound by the upstream */
	char upstream_proxy[JD_ADDR_MAX]; /* announced by the upstream */
	char store_proxy[JD_ADDR_MAX];
	char settings[256]; /* path of the settings file */
	struct proxy *links[LINK_COUNT];
	struct leased_upstream *upstream; /* NULL: not running */
	uint32_t instances;		  /* upstreams started so far */
};

struct mesh_fleet_opts {
	struct event_base *base;
	const char *bin; /* folder of the programs */
	const char *dir; /* folder for settings and logs */
	uint32_t nodes;
	uint64_t seed;
	struct mesh_checker *checker;
};

struct mesh_fleet {
	struct mesh_fleet_opts opts;
	struct kv_server *store;
	char store_addr[JD_ADDR_MAX];
	struct mesh_node nodes[MESH_NODES_MAX];
	uint32_t config_version;
	struct event *holder_check;
};

/**
 * Starts the store, the proxies, the nodes and their upstreams. Returns false
 * when an address or a settings file fails; call mesh_fleet_stop() then too.
 */
bool mesh_fleet_start(struct mesh_fleet *f, const struct mesh_fleet_opts *o);
/** Kills and reaps the nodes; frees upstreams, proxies and the store. */
void mesh_fleet_stop(struct mesh_fleet *f);

/** Starts the daemon of node @i unless it is running. */
void mesh_node_start(struct mesh_fleet *f, uint32_t i);
void mesh_node_signal(struct mesh_fleet *f, uint32_t i, int sig);
/** Reaps daemons that have exited. */
void mesh_fleet_reap(struct mesh_fleet *f);
/**
 * Checks by the logs that no daemon returned to an older configuration, and
 * that none was ended by a sanitizer. Call it once.
 */
void mesh_fleet_check_logs(struct mesh_fleet *f);

/** Starts a new instance of the upstream unless one is running. */
void mesh_upstream_start(struct mesh_fleet *f, uint32_t i);
/** Ends the upstream without notice to its node. */
void mesh_upstream_crash(struct mesh_fleet *f, uint32_t i);

/** Writes the next version of the configuration to the store. */
void mesh_fleet_configure(struct mesh_fleet *f);

#endif
