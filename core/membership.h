/** A node's place in its roster: join, heartbeats, change of keeper. */
#ifndef JD_CORE_MEMBERSHIP_H
#define JD_CORE_MEMBERSHIP_H

#include "core/ctx.h"
#include "core/lease.h"

enum membership_state {
	MEMBERSHIP_BOOT, /* reads the documents */
	MEMBERSHIP_JOIN, /* writes its entry */
	MEMBERSHIP_IN,
};

struct membership {
	enum membership_state state;
	struct lease lease;
	char service[JD_NAME_MAX]; /* of the upstream; empty: not announced */
	bool leaving;		   /* drains; wants its entry to say so */
	bool upstream_draining;	   /* by the upstream's own word */
	bool marked;		   /* our LEAVING is the upstream's draining */
	bool join_unknown;	   /* the last write may have taken effect */
	incarnation_t keeper;
	uint64_t term;
	uint64_t heard_ns; /* send time of the last answered heartbeat */
	uint64_t next_beat_ns;
	uint64_t next_read_ns; /* of the own entry, keeper silent */
	uint64_t next_try_ns;  /* of boot or join */
	uint64_t next_adopt_ns;
	uint64_t next_improve_ns; /* look for a better keeper */
	uint32_t conflicts;	  /* of the writes of the own entry, in a row */
	bool stale;		  /* the known roster is too old to write on */
	bool spread;		  /* the join was put off for a cold start */
};

void membership_init(struct membership *m);

/**
 * The upstream announced itself: the node may join. While the upstream
 * drains the entry says LEAVING, so that its keys move away.
 */
void membership_announce(struct membership *m, const char *service,
			 bool draining);

/** Does what is due; membership_next_ns() says when again. */
void membership_work(struct membership *m, struct ctx *c);
uint64_t membership_next_ns(const struct membership *m);

void membership_on_store(struct membership *m, struct ctx *c,
			 const struct call *call, struct ev_store *ev);
void membership_on_ack(struct membership *m, struct ctx *c,
		       const struct message *msg);

/** Follows what the documents say of the own entry. */
void membership_follow(struct membership *m, struct ctx *c);

/** True when the keeper has not answered for some heartbeats. */
bool membership_keeper_silent(const struct membership *m, const struct ctx *c);

/** True when requests may be passed to the upstream now. */
bool membership_may_serve(const struct membership *m, const struct ctx *c);

#endif
