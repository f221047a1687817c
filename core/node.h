/** One node: all its modules, driven by events, with actions as output. */
#ifndef JD_CORE_NODE_H
#define JD_CORE_NODE_H

#include "core/ctx.h"
#include "core/gate.h"
#include "core/keeper.h"
#include "core/membership.h"
#include "core/planner.h"
#include "core/router.h"
#include "core/sweep.h"
#include "core/takeover.h"

enum drain_state {
	DRAIN_NONE,
	DRAIN_HANDOVER, /* the planner moves the node's shards away */
	DRAIN_FINISH,	/* running requests end */
	DRAIN_LEAVE,	/* the own entry is removed */
	DRAIN_GONE,	/* the process may end */
};

struct node {
	struct node_opts opts;
	struct ctx ctx;
	struct membership membership;
	struct keeper keeper;
	struct sweep sweep;
	struct planner planner;
	struct takeover takeover;
	struct gate gate;
	struct router router;
	enum drain_state drain;
	uint64_t drain_deadline_ns;
	uint64_t next_watch_ns;
	/* The own incarnation that kept nodes' entries name as keeper. */
	incarnation_t kept_nodes_inc;
	revision_t manifest_revision; /* in force; never falls */
	uint64_t refused_messages;    /* for another node, or not used here */
};

struct node *node_new(const struct node_opts *opts);
void node_delete(struct node *n);

/** Handles @ev, takes ownership of its contents, appends actions to @out. */
void node_handle(struct node *n, struct event *ev, struct actions *out);

/** When the next EV_TICK is due, on the clock of the events' now_ns. */
uint64_t node_next_ns(const struct node *n);

#endif
