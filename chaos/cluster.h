/**
 * A fleet of real processes on loopback: a fake store, nodes and a fake
 * upstream for each node.
 */
#ifndef JD_CHAOS_CLUSTER_H
#define JD_CHAOS_CLUSTER_H

#include <stdbool.h>
#include <sys/types.h>

#include "core/types.h"

#define CLUSTER_NODES_MAX 32
#define CLUSTER_PATH_MAX  256

struct cluster_node {
	char name[JD_NAME_MAX];
	char dc[JD_NAME_MAX];
	char http_addr[JD_ADDR_MAX];
	char peer_addr[JD_ADDR_MAX];
	char upstream_addr[JD_ADDR_MAX];
	pid_t node;	/* 0: not running */
	pid_t upstream; /* 0: not running */
	bool frozen;	/* by SIGSTOP */
	bool stopping;	/* SIGTERM was sent, the exit was not yet seen */
};

struct cluster_opts {
	const char *bin;      /* folder of the programs */
	const char *dir;      /* settings, logs and the upstreams' record */
	const char *manifest; /* path of the manifest to apply */
	const char *service;
	uint16_t port; /* first port, on a loopback address of this process */
	uint32_t nodes;
	uint32_t dcs;	    /* number of data centres, all in one region */
	uint32_t work_ms;   /* time an upstream takes for a request */
	bool checks_grants; /* upstreams refuse stale fences */
	uint32_t grace_ms;  /* store_outage_grace_ms of the nodes */
};

struct cluster {
	struct cluster_opts opts;
	char store_addr[JD_ADDR_MAX];
	pid_t store;
	struct cluster_node nodes[CLUSTER_NODES_MAX];
};

/**
 * Starts the store, applies the manifest and starts all nodes with their
 * upstreams. The kernel kills them all when the calling process ends, also by
 * SIGKILL. The strings of @o must outlive @c. Returns false when the manifest
 * can't be applied; call cluster_stop() then too.
 */
bool cluster_start(struct cluster *c, const struct cluster_opts *o);

/** Applies the file @manifest; false when every attempt in 5 s failed. */
bool cluster_apply(struct cluster *c, const char *manifest);

/** Kills and reaps all processes of the cluster. */
void cluster_stop(struct cluster *c);

/** Starts the node and its upstream, where they are not running. */
void cluster_node_start(struct cluster *c, uint32_t i);
/** Kills the node and its upstream, as when their VM is lost. */
void cluster_node_kill(struct cluster *c, uint32_t i);
/** Begins a planned stop of the node with SIGTERM. */
void cluster_node_term(struct cluster *c, uint32_t i);
/**
 * False while a planned stop is in progress. Once the daemon has exited, reaps
 * it and kills its upstream.
 */
bool cluster_node_stop_finished(struct cluster *c, uint32_t i);
/** Suspends the node by SIGSTOP; with @vm its upstream too. */
void cluster_node_freeze(struct cluster *c, uint32_t i, bool vm);
/** Resumes the node and its upstream. */
void cluster_node_thaw(struct cluster *c, uint32_t i);

/** True when the node's status page says that it may serve and has shards. */
bool cluster_node_ready(const struct cluster *c, uint32_t i);

/**
 * Sends @json to /admin/fault of the fake store. Faults that @json leaves out
 * end.
 */
void cluster_store_fault(const struct cluster *c, const char *json);

#endif
