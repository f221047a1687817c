/**
 * The node's session with the store: its lease, its card under that lease,
 * and the watch that keeps the directory complete.
 *
 * The node may grant keys until one lease time after it sent the last renewal
 * that the store confirmed. No other node may move this node's keys while its
 * card exists, and the card outlasts that deadline, because the store counts
 * the lease time from when it got the renewal.
 */
#ifndef JD_CORE_SESSION_H
#define JD_CORE_SESSION_H

#include "core/mesh_ctx.h"

/** A kind of call of which at most one is in progress. */
struct session_call {
	uint64_t op; /* 0: none */
	uint64_t sent_ns;
	uint64_t next_ns;    /* earliest time of the next one */
	uint64_t overdue_ns; /* when the answer is later than usual */
	uint64_t lost_ns; /* when it is taken as lost; 0: nothing shows that */
};

/** A call that was made again although its answer may still come. */
struct late_call {
	uint64_t op; /* 0: none */
	uint64_t sent_ns;
	enum store_call_kind kind;
	uint64_t lease;		  /* renewal: of this lease */
	bool read_after_register; /* read: as in struct session */
};

#define SESSION_LATE_MAX 8

struct session {
	struct session_call read;
	struct session_call watch;
	struct session_call lease_new;
	struct session_call keep;
	struct session_call put;
	struct late_call late[SESSION_LATE_MAX]; /* newest ones, as a ring */
	uint32_t next_late;
	enum store_call_kind read_kind; /* of the read in progress */
	bool want_read_all;		/* the directory may be incomplete */
	bool want_read_own; /* cards or keymaps may be out of date */
	bool want_changes;  /* poll once, though other nodes watch for it */
	bool watch_polls;   /* the watch in progress doesn't wait */
	uint32_t unanswered_watches; /* since the last one that was answered */
	uint64_t lease;		     /* 0: none */
	uint64_t lease_era;	     /* of the store when it gave the lease */
	uint64_t lease_retry_delay_ns; /* before the next request for one */
	uint64_t lease_ttl_ns;
	uint64_t lease_deadline_ns; /* counts from when the renewal was sent */
	bool registered; /* the store has the card under this lease */
	bool ended;	 /* by session_end() */
	revision_t card_revision;
	bool fresh;		  /* the directory was read after registering */
	bool read_after_register; /* @read began after registering */
	struct node_card card;	  /* as it has to be in the store */
	bool card_dirty;	  /* it has changed since it was last sent */
	uint64_t first_card_ns;	  /* a card without upstream waits until then */
	uint64_t cards_settled_ns; /* until then the fleet's size is unknown */
	uint64_t last_failure_ns;  /* when the store last failed a call */
	uint64_t late_logged_ns;   /* last event=config_late */
	/* Until then a delta, or another node's manifest, is awaited. */
	uint64_t manifest_wait_until_ns;
	uint32_t manifest_asks; /* of nodes, since the last one came */
	/* Since when other nodes know a newer revision; 0: none does. */
	uint64_t behind_since_ns;
	uint64_t calls[CALL_LEASE_END + 1]; /* by enum store_call_kind */
	uint64_t failures;		    /* of calls of any module */
};

void session_init(struct session *s, const struct mesh_opts *o);

/**
 * Notes from the end of any call whether the store serves this node. While it
 * does not, only lease renewals and requests for a lease are sent, because
 * refused calls are billed, too.
 */
void session_note_call_end(struct session *s, struct mesh_ctx *c,
			   enum store_end end);

/** Notes a call without an answer though the store has answered later ones. */
void session_note_lost_call(struct session *s, struct mesh_ctx *c);

/**
 * Notes the era of the store that answered any call. An answer of an earlier
 * era than the present one becomes STORE_NO_ANSWER: it tells nothing of this
 * era. Returns true if the era has risen: the node then registers anew and
 * reads all records.
 */
bool session_note_era(struct session *s, struct mesh_ctx *c,
		      struct ev_store_end *e);

/** True if the call was made by this module. */
bool session_on_end(struct session *s, struct mesh_ctx *c,
		    struct ev_store_end *e);

/** Handles the result of another node's renewal of this node's lease. */
void session_on_renewed(struct session *s, struct mesh_ctx *c,
			const struct msg_renewed *m);

/** Notes that another node knows the store up to @revision. */
void session_on_revision(struct session *s, struct mesh_ctx *c,
			 revision_t revision);

/** Applies what another node's watch found; may take records out of @m. */
void session_on_changes(struct session *s, struct mesh_ctx *c,
			struct msg_changes *m);

/** True while other nodes may rely on this node's watch. */
bool session_watches(const struct session *s, const struct mesh_ctx *c);

/** Updates the card's upstream, slots and draining; the rest is ignored. */
void session_set_card(struct session *s, const struct node_card *card);

/** Starts the store calls that are due. */
void session_work(struct session *s, struct mesh_ctx *c);

/** Gives the lease, and the card with it, up for good; no call follows. */
void session_end(struct session *s, struct mesh_ctx *c);

/** When session_work() is next due; UINT64_MAX: no call is wanted. */
uint64_t session_next_ns(const struct session *s, const struct mesh_ctx *c);

/**
 * The revision of this process's card in the store. A write on condition of it
 * fails once another process of the node has registered. 0: there is none, it
 * is about to change, or the directory has not been read since registering.
 */
revision_t session_card_revision(const struct session *s);

/** The time until which keys may be granted; 0: none may be. */
uint64_t session_authority_ns(const struct session *s);

#endif
