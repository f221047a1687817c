/**
 * Actions: the output of the core, which does no I/O itself. The handlers of
 * events append them to an intrusive list; the I/O layer carries them out in
 * order.
 */
#ifndef JD_CORE_ACTION_H
#define JD_CORE_ACTION_H

#include "core/doc.h"
#include "core/http.h"
#include "core/list.h"
#include "core/message.h"
#include "core/types.h"

enum action_kind {
	ACT_SEND,	     /* a message to another node */
	ACT_STORE,	     /* a call to the store; EV_STORE reports its end */
	ACT_REPLY,	     /* the end of a caller's request */
	ACT_UPSTREAM_CALL,   /* EV_UPSTREAM_ANSWER reports its end */
	ACT_UPSTREAM_CANCEL, /* abort a call whose answer is not needed */
	ACT_GRANT,	     /* renew the grants held by the upstream */
	ACT_LOG,
	ACT_EXIT, /* the drain is complete; end the process */
};

struct act_send {
	char addr[JD_ADDR_MAX];
	bool same_region; /* of the receiver: sent without compression */
	bool bulk;	  /* large: apart from small messages */
	struct message *message;
};

enum store_op {
	STORE_GET,   /* one document */
	STORE_LIST,  /* all documents of a kind */
	STORE_CAS,   /* compare-and-swap on the document's revision */
	STORE_RENEW, /* extend the time to live of a leased document */
	STORE_WATCH, /* long poll: all documents newer than a revision */
};

struct act_store {
	uint64_t op; /* id of the call, echoed in EV_STORE */
	enum store_op kind;
	struct doc_key key;
	/* CAS: the expected one, 0 if absent. WATCH: the newest one known. */
	revision_t revision;
	uint64_t deadline_ns; /* of the call */
	uint64_t ttl_ms;      /* CAS: time to live; 0: no expiry */
	struct doc *doc;      /* CAS: the new content; NULL deletes it */
};

struct act_reply {
	uint64_t caller; /* handle of the connection, from EV_REQUEST */
	enum outcome outcome;
	enum refusal refusal;
	char served_by[JD_NAME_MAX];  /* node; empty: unknown */
	uint32_t retry_after_s;	      /* Retry-After header; 0: none */
	char region[JD_NAME_MAX];     /* may serve the request; empty: any */
	char entry_addr[JD_ADDR_MAX]; /* for callers, of a node in @region */
	struct http_answer *answer;   /* NULL: made from outcome and refusal */
};

/**
 * A fence names the shard and the epoch under which a request runs. An
 * upstream that checks grants rejects a request whose fence no grant covers.
 */
struct fence {
	char route[JD_NAME_MAX];
	uint32_t shard;
	epoch_t epoch; /* 0: the route has no owners */
};

struct act_upstream_call {
	uint64_t call; /* id, echoed in EV_UPSTREAM_ANSWER */
	char addr[JD_ADDR_MAX];
	struct fence fence;
	struct request_id id;
	uint64_t deadline_ns;
	/*
	 * The end of the node's lease: no byte may be written at or after it.
	 * The writer compares the clock right before the write.
	 */
	uint64_t write_before_ns;
	struct http_request *request;
};

/** Consecutive shards of a route that have the same epoch. */
struct grant_range {
	struct list link;
	char route[JD_NAME_MAX];
	uint32_t first;
	uint32_t last; /* inclusive */
	epoch_t epoch;
};

struct act_grant {
	char addr[JD_ADDR_MAX];
	uint64_t deadline_ns; /* end of the grants; sent as time left */
	uint64_t version;     /* of the set of grants; rises on each change */
	bool replaces_all;  /* @ranges are the whole set; else they extend it */
	struct list ranges; /* of struct grant_range */
};

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

struct act_log {
	enum log_level level;
	char *line; /* key=value pairs, starting with event= */
};

struct action {
	struct list link;
	enum action_kind kind;
	union {
		struct act_send send;
		struct act_store store;
		struct act_reply reply;
		struct act_upstream_call call;
		uint64_t cancel; /* id of the call to abort */
		struct act_grant grant;
		struct act_log log;
	} u;
};

struct actions {
	struct list items; /* of struct action */
};

void actions_init(struct actions *a);
void actions_done(struct actions *a);
/** Appends a zeroed action of @kind, for the caller to fill in. */
struct action *actions_add(struct actions *a, enum action_kind kind);
/** Removes the first action; action_delete() it. NULL if the list is empty. */
struct action *actions_pop(struct actions *a);
/** Frees the action with all that it owns. */
void action_delete(struct action *a);

/** Appends ACT_SEND; takes ownership of @m. */
void actions_send(struct actions *a, const char *addr, struct message *m);
/** Appends ACT_LOG, printf style; longer lines are truncated. */
void actions_log(struct actions *a, enum log_level level, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
