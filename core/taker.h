/**
 * Takes entries over whose keeper can't look after them; run by the holder
 * of the planner's role.
 */
#ifndef JD_CORE_TAKER_H
#define JD_CORE_TAKER_H

#include "core/ctx.h"

/** A keeper's sign of contact as the store last showed it. */
struct keeper_contact {
	struct list link;
	incarnation_t inc;
	revision_t revision; /* 0: absent */
	uint64_t since_ns;   /* when it was first seen so */
	bool named;	     /* by an entry, as of the last list */
};

struct taker {
	bool holder;
	uint64_t next_list_ns;
	uint64_t next_scan_ns;
	struct list contacts; /* of struct keeper_contact */
};

void taker_init(struct taker *t);
void taker_done(struct taker *t);

/** @holder: this node holds the planner's role. */
void taker_work(struct taker *t, struct ctx *c, bool holder);
uint64_t taker_next_ns(const struct taker *t);
void taker_on_store(struct taker *t, struct ctx *c, const struct call *call,
		    struct ev_store *ev);

#endif
