/** One node: all its parts, driven by events, answering with actions. */
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
	DRAIN_HANDOVER, /* the planner moves our shards away */
	DRAIN_FINISH,	/* running requests end */
	DRAIN_LEAVE,	/* the own entry goes */
	DRAIN_GONE,
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
	incarnation_t keeper_self;    /* whose charges the keeper holds */
	revision_t manifest_revision; /* in force here; only rises */
	uint64_t refused_messages;    /* not for us, or of no use */
};

struct node *node_new(const struct node_opts *opts);
void node_delete(struct node *n);

/**
 * Handles one event; what it owns is taken. Appends what is to be done to
 * @out.
 */
void node_handle(struct node *n, struct event *ev, struct actions *out);

/** When the next EV_TICK is due, on the events' clock. */
uint64_t node_next_ns(const struct node *n);

#endif
