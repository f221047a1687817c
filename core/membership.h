/**
 * The node's own entry in the roster of its data centre: joining, heartbeats
 * to its keeper, change of keeper, leaving.
 */
#ifndef JD_CORE_MEMBERSHIP_H
#define JD_CORE_MEMBERSHIP_H

#include "core/ctx.h"
#include "core/lease.h"

enum membership_state {
	MEMBERSHIP_BOOT, /* reads all documents */
	MEMBERSHIP_JOIN, /* writes its entry */
	MEMBERSHIP_IN,	 /* its entry is in the roster */
};

struct membership {
	enum membership_state state;
	struct lease lease;
	char service[JD_NAME_MAX]; /* of the upstream; empty: not announced */
	bool leaving;		   /* the node drains: entry to be LEAVING */
	bool upstream_draining;	   /* as announced */
	bool leaving_for_upstream; /* only the upstream drains */
	bool join_unknown;	   /* the last write may have taken effect */
	incarnation_t keeper;
	uint64_t term;	   /* of the keeper */
	uint64_t heard_ns; /* send time of the last answered heartbeat */
	uint64_t next_heartbeat_ns;
	uint64_t next_read_ns; /* of the own entry, from the store */
	uint64_t next_try_ns;  /* of the boot read or an own write */
	uint64_t next_adopt_ns;
	uint64_t next_improve_ns; /* search for a better keeper */
	uint32_t conflicts;	  /* of own writes, since the start or rejoin */
	bool roster_stale;	  /* to be read before the next write */
	bool start_delayed;	  /* a cold start's delay was applied */
};

void membership_init(struct membership *m);

/**
 * Handles an announcement of the upstream; the node joins after the first.
 * While the upstream drains, the entry is LEAVING so that its keys move away.
 */
void membership_on_announcement(struct membership *m, const char *service,
				bool draining);

/** Does what is due; membership_next_ns() gives the next deadline. */
void membership_work(struct membership *m, struct ctx *c);
uint64_t membership_next_ns(const struct membership *m);

void membership_on_store(struct membership *m, struct ctx *c,
			 const struct call *call, struct ev_store *ev);
/** Handles a keeper's answer to a heartbeat: extends the lease. */
void membership_on_ack(struct membership *m, struct ctx *c,
		       const struct message *msg);

/** Adopts state, term and keeper from the own entry in the view. */
void membership_follow(struct membership *m, struct ctx *c);

/** True without a keeper or after two heartbeats that it did not answer. */
bool membership_keeper_silent(const struct membership *m, const struct ctx *c);

/** True when requests may be passed to the upstream now. */
bool membership_may_serve(const struct membership *m, const struct ctx *c);

#endif
