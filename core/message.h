/** What nodes say to one another, as a tagged union. */
#ifndef JD_CORE_MESSAGE_H
#define JD_CORE_MESSAGE_H

#include "core/doc.h"
#include "core/doc_delta.h"
#include "core/hot_keys.h"
#include "core/http.h"
#include "core/record.h"
#include "core/refusal.h"
#include "core/types.h"

enum message_kind {
	MSG_HEARTBEAT,	   /* a node to its keeper */
	MSG_HEARTBEAT_ACK, /* the keeper's confirmation */
	MSG_ADOPT,	   /* a node asks a new keeper to take it on */
	MSG_SYNC,	   /* documents written since a revision */
	MSG_RELEASE,	   /* owner to planner: a planned move may end */
	MSG_HOT_KEYS,	   /* owner to planner: its hottest keys */
	MSG_FORWARD,	   /* entry to owner: run this request */
	MSG_ANSWER,	   /* owner to entry: what came of it */
	MSG_CANCEL,	   /* entry to owner: nobody waits any more */
	MSG_LOAD,	   /* a gate's load, to every entry */
	MSG_RENEW,	   /* renew my lease with the store for me */
	MSG_RENEWED,	   /* the end of that */
	MSG_CHANGES,	   /* records of the store that have changed */
	MSG_KIND_COUNT,
};

enum outcome {
	OUTCOME_DONE,
	OUTCOME_NOT_RUN, /* provably: no upstream may have acted on it */
	OUTCOME_UNKNOWN, /* may have run; never retried unless idempotent */
	OUTCOME_COUNT,
};

struct msg_heartbeat {
	char dc[JD_NAME_MAX];
	uint64_t sent_ns; /* sender's clock; echoed, not read by others */
	uint64_t term;
	revision_t revision; /* all documents up to here are known */
	bool missed;	     /* a delta did not fit: whole documents, please */
};

struct msg_heartbeat_ack {
	uint64_t sent_ns; /* echo */
	uint64_t term;
	revision_t revision; /* the keeper's own */
};

struct msg_adopt {
	char dc[JD_NAME_MAX]; /* of the asking node */
	uint64_t old_term;
};

struct msg_sync {
	revision_t from; /* complete for a reader that knows up to here */
	revision_t to;
	struct list docs;   /* of struct doc, by rising revision */
	struct list deltas; /* of struct doc_delta, in order */
};

struct msg_release {
	char route[JD_NAME_MAX];
	uint32_t count;
	uint32_t *shards;
	epoch_t *epochs;
};

struct msg_hot_keys {
	uint32_t count;
	struct hot_report items[HOT_KEYS_REPORT_MAX];
};

struct msg_forward {
	struct request_id id;
	uint32_t attempt;
	uint64_t sequence; /* of the sender's forwards; from 1 */
	uint64_t time_left_ns;
	char reply_to[JD_ADDR_MAX];
	char route[JD_NAME_MAX];
	char key[JD_KEY_MAX];
	char organisation[JD_NAME_MAX];
	bool idempotent;
	/* Read only by gates of leased upstreams (core/gatekeeper.h): */
	uint64_t sent_ns;      /* sender's clock; see struct peer_clock */
	uint64_t objective_ns; /* time left to the objective; 0: passed */
	uint32_t priority;     /* of the route; 0 is served first */
	uint32_t shard;	       /* the key's number, when keyed */
	bool keyed;
	char caller_id[JD_CALLER_ID_MAX]; /* the caller's own request id */
	char caller_service[JD_NAME_MAX]; /* of the VM where it began */
	struct http_request *request;
};

/** Load of one gate, as it travels with answers and on its own. */
struct gate_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t limit;	     /* requests that may run at once */
	uint64_t service_ns; /* moving average of one request's time */
	bool open;	     /* new requests are taken */
	bool cold;
};

struct msg_load {
	char node[JD_NODE_NAME_MAX];
	uint64_t sent_ns;    /* sender's clock */
	revision_t revision; /* of the store, as far as the sender knows it */
	bool leaving;	     /* the process ends soon */
	bool watches;	     /* the sender follows the store for its region */
	bool asks;	     /* it wants a report in return */
	struct gate_load load;
};

struct msg_renew {
	uint64_t lease;
	uint64_t sent_ns; /* sender's clock; echoed */
	char reply_to[JD_ADDR_MAX];
};

struct msg_renewed {
	uint64_t lease;
	uint64_t sent_ns; /* echo */
	bool ended;	  /* the store does not have it any more */
};

/** What a watch brought, for nodes that have none of their own. */
struct msg_changes {
	revision_t from; /* complete for a reader that knows up to here */
	revision_t to;
	struct list records; /* of struct record; a manifest has no content */
};

struct msg_answer {
	struct request_id id;
	uint32_t attempt;
	enum outcome outcome;
	revision_t revision;	 /* what the answering node knows */
	enum refusal refusal;	 /* of a not_run or unknown */
	uint64_t retry_after_ns; /* of a not_run: when there may be room */
	struct gate_load load;	 /* of a gate of a leased upstream */
	bool internal_route; /* only upstreams use it, for their own calls */
	struct http_answer *answer; /* NULL unless done */
};

struct msg_cancel {
	struct request_id id;
	uint32_t attempt;
};

struct message {
	struct list link; /* in the batch that was read with it */
	enum message_kind kind;
	incarnation_t from;
	incarnation_t to; /* the addressee; others drop it */
	union {
		struct msg_heartbeat heartbeat;
		struct msg_heartbeat_ack heartbeat_ack;
		struct msg_adopt adopt;
		struct msg_sync sync;
		struct msg_release release;
		struct msg_hot_keys hot_keys;
		struct msg_forward forward;
		struct msg_answer answer;
		struct msg_cancel cancel;
		struct msg_load load;
		struct msg_renew renew;
		struct msg_renewed renewed;
		struct msg_changes changes;
	} u;
};

struct message *message_new(enum message_kind kind);
/** Frees the message with all that it owns. */
void message_delete(struct message *m);

/**
 * Deletes the forwards in @batch, a list of struct message in their order,
 * whose cancellation stands behind them, with that. Returns how many.
 */
uint32_t messages_drop_cancelled(struct list *batch);

const char *message_name(enum message_kind kind);
const char *outcome_name(enum outcome o);

#endif
