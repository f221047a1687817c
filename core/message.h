/**
 * Messages between nodes. Leased fleets (core/mesh.h) use MSG_FORWARD,
 * MSG_ANSWER, MSG_CANCEL and those from MSG_LOAD on; other fleets
 * (core/node.h) all up to MSG_CANCEL.
 */
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
	MSG_HEARTBEAT,	   /* node to its keeper: asks to renew its lease */
	MSG_HEARTBEAT_ACK, /* keeper to node: renews its lease */
	MSG_ADOPT,	   /* node to another node: become my keeper */
	MSG_SYNC,	   /* keeper to node: documents newer than a revision */
	MSG_RELEASE,	   /* owner to planner: shards ready to change owner */
	MSG_HOT_KEYS,	   /* owner to planner: its most requested keys */
	MSG_FORWARD,	   /* entry to owner: run a request */
	MSG_ANSWER,	   /* owner to entry: how the request ended */
	MSG_CANCEL,	   /* entry to owner: the caller has disconnected */
	MSG_LOAD,	   /* node to every other: load of its gate */
	MSG_RENEW,	   /* node to node: renew my lease at the store */
	MSG_RENEWED,	   /* node to node: result of a MSG_RENEW */
	MSG_CHANGES,	   /* node to node: changed records of the store */
	MSG_MANIFEST_GET,  /* node to node: send me your manifest */
	MSG_QUOTA_ASK,	   /* entry to the keeper of a quota: give me shares */
	MSG_QUOTA_GRANT,   /* and its answer */
	MSG_KIND_COUNT,
};

/** How a request ended. */
enum outcome {
	OUTCOME_DONE,	 /* the upstream has answered */
	OUTCOME_NOT_RUN, /* provably not processed by any upstream */
	OUTCOME_UNKNOWN, /* may have run; retried only if idempotent */
	OUTCOME_COUNT,
};

struct msg_heartbeat {
	char dc[JD_NAME_MAX];
	uint64_t sent_ns;    /* sender's clock; echoed in the acknowledgement */
	uint64_t term;	     /* of the sender with this keeper */
	revision_t revision; /* the sender has all documents up to it */
	bool needs_documents; /* complete ones, as a delta did not apply */
};

struct msg_heartbeat_ack {
	uint64_t sent_ns; /* echoed from the heartbeat */
	uint64_t term;
	revision_t revision; /* the keeper has all documents up to it */
};

struct msg_adopt {
	char dc[JD_NAME_MAX]; /* data centre of the sender */
	uint64_t old_term;    /* with its former keeper */
};

struct msg_sync {
	revision_t from; /* all changes after @from, up to and with @to */
	revision_t to;
	struct list docs;   /* of struct doc, by ascending revision */
	struct list deltas; /* of struct doc_delta; each document's in order */
};

struct msg_release {
	char route[JD_NAME_MAX];
	uint32_t count;
	uint32_t *shards; /* indices; both arrays have @count items */
	epoch_t *epochs;
};

struct msg_hot_keys {
	uint32_t count;
	struct hot_report items[HOT_KEYS_REPORT_MAX];
};

struct msg_forward {
	struct request_id id;
	uint32_t attempt;
	uint64_t sequence;     /* counts the sender's forwards, from 1 */
	uint64_t time_left_ns; /* to the deadline */
	char reply_to[JD_ADDR_MAX];
	char route[JD_NAME_MAX];
	char key[JD_KEY_MAX];
	char *organisation; /* in full; or NULL */
	bool idempotent;
	/* From here to caller_service: used by gates of leased fleets only. */
	uint64_t sent_ns;      /* sender's clock; see struct peer_clock */
	uint64_t objective_ns; /* time left to the route's objective, or 0 */
	uint32_t priority;     /* of the route; 0 is served first */
	uint32_t shard;	       /* of the key, if @keyed */
	bool keyed;
	char *caller_id;      /* request id set by the caller; or NULL */
	char *caller_service; /* of the VM it came from, in full; or NULL */
	bool call;	      /* a run that has started waits for it */
	bool again;	      /* its caller comes back after a failure */
	struct http_request *request;
};

/** The name in full of the request's organisation; empty: none. */
static inline const char *forward_organisation(const struct msg_forward *f)
{
	return f->organisation ? f->organisation : "";
}

/** Load of one gate, sent in MSG_ANSWER and MSG_LOAD. */
struct gate_load {
	uint32_t running;    /* requests at the upstream */
	uint32_t waiting;    /* requests in the queue */
	uint32_t limit;	     /* requests that may run at once */
	uint64_t service_ns; /* moving average of a request's run time */
	bool open;	     /* accepts new requests */
	bool cold;	     /* the upstream is warming up */
	/* Moving average of how long requests to it wait on their way. */
	uint32_t transit_ms;
	/* Present time of work relative to the usual, in percent; 0: unknown */
	uint32_t work_percent;
};

struct msg_load {
	char node[JD_NODE_NAME_MAX]; /* the sender; empty: see @from */
	uint64_t sent_ns;	     /* sender's clock; see struct peer_clock */
	revision_t revision; /* newest one of the store that the sender has */
	bool leaving;	     /* the sender's process is shutting down */
	bool watches; /* the sender watches the store and sends MSG_CHANGES */
	bool wants_report; /* the sender asks for a MSG_LOAD in return */
	struct gate_load load;
	/* Of the manifest in force; 0: not stated. */
	revision_t manifest_revision;
	uint64_t manifest_version;
};

struct msg_renew {
	uint64_t lease;	  /* its id at the store */
	uint64_t sent_ns; /* sender's clock; echoed in MSG_RENEWED */
	char reply_to[JD_ADDR_MAX];
	uint64_t era; /* of the store that gave the lease; 0: not stated */
};

struct msg_renewed {
	uint64_t lease;
	uint64_t sent_ns; /* echoed from MSG_RENEW */
	bool ended;	  /* the lease no longer exists at the store */
	uint64_t era;	  /* of the store that answered; 0: not stated */
};

/** What a watch returned, for nodes of the region that do not watch. */
struct msg_changes {
	revision_t from; /* all changes after @from, up to and with @to */
	revision_t to;
	struct list records; /* of struct record; manifests by their delta */
};

/** Answered by a MSG_CHANGES with a manifest, if the receiver's is newer. */
struct msg_manifest_get {
	revision_t revision; /* of the sender's */
	char reply_to[JD_ADDR_MAX];
};

/** Asks for a part of an organisation's quota. */
struct msg_quota_ask {
	char account[JD_QUOTA_NAME_MAX]; /* a part of an organisation's quota */
	char reply_to[JD_ADDR_MAX];
	uint64_t sent_ns;  /* sender's clock; echoed in MSG_QUOTA_GRANT */
	uint64_t requests; /* that the sender wants to admit */
};

struct msg_quota_grant {
	char account[JD_QUOTA_NAME_MAX]; /* a part of an organisation's quota */
	uint64_t sent_ns;		 /* echoed from MSG_QUOTA_ASK */
	uint64_t requests;		 /* that the receiver may admit */
	uint64_t valid_ns;		 /* so long, counted from @sent_ns */
	uint64_t retry_after_ns; /* if fewer than asked for: until the next */
	bool unknown;		 /* the sender does not keep the quota */
};

struct msg_answer {
	struct request_id id;
	uint32_t attempt;
	uint64_t route_ns; /* the gate's mean time of the route; 0: unknown */
	enum outcome outcome;
	revision_t revision;	    /* newest one that the sender has */
	enum refusal refusal;	    /* the reason, if not_run or unknown */
	uint64_t retry_after_ns;    /* if not_run: delay until a retry */
	struct gate_load load;	    /* only in leased fleets */
	bool internal_route;	    /* only upstreams send requests to it */
	struct http_answer *answer; /* NULL unless done */
};

struct msg_cancel {
	struct request_id id;
	uint32_t attempt;
};

struct message {
	struct list link; /* in the batch of messages read at once */
	enum message_kind kind;
	incarnation_t from;
	/* Other incarnations drop the message; 0: it is for each receiver. */
	incarnation_t to;
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
		struct msg_manifest_get manifest_get;
		struct msg_quota_ask quota_ask;
		struct msg_quota_grant quota_grant;
	} u;
};

struct message *message_new(enum message_kind kind);
/** Frees the message with all that it owns; NULL is ignored. */
void message_delete(struct message *m);

/**
 * Deletes each MSG_FORWARD in @batch that a later MSG_CANCEL in it cancels,
 * together with that MSG_CANCEL. Returns the number of pairs deleted.
 */
uint32_t messages_drop_cancelled(struct list *batch);

/**
 * Makes the outcome unknown if @a states an upstream's answer but has none, or
 * one that is not valid: another build may have sent it. True if it did.
 */
bool message_drop_invalid_answer(struct msg_answer *a);

/** Lower-case names; "?" for values out of range. */
const char *message_name(enum message_kind kind);
const char *outcome_name(enum outcome o);

#endif
