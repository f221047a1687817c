/**
 * The node's session with the store: its lease, its card under that lease,
 * and the watch that keeps the directory complete.
 *
 * Authority over keys counts from the send of the last renewal that the
 * store confirmed: nobody may give the node's keys away while its card is
 * there, and the card outlasts that deadline.
 */
#ifndef JD_CORE_SESSION_H
#define JD_CORE_SESSION_H

#include "core/mesh_ctx.h"

/** One kind of call that is under way at most once. */
struct session_call {
	uint64_t op; /* 0: none */
	uint64_t sent_ns;
	uint64_t next_ns; /* not again before */
};

struct session {
	struct session_call read;
	struct session_call watch;
	struct session_call lease_new;
	struct session_call keep;
	struct session_call put;
	enum store_call_kind read_kind; /* of the read under way */
	bool want_read;			/* the directory may lack something */
	bool want_own;			/* the same of cards and keymaps only */
	bool want_changes; /* one watch, though others watch for this node */
	uint64_t lease;	   /* 0: none */
	uint64_t lease_retry_ns; /* span before the next try for one */
	uint64_t lease_ttl_ns;
	uint64_t lease_deadline_ns; /* counted from the renewal's send */
	bool registered;	    /* the card is there under the lease */
	revision_t card_revision;
	bool fresh;	       /* the directory was read after registering */
	bool fresh_read;       /* the read under way began after registering */
	struct node_card card; /* as it should be */
	bool card_dirty;
	uint64_t card_wait_ns; /* a card without an upstream waits until then */
	uint64_t answered_ns;  /* last time that the store answered a call */
	uint64_t settled_ns;   /* a fleet that starts with us has by then */
	uint64_t trouble_ns;   /* last time that the store failed a call */
	revision_t heard_revision; /* the highest that others know */
	uint64_t behind_ns;	   /* they know more since then; 0: no */
	revision_t manifest_due; /* a manifest of that revision is to be read */
	uint64_t calls[CALL_LEASE_END + 1];
	uint64_t failures;
};

void session_init(struct session *s, const struct mesh_opts *o);

/**
 * Learns from the end of any call whether the store serves this node. While
 * it does not, only renewals go out: refused calls are paid for, too.
 */
void session_note_call_end(struct session *s, struct mesh_ctx *c,
			   enum store_end end);

/** True when the call was the session's. */
bool session_on_end(struct session *s, struct mesh_ctx *c,
		    struct ev_store_end *e);

/** Another node renewed, or failed to renew, the lease for us. */
void session_on_renewed(struct session *s, struct mesh_ctx *c,
			const struct msg_renewed *m);

/** Others know the store up to @revision. */
void session_on_revision(struct session *s, struct mesh_ctx *c,
			 revision_t revision);

/** What another node's watch has brought; its records are taken. */
void session_on_changes(struct session *s, struct mesh_ctx *c,
			struct msg_changes *m);

/** True while this node's own watch shows all that changes. */
bool session_watches(const struct session *s, const struct mesh_ctx *c);

/** Takes the card's new upstream and state. */
void session_set_card(struct session *s, const struct node_card *card);

void session_work(struct session *s, struct mesh_ctx *c);
uint64_t session_next_ns(const struct session *s, const struct mesh_ctx *c);

/** Until when keys may be granted; 0: not at all. */
uint64_t session_authority_ns(const struct session *s);

#endif
