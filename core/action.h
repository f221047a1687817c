/** What the core asks of the outside: an intrusive list of tagged unions. */
#ifndef JD_CORE_ACTION_H
#define JD_CORE_ACTION_H

#include "core/doc.h"
#include "core/http.h"
#include "core/list.h"
#include "core/message.h"
#include "core/types.h"

enum action_kind {
	ACT_SEND,	     /* a message to another node */
	ACT_STORE,	     /* a call to the store; ends in EV_STORE */
	ACT_REPLY,	     /* the answer to a caller */
	ACT_UPSTREAM_CALL,   /* ends in EV_UPSTREAM_ANSWER */
	ACT_UPSTREAM_CANCEL, /* nobody waits for the call any more */
	ACT_GRANT,	     /* renew the upstream's fenced grants */
	ACT_LOG,
	ACT_EXIT, /* all is handed over; the process may end */
};

struct act_send {
	char addr[JD_ADDR_MAX];
	bool near; /* bytes are cheap on the way, so they go as they are */
	struct message *message;
};

enum store_op {
	STORE_GET,   /* one document */
	STORE_LIST,  /* all documents of a kind */
	STORE_CAS,   /* write if the revision is still the named one */
	STORE_RENEW, /* a leased document lapses later */
	STORE_WATCH, /* all documents newer than a revision, waits for one */
};

struct act_store {
	uint64_t op; /* echoed in EV_STORE */
	enum store_op kind;
	struct doc_key key;
	revision_t revision;  /* cas: expected, 0 absent; watch: known */
	uint64_t deadline_ns; /* when to give up */
	uint64_t ttl_ms;      /* cas: the document lapses; 0 never */
	struct doc *doc;      /* cas: the new content; NULL removes it */
};

struct act_reply {
	uint64_t caller;
	enum outcome outcome;
	enum refusal refusal;
	char served_by[JD_NAME_MAX];
	uint32_t retry_after_s;	      /* 0: none */
	char region[JD_NAME_MAX];     /* that may serve it; empty: any */
	char entry_addr[JD_ADDR_MAX]; /* of a node there, for callers */
	struct http_answer *answer;
};

/** A fence is the grant under which an order runs. */
struct fence {
	char route[JD_NAME_MAX];
	uint32_t shard;
	epoch_t epoch; /* 0: the route has no owners */
};

struct act_upstream_call {
	uint64_t call;
	char addr[JD_ADDR_MAX];
	struct fence fence;
	struct request_id id;
	uint64_t deadline_ns;
	/*
	 * No byte may be written at or after this: the end of the lease. The
	 * writer compares the clock right before the write.
	 */
	uint64_t write_before_ns;
	struct http_request *request;
};

/** A run of shards of one epoch. */
struct grant_range {
	struct list link;
	char route[JD_NAME_MAX];
	uint32_t first;
	uint32_t last; /* inclusive */
	epoch_t epoch;
};

struct act_grant {
	char addr[JD_ADDR_MAX];
	uint64_t deadline_ns; /* sent on as time left */
	uint64_t version;     /* of the set of grants; rises with each */
	bool whole;	      /* @ranges replace the set before; or it lasts */
	struct list ranges;   /* of struct grant_range */
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
		uint64_t cancel; /* of that call */
		struct act_grant grant;
		struct act_log log;
	} u;
};

struct actions {
	struct list items; /* of struct action */
};

void actions_init(struct actions *a);
void actions_done(struct actions *a);
/** Appends an action of @kind for the caller to fill in. */
struct action *actions_add(struct actions *a, enum action_kind kind);
/** Takes the first one off; NULL when there is none. */
struct action *actions_pop(struct actions *a);
void action_delete(struct action *a);

/** Appends ACT_SEND; takes @m. */
void actions_send(struct actions *a, const char *addr, struct message *m);
/** Appends ACT_LOG, printf style. */
void actions_log(struct actions *a, enum log_level level, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
