/**
 * The upstream on the node's VM: its lifetime, the keys granted to it and for
 * how long, and keys that move to another upstream.
 *
 * The upstream counts a grant's time from when it sent its announcement, on a
 * clock that may be slow. The time is chosen so that a grant always ends before
 * the node's authority over the keys does.
 */
#ifndef JD_CORE_HOLDER_H
#define JD_CORE_HOLDER_H

#include "core/session.h"

/* An upstream's clock may be slow by this part of a grant's time. */
#define HOLD_DRIFT_PPM 20000

/** Keys that the upstream released, with its proof for their next owner. */
struct released_row {
	struct list link;
	uint32_t from;
	uint32_t to;
	char handover[KEYMAP_HANDOVER_MAX];
};

/** An announcement of a leave that was not answered yet. */
struct pending_ack {
	bool due;
	bool leaves; /* as in struct upstream_announcement */
	uint64_t handle;
};

struct holder {
	bool known; /* an upstream has sent an announcement */
	struct holder_id id;
	char *long_instance; /* in full, if that of @id is abbreviated */
	char addr[JD_ADDR_MAX];
	uint32_t slots;		/* requests that it runs at once */
	uint64_t sequence;	/* of its last announcement */
	uint64_t heard_ns;	/* arrival of its last announcement */
	uint64_t cold_until_ns; /* it is warming up until then */
	bool draining;		/* it reported that it is leaving */
	/*
	 * Lifetimes of this instance that were born by then have left, also
	 * those of which this process has got no announcement yet.
	 */
	struct holder_id left;
	/* Its leave is acknowledged once the stored card shows it. */
	struct pending_ack pending_ack;
	bool gone;		   /* nothing listens at its address */
	uint64_t granted_until_ns; /* its grants have ended by then */
	uint64_t usable_until_ns;  /* its grants last at least until then */
	uint64_t earlier_grants_until_ns; /* grants of an earlier process of
					     the node have ended by then */
	struct list granted; /* of struct held_row, in the last answer */
	/*
	 * Of struct keyrow.by_owner: this node's rows in the directory's
	 * keymap of the revision @own_rows_at.
	 */
	struct list own_rows;
	revision_t own_rows_at;
	/* Rows with a target are released from then on; 0: there are none. */
	uint64_t release_at_ns;
	struct list held;     /* of struct held_row, in its announcement */
	struct list released; /* of struct released_row */
	struct list granted_previous; /* of struct held_row, answer before */
	/*
	 * Of struct held_row: those of @granted that had not ended when the
	 * store's era rose. No other node can have got them before.
	 */
	struct list carried;
	revision_t
		carried_checked; /* of the keymap that @carried agrees with */
	struct list moving;	 /* of struct held_row, in a write that may
				    still take effect: not granted any more */
	uint64_t write_op;	 /* the keymap's write in progress; 0: none */
	uint64_t next_write_ns;
	uint64_t next_probe_ns;
	uint64_t write_wait_until_ns; /* a write not seen by then is repeated */
	revision_t write_revision;    /* of the keymap that the write changed */
	bool write_uncertain; /* it may take effect until the keymap changes */
	/* The keymap that a write found outdated, until it is known. */
	revision_t outdated;
	uint64_t outdated_until_ns;
	uint64_t moved_keys;
};

void holder_init(struct holder *h, const struct mesh_opts *o, uint64_t now_ns);
void holder_done(struct holder *h);

/** Name in full of the upstream's lifetime. */
const char *holder_instance(const struct holder *h);

/** Handles one announcement and answers it; takes what it keeps of @ann. */
void holder_on_announcement(struct holder *h, struct mesh_ctx *c,
			    const struct session *s,
			    struct upstream_announcement *ann);

/** Notes that nothing listens at the upstream's address: it has ended. */
void holder_on_gone(struct holder *h, struct mesh_ctx *c);

/** Notes that the store's era has risen: see docs/OWNERSHIP.md. */
void holder_on_era(struct holder *h, const struct mesh_ctx *c);

/** True if the call was made by this module. */
bool holder_on_end(struct holder *h, struct mesh_ctx *c,
		   const struct ev_store_end *e);

/** Probes a silent upstream; moves keys that it no longer holds. */
void holder_work(struct holder *h, struct mesh_ctx *c, const struct session *s);

/** When holder_work() is next due. */
uint64_t holder_next_ns(const struct holder *h);

/** True if the upstream holds @key at @now_ns. */
bool holder_holds_key(const struct holder *h, uint32_t key, uint64_t now_ns);

/** The fence under which it holds @key; 0: it does not. */
uint64_t holder_key_fence(const struct holder *h, uint32_t key,
			  uint64_t now_ns);

/** True if new requests may be sent to the upstream. */
bool holder_accepts_requests(const struct holder *h, const struct mesh_ctx *c);

/** True while the upstream has to release all its keys. */
bool holder_leaving(const struct holder *h, const struct mesh_ctx *c);

#endif
