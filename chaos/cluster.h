/** Real processes on loopback: the store stand-in, nodes and upstreams. */
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
	pid_t node;	/* 0 while it does not run */
	pid_t upstream; /* 0 while it does not run */
	bool stopped;	/* SIGSTOP was sent */
	bool leaving;	/* SIGTERM was sent */
};

struct cluster_opts {
	const char *bin;      /* folder of the programs */
	const char *dir;      /* folder for settings, logs and records */
	const char *manifest; /* file to apply */
	const char *service;
	uint16_t port; /* the first, on a loopback address of the runner */
	uint32_t nodes;
	uint32_t dcs;	  /* data centres, all of one region */
	uint32_t work_ms; /* of the upstreams */
	bool checks_grants;
	uint32_t grace_ms; /* store_outage_grace_ms of the nodes */
};

struct cluster {
	struct cluster_opts opts;
	char store_addr[JD_ADDR_MAX];
	pid_t store;
	struct cluster_node nodes[CLUSTER_NODES_MAX];
};

/**
 * Starts the store, applies the manifest, starts all nodes. All end with the
 * process that started them, however it ends.
 */
bool cluster_start(struct cluster *c, const struct cluster_opts *o);

/** Puts @manifest in force; false when the store refuses it. */
bool cluster_apply(struct cluster *c, const char *manifest);

/** Ends all processes that it started. */
void cluster_stop(struct cluster *c);

void cluster_node_start(struct cluster *c, uint32_t i);
/** The node and its upstream end at once, as with their VM. */
void cluster_node_kill(struct cluster *c, uint32_t i);
/** Asks the daemon to end as planned. */
void cluster_node_term(struct cluster *c, uint32_t i);
/** False while a planned stop is on its way. */
bool cluster_node_stop_finished(struct cluster *c, uint32_t i);
/** Freezes the node, with its upstream if @vm, or lets it go on. */
void cluster_node_freeze(struct cluster *c, uint32_t i, bool vm);
void cluster_node_thaw(struct cluster *c, uint32_t i);

/** True when the node serves a number of shards and may serve. */
bool cluster_node_ready(const struct cluster *c, uint32_t i);

/** Sends @json to the store stand-in's faults. */
void cluster_store_fault(const struct cluster *c, const char *json);

#endif
