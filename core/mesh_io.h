/**
 * Events that a node of a leased fleet handles and the actions it returns, as
 * tagged unions. They are independent of any encoding.
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
	CALL_READ_OWN, /* cards and keymaps: the records that nodes write */
	CALL_READ_MANIFEST,
	CALL_WATCH_ALL, /* waits for changes after a revision */
	CALL_WRITE,	/* writes records if the expected revisions match */
	CALL_LEASE_NEW,
	CALL_LEASE_KEEP,
	CALL_LEASE_END,
};

/* The store takes 32 conditions, writes and removals in one call. */
#define STORE_EXPECT_MAX 24

/** A condition of a write; revision 0: the record must not exist. */
struct store_expect {
	enum record_kind kind;
	char name[JD_NODE_NAME_MAX];
	revision_t revision;
};

struct act_store_call {
	uint64_t op;
	enum store_call_kind kind;
	uint64_t deadline_ns;
	uint64_t wait_ns; /* watch: returns after this even if unchanged */
	revision_t after; /* watch: shows changes after this revision */
	uint64_t lease;	  /* to keep or end; of the written records, or 0 */
	uint64_t ttl_ns;  /* of a new lease */
	uint32_t expect_count;
	struct store_expect expect[STORE_EXPECT_MAX];
	struct list puts; /* of struct record; removed ones get deleted */
};

/** How a store call ended. */
enum store_end {
	STORE_DONE,
	STORE_CONFLICT,	  /* an expected revision did not match */
	STORE_NO_LEASE,	  /* the lease has ended */
	STORE_NO_HISTORY, /* changes after that revision are not kept */
	STORE_REFUSED,	  /* nothing was done */
	STORE_NO_ANSWER,  /* it may have been done, or may still be */
};

/** True if the store has run the call and said how it ended. */
static inline bool store_answered(enum store_end end)
{
	return end != STORE_REFUSED && end != STORE_NO_ANSWER;
}

struct ev_store_end {
	uint64_t op;
	enum store_end end;
	uint64_t era;	     /* of the store in the answer; 0: none stated */
	revision_t revision; /* of the store; after a write: of the write */
	uint64_t lease;
	uint64_t ttl_ns;
	struct list records; /* of struct record; the handler may take any */
};

/** A caller's request; its headers are passed on unchanged. */
struct caller_request {
	uint64_t caller; /* handle for the reply */
	char *id;	 /* owned by the event; NULL or empty: none */
	char *host;	 /* owned by the event; empty: none that is valid */
	uint64_t deadline_ns; /* 0: none was given */
	bool bad_deadline;
	bool keyed;
	uint32_t shard;
	bool oversized;
	char *api_key;	  /* owned by the event; NULL or empty: none was sent */
	bool bad_api_key; /* what was sent can't be a key */
	/* The header by which the upstream learns the organisation. */
	const char *organisation_header;
	struct http_request *request; /* owned by the event */
};

void caller_request_done(struct caller_request *r);

/**
 * A range of keys that the upstream holds, has released or is granted, as in an
 * announcement and its answer.
 */
struct held_row {
	struct list link;
	uint32_t from;
	uint32_t to;
	uint64_t fence;			    /* 0 in a released row */
	char handover[KEYMAP_HANDOVER_MAX]; /* proof of the last owner */
};

/** The upstream's announcement, which reports its state and its keys. */
struct upstream_announcement {
	uint64_t handle; /* for the answer */
	bool leaves; /* it shuts down; only the instance and @born are set */
	char instance[JD_INSTANCE_MAX];
	char *long_instance; /* in full, if @instance is abbreviated; or NULL */
	/* Unix ms; of one that leaves: the latest that it may have begun. */
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

/** Frees what @ann owns. */
void upstream_announcement_done(struct upstream_announcement *ann);

struct act_announcement_reply {
	uint64_t handle;
	bool refuse; /* answers with an error instead of an acknowledgement */
	bool grants; /* if not set, no grant is renewed */
	uint64_t hold_ns; /* counts from when the announcement was sent */
	struct list rows; /* of struct held_row */
};

/** Load that the upstream reports with an answer. */
struct upstream_report {
	bool present;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t work_percent; /* current time per request; 100: the usual */
};

struct ev_upstream_end {
	uint64_t call;
	enum outcome outcome;
	enum refusal refusal;
	bool refused_connection; /* nothing listens at its address */
	struct upstream_report report;
	struct http_answer *answer; /* owned by the event */
};

enum mesh_event_kind {
	ME_TICK,
	ME_REQUEST,
	ME_CALLER_DISCONNECTED,
	ME_UPSTREAM_END,
	ME_UPSTREAM_GONE, /* its address refused a probe's connection */
	ME_ANNOUNCEMENT,
	ME_MESSAGE,
	ME_STORE_END,
	ME_STOP,    /* start of a planned stop */
	ME_FLUSHED, /* MA_FLUSH is done, or its deadline has passed */
};

struct mesh_event {
	enum mesh_event_kind kind;
	uint64_t now_ns;
	union {
		struct caller_request request;
		uint64_t caller; /* that has disconnected */
		struct ev_upstream_end upstream;
		struct upstream_announcement announcement;
		struct message *message; /* owned by the event */
		struct ev_store_end store;
	} u;
};

/** One receiver of a message that goes to several nodes. */
struct send_target {
	struct list link;
	char addr[JD_ADDR_MAX];
};

/** The message has no receiver of its own and is encoded once for all. */
struct act_send_all {
	struct list to; /* of struct send_target */
	struct message *message;
};

enum mesh_action_kind {
	MA_SEND,
	MA_SEND_ALL,
	MA_STORE_CALL,
	MA_REPLY,
	MA_UPSTREAM_CALL,
	MA_CANCEL_UPSTREAM_CALL,
	MA_ANNOUNCEMENT_REPLY,
	MA_PROBE_UPSTREAM, /* ME_UPSTREAM_GONE follows if nothing listens */
	MA_LIMITS,	   /* limits of callers' requests have changed */
	MA_LOG,
	MA_FLUSH, /* ME_FLUSHED follows once callers have all answers */
	MA_EXIT,
};

/** An answer to a caller: the upstream's, or a status of the node itself. */
struct act_caller_reply {
	uint64_t caller;
	struct http_answer *answer; /* NULL: the answer is @code alone */
	int code;
	enum refusal refusal;
	uint64_t retry_after_ns; /* 0: none */
	bool close;
	char *id; /* of the request, as its caller sent it; NULL: none */
};

struct act_mesh_upstream_call {
	uint64_t call;
	char addr[JD_ADDR_MAX];
	char *instance;	      /* in full: the only one that may run it */
	char *caller_id;      /* NULL or empty: none */
	char *caller_service; /* in full; NULL: none */
	char *organisation;   /* in full; NULL or empty: none */
	uint64_t deadline_ns;
	uint64_t write_before_ns; /* end of the lease: no byte is sent later */
	struct http_request *request;
};

struct mesh_action {
	struct list link;
	enum mesh_action_kind kind;
	union {
		struct act_send send;
		struct act_send_all send_all;
		struct act_store_call store;
		struct act_caller_reply reply;
		struct act_mesh_upstream_call call;
		uint64_t cancel; /* number of the upstream call */
		struct act_announcement_reply announcement_reply;
		struct caller_limits limits;
		struct act_log log;
		uint64_t flush_deadline_ns;
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
