/**
 * The keeper side of a node. A keeper is the node that another node's entry
 * in the roster names: it confirms that node's lease, sends it newer
 * documents, and revokes and removes the entry when the node is silent.
 */
#ifndef JD_CORE_KEEPER_H
#define JD_CORE_KEEPER_H

#include "core/ctx.h"

enum kept_state {
	KEPT_UNVERIFIED, /* entry not read from the store yet */
	KEPT_TAKEN_OVER, /* former keeper may still answer */
	KEPT_CONFIRMED,	 /* heartbeats are answered */
	KEPT_SILENT,	 /* not answered any more; to be revoked */
	KEPT_REVOKED,	 /* revoked in the store; its lease runs */
	KEPT_LAPSED,	 /* lease over; entry to be removed */
};

/** A node whose entry names this node as its keeper. */
struct kept_node {
	struct list link;
	incarnation_t inc;
	char dc[JD_NAME_MAX];
	char addr[JD_ADDR_MAX];
	uint64_t term;
	enum kept_state state;
	uint64_t last_heartbeat_ns;
	uint64_t lease_end_ns; /* of a revoked node */
	/* Newest document that the node has or was sent; 0: unknown. */
	revision_t revision;
	bool send_complete; /* no deltas: some were lost or did not apply */
	uint64_t documents_sent_ns;
};

/** A request of a node that this node become its keeper. */
struct adoption {
	struct list link;
	incarnation_t inc;
	uint64_t old_term; /* the request is void once the term has changed */
};

/** A data centre with kept nodes, and the pending work on its roster. */
struct keeper_dc {
	struct list link;
	char name[JD_NAME_MAX];
	bool dirty;	/* the roster may need a write */
	bool must_read; /* before the next write */
	bool call_pending;
	uint64_t next_try_ns;
	uint64_t next_read_ns;	/* earliest read for an unknown node */
	struct list kept_nodes; /* of struct kept_node */
	struct list adoptions;	/* of struct adoption */
};

struct keeper {
	struct list dcs;     /* of struct keeper_dc */
	uint64_t contact_ns; /* send time of the last renewed contact */
	uint64_t contact_count;
	revision_t contact_revision;
	uint64_t next_contact_ns;
	uint64_t next_scan_ns;
	uint64_t last_work_ns; /* when keeper_work() last ran */
	bool roster_written;   /* shards may have lost their owner */
};

void keeper_init(struct keeper *k);
void keeper_done(struct keeper *k);

/** Drops all kept nodes: their entries name a former incarnation. */
void keeper_reset(struct keeper *k);

/**
 * Renews the contact, revokes silent nodes, removes lapsed ones and sends kept
 * nodes newer documents.
 */
void keeper_work(struct keeper *k, struct ctx *c);
/** When keeper_work() is due next; DEADLINE_NEVER when nothing is kept. */
uint64_t keeper_next_ns(const struct keeper *k, const struct ctx *c);

void keeper_on_heartbeat(struct keeper *k, struct ctx *c,
			 const struct message *msg);
void keeper_on_adopt(struct keeper *k, struct ctx *c,
		     const struct message *msg);
void keeper_on_store(struct keeper *k, struct ctx *c, const struct call *call,
		     struct ev_store *ev);

/**
 * Updates the kept nodes from @r, which must come from the store and not from
 * another node. Ignored if @authority_period, in which the read was sent, is
 * over.
 */
void keeper_observe(struct keeper *k, struct ctx *c, const struct roster *r,
		    uint64_t authority_period);

/** True while there is any data centre with kept nodes or requests. */
bool keeper_active(const struct keeper *k);

/** True while leases may be confirmed: the contact was renewed recently. */
bool keeper_has_authority(const struct keeper *k, const struct ctx *c);

#endif
