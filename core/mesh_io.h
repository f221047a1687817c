/**
 * What a node of a leased fleet hears and does: its events and its actions,
 * both tagged unions. Nothing here knows an encoding.
 */
#ifndef JD_CORE_MESH_IO_H
#define JD_CORE_MESH_IO_H

#include "core/action.h"
#include "core/http.h"
#include "core/keymap.h"
#include "core/manifest.h"
#include "core/message.h"
#include "core/record.h"
#include "core/refusal.h"
#include "core/types.h"

enum store_call_kind {
	CALL_READ_ALL, /* all records */
	CALL_READ_OWN, /* cards and keymaps */
	CALL_READ_MANIFEST,
	CALL_WATCH_ALL, /* what changed after a revision; waits */
	CALL_WRITE,	/* records, if the expected revisions hold */
	CALL_LEASE_NEW,
	CALL_LEASE_KEEP,
	CALL_LEASE_END,
};

#define STORE_EXPECT_MAX 4

/** A record's revision that a write depends on; 0: it must not exist. */
struct store_expect {
	enum record_kind kind;
	char name[JD_NODE_NAME_MAX];
	revision_t revision;
};

struct act_store_call {
	uint64_t op;
	enum store_call_kind kind;
	uint64_t deadline_ns;
	uint64_t wait_ns; /* of a watch */
	revision_t after; /* of a watch */
	uint64_t lease;	  /* of a write, 0 for none; of keep and end */
	uint64_t ttl_ns;  /* of a new lease */
	uint32_t expect_count;
	struct store_expect expect[STORE_EXPECT_MAX];
	struct list puts; /* of struct record; removed ones are deleted */
};

enum store_end {
	STORE_DONE,
	STORE_CONFLICT,	  /* a write's expectation did not hold */
	STORE_NO_LEASE,	  /* it has ended */
	STORE_NO_HISTORY, /* the watch can't go on from there */
	STORE_REFUSED,	  /* nothing was done */
	STORE_NO_ANSWER,  /* no answer: it may have been done, or will be */
};

struct ev_store_end {
	uint64_t op;
	enum store_end end;
	revision_t revision; /* of the store, or of the write */
	uint64_t lease;
	uint64_t ttl_ns;
	struct list records; /* the handler may take them */
};

/** A request as an entry gets it; its headers are passed on as they are. */
struct caller_request {
	uint64_t caller; /* handle for the reply */
	char id[JD_CALLER_ID_MAX];
	char host[128];
	uint64_t deadline_ns; /* 0: none was given */
	bool bad_deadline;
	bool keyed;
	uint32_t shard;
	bool oversized;
	struct http_request *request; /* taken */
};

/** A run of keys in an announcement. */
struct held_row {
	struct list link;
	uint32_t from;
	uint32_t to;
	uint64_t fence;			    /* of a held one */
	char handover[KEYMAP_HANDOVER_MAX]; /* of a released one, or granted */
};

/** The upstream's word on itself. */
struct upstream_heartbeat {
	uint64_t handle; /* of the answer */
	bool leaves;	 /* it will end; there is nothing else in it */
	char instance[JD_INSTANCE_MAX];
	uint64_t born;
	uint64_t sequence;
	char addr[JD_ADDR_MAX];
	char service[JD_NAME_MAX];
	uint32_t slots;
	bool draining;
	uint64_t cold_left_ns;
	struct list held;     /* of struct held_row */
	struct list released; /* of struct held_row */
};

struct act_heartbeat_reply {
	uint64_t handle;
	bool refuse; /* it is not acknowledged */
	bool grants; /* @rows and @hold_ns count; else nothing is renewed */
	uint64_t hold_ns; /* from when the announcement was sent */
	struct list rows; /* of struct held_row */
};

/** Load as the upstream itself reports it with an answer. */
struct upstream_report {
	bool present;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t work_percent; /* how long work takes now; 100 as usual */
};

struct ev_upstream_end {
	uint64_t call;
	enum outcome outcome;
	enum refusal refusal;
	bool refused_connection; /* nothing listens at its address */
	struct upstream_report report;
	struct http_answer *answer; /* taken */
};

enum mesh_event_kind {
	ME_TICK,
	ME_REQUEST,
	ME_CALLER_GONE,
	ME_UPSTREAM_END,
	ME_UPSTREAM_GONE, /* a probe of its address was refused */
	ME_HEARTBEAT,
	ME_MESSAGE,
	ME_STORE_END,
	ME_STOP, /* finish and end */
};

struct mesh_event {
	enum mesh_event_kind kind;
	uint64_t now_ns;
	union {
		struct caller_request request;
		uint64_t caller; /* gone */
		struct ev_upstream_end upstream;
		struct upstream_heartbeat beat;
		struct message *message; /* taken */
		struct ev_store_end store;
	} u;
};

enum mesh_action_kind {
	MA_SEND,
	MA_STORE_CALL,
	MA_REPLY,
	MA_UPSTREAM_CALL,
	MA_CANCEL_UPSTREAM_CALL,
	MA_HEARTBEAT_REPLY,
	MA_PROBE_UPSTREAM, /* ends in ME_UPSTREAM_GONE if nothing listens */
	MA_LIMITS,	   /* what callers may send has changed */
	MA_LOG,
	MA_EXIT,
};

/** An answer to a caller: the upstream's, or a status of our own. */
struct act_caller_reply {
	uint64_t caller;
	struct http_answer *answer; /* NULL: @code says it all */
	int code;
	enum refusal refusal;
	uint64_t retry_after_ns; /* 0: none */
	bool close;
	char id[JD_CALLER_ID_MAX];
};

struct act_mesh_upstream_call {
	uint64_t call;
	char addr[JD_ADDR_MAX];
	char instance[JD_INSTANCE_MAX]; /* that must be the one to run it */
	char caller_id[JD_CALLER_ID_MAX];
	char caller_service[JD_NAME_MAX];
	uint64_t deadline_ns;
	uint64_t write_before_ns; /* the lease ends: no byte at or after it */
	struct http_request *request;
};

struct mesh_action {
	struct list link;
	enum mesh_action_kind kind;
	union {
		struct act_send send;
		struct act_store_call store;
		struct act_caller_reply reply;
		struct act_mesh_upstream_call call;
		uint64_t cancel;
		struct act_heartbeat_reply beat;
		struct caller_limits limits;
		struct act_log log;
	} u;
};

struct mesh_actions {
	struct list items; /* of struct mesh_action */
};

void mesh_actions_init(struct mesh_actions *a);
void mesh_actions_done(struct mesh_actions *a);
struct mesh_action *mesh_actions_add(struct mesh_actions *a,
				     enum mesh_action_kind kind);
struct mesh_action *mesh_actions_pop(struct mesh_actions *a);
void mesh_action_delete(struct mesh_action *a);
void mesh_log(struct mesh_actions *a, enum log_level level, const char *fmt,
	      ...) __attribute__((format(printf, 3, 4)));
void held_rows_delete(struct list *rows);

#endif
