/** A keeper's role: it confirms leases, spreads documents, revokes. */
#ifndef JD_CORE_KEEPER_H
#define JD_CORE_KEEPER_H

#include "core/ctx.h"

enum charge_state {
	CHARGE_VERIFY, /* the store has not shown the entry yet */
	CHARGE_TAKEN,  /* its former keeper may still answer */
	CHARGE_OK,     /* its heartbeats are answered */
	CHARGE_REVOKE, /* silent: never answered again; to be written */
	CHARGE_WAIT,   /* revoked in the store; its lease runs out */
	CHARGE_LAPSED, /* lease out: the entry may go */
};

/** A node that named us as its keeper. */
struct charge {
	struct list link;
	incarnation_t inc;
	char dc[JD_NAME_MAX];
	char addr[JD_ADDR_MAX];
	uint64_t term;
	enum charge_state state;
	uint64_t heard_ns;
	uint64_t wait_until_ns;
	revision_t revision; /* what it is taken to know */
	bool missed;	     /* a delta did not fit: send whole documents */
	uint64_t pushed_ns;
};

/** A node that asks us to become its keeper. */
struct adoption {
	struct list link;
	incarnation_t inc;
	uint64_t old_term;
};

/** The roster of a data centre we have charges in. */
struct keeper_dc {
	struct list link;
	char name[JD_NAME_MAX];
	bool dirty;  /* something to write */
	bool verify; /* to be read before anything else */
	bool calling;
	uint64_t next_try_ns;
	uint64_t next_verify_ns;
	struct list charges;   /* of struct charge */
	struct list adoptions; /* of struct adoption */
};

struct keeper {
	struct list dcs;     /* of struct keeper_dc */
	uint64_t contact_ns; /* send time of the last renewed contact */
	uint64_t contact_count;
	revision_t contact_revision;
	uint64_t next_contact_ns;
	uint64_t next_scan_ns;
	uint64_t worked_ns; /* when it last looked for silence */
	bool released;	    /* entries were removed: orphaned shards to sweep */
};

void keeper_init(struct keeper *k);
void keeper_done(struct keeper *k);

/** Forgets all charges: the own membership is lost. */
void keeper_reset(struct keeper *k);

void keeper_work(struct keeper *k, struct ctx *c);
uint64_t keeper_next_ns(const struct keeper *k, const struct ctx *c);

void keeper_on_heartbeat(struct keeper *k, struct ctx *c,
			 const struct message *msg);
void keeper_on_adopt(struct keeper *k, struct ctx *c,
		     const struct message *msg);
void keeper_on_store(struct keeper *k, struct ctx *c, const struct call *call,
		     struct ev_store *ev);

/**
 * Learns from a roster that the store itself showed in answer to a call of
 * the present stretch of authority.
 */
void keeper_observe(struct keeper *k, struct ctx *c, const struct roster *r,
		    uint64_t stretch);

/** True while it has charges: then it watches the store. */
bool keeper_active(const struct keeper *k);

/** True while answers may be given: the store was reached lately. */
bool keeper_has_authority(const struct keeper *k, const struct ctx *c);

#endif
