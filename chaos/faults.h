/** Random failures of a cluster, from a seed. */
#ifndef JD_CHAOS_FAULTS_H
#define JD_CHAOS_FAULTS_H

#include <event2/event.h>

#include "chaos/cluster.h"
#include "chaos/load.h"
#include "core/rng.h"

enum fault_kind {
	FAULT_KILL,	 /* a VM is lost, another comes in its place */
	FAULT_FREEZE,	 /* a node stands still for a while */
	FAULT_FREEZE_VM, /* so does its upstream */
	FAULT_KILL_DC,	 /* all VMs of a data centre at once */
	FAULT_TERM,	 /* a planned stop and a restart */
	FAULT_STORE_DOWN,
	FAULT_STORE_SLOW,
	FAULT_LOSE_ANSWERS, /* of writes, after their effect */
	FAULT_LAPSE,	    /* all leases in the store */
	FAULT_KIND_COUNT,
};

struct faults {
	struct event_base *base;
	struct cluster *cluster;
	struct load *load;
	struct rng rng;
	struct event *timer;
	bool quiet;			     /* mends only */
	uint64_t mend_ns[CLUSTER_NODES_MAX]; /* 0: nothing to mend */
	uint64_t counts[FAULT_KIND_COUNT];
};

void faults_init(struct faults *f, struct event_base *base, struct cluster *c,
		 struct load *l, uint64_t seed);
void faults_done(struct faults *f);

/** Mends all at once; no new failures from here on. */
void faults_end(struct faults *f);

const char *fault_name(enum fault_kind kind);

#endif
