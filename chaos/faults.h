/**
 * Injects random faults into a cluster, in an order given by a seed, and mends
 * each one after a random time.
 */
#ifndef JD_CHAOS_FAULTS_H
#define JD_CHAOS_FAULTS_H

#include <event2/event.h>

#include "chaos/cluster.h"
#include "chaos/load.h"
#include "core/rng.h"

enum fault_kind {
	FAULT_KILL,	    /* kill a node and its upstream, restart later */
	FAULT_FREEZE,	    /* SIGSTOP to a node, SIGCONT later */
	FAULT_FREEZE_VM,    /* FAULT_FREEZE of a node and its upstream */
	FAULT_KILL_DC,	    /* FAULT_KILL of all nodes of a data centre */
	FAULT_TERM,	    /* planned stop of a node, then a restart */
	FAULT_STORE_DOWN,   /* the store fails every call for a while */
	FAULT_STORE_SLOW,   /* the store delays its answers */
	FAULT_LOSE_ANSWERS, /* writes take effect, their answers are lost */
	FAULT_LAPSE,	    /* all leases in the store end at once */
	FAULT_KIND_COUNT,
};

struct faults {
	struct event_base *base;
	struct cluster *cluster;
	struct load *load;
	struct rng rng;
	struct event *timer;
	bool quiet;			     /* inject nothing, only mend */
	uint64_t mend_ns[CLUSTER_NODES_MAX]; /* when to mend; 0: healthy */
	uint64_t counts[FAULT_KIND_COUNT];   /* faults injected */
};

/** Starts the timer that injects faults; @c and @l must outlive @f. */
void faults_init(struct faults *f, struct event_base *base, struct cluster *c,
		 struct load *l, uint64_t seed);
void faults_done(struct faults *f);

/**
 * Injects no more faults and ends the present ones; a node in a planned stop is
 * started again once it has exited.
 */
void faults_end(struct faults *f);

/** The name printed in logs and reports; "?" for an invalid @kind. */
const char *fault_name(enum fault_kind kind);

#endif
