/**
 * The upstream beside the node: its lifetime, the keys it was granted and
 * for how long, and keys on their way to another upstream.
 *
 * A lease counts from when the upstream sent its announcement, on a clock
 * that may run slow; so it ends before the node's authority does.
 */
#ifndef JD_CORE_HOLDER_H
#define JD_CORE_HOLDER_H

#include "core/session.h"

/* Slowest clock of an upstream, in parts a million of its lease. */
#define HOLD_DRIFT_PPM 20000

/** Keys that the upstream gave up, with its proof for their next owner. */
struct released_row {
	struct list link;
	uint32_t from;
	uint32_t to;
	char handover[KEYMAP_HANDOVER_MAX];
};

struct holder {
	bool known; /* an upstream has announced itself */
	struct holder_id id;
	char addr[JD_ADDR_MAX];
	uint32_t slots;
	uint64_t sequence;	   /* of its last announcement */
	uint64_t heard_ns;	   /* that one came */
	uint64_t cold_until_ns;	   /* by its own word */
	bool draining;		   /* it said that it leaves */
	bool gone;		   /* nothing listens at its address */
	uint64_t granted_until_ns; /* by then it holds nothing */
	uint64_t usable_until_ns;  /* its grants last at least so long */
	uint64_t
		unknown_until_ns; /* an earlier process may have granted keys */
	struct list granted;	  /* of struct held_row, as last answered */
	struct list held;	  /* of struct held_row, as it last said */
	struct list released;	  /* of struct released_row */
	struct list granted_before; /* of struct held_row, the answer before */
	struct list moving; /* of struct held_row, in writes that may take
			       effect: granted to nobody here */
	uint64_t write_op;  /* a keymap's write is under way; 0: none */
	uint64_t next_write_ns;
	uint64_t next_probe_ns;
	uint64_t write_wait_ns;	   /* the watch is to show a write until then */
	revision_t write_revision; /* of the keymap it was made from */
	bool write_unsure; /* one may take effect until the keymap changes */
	uint64_t moved_keys;
};

void holder_init(struct holder *h, const struct mesh_opts *o, uint64_t now_ns);
void holder_done(struct holder *h);

/** Handles one announcement and answers it. */
void holder_on_heartbeat(struct holder *h, struct mesh_ctx *c,
			 const struct session *s, struct upstream_heartbeat *b);

/** Nothing listens at the upstream's address: it has ended. */
void holder_on_gone(struct holder *h, struct mesh_ctx *c);

/** True when the call was the holder's. */
bool holder_on_end(struct holder *h, struct mesh_ctx *c,
		   const struct ev_store_end *e);

/** Moves keys that the upstream no longer holds to others. */
void holder_work(struct holder *h, struct mesh_ctx *c);
uint64_t holder_next_ns(const struct holder *h);

/** True when the upstream holds @key now. */
bool holder_holds_key(const struct holder *h, uint32_t key, uint64_t now_ns);

/** True when new requests may be sent to it. */
bool holder_accepts_requests(const struct holder *h, const struct mesh_ctx *c);

/** True while it is to give its keys away. */
bool holder_leaving(const struct holder *h, const struct mesh_ctx *c);

#endif
