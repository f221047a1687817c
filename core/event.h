/** Events: the input of the core, reported to it by the I/O layer. */
#ifndef JD_CORE_EVENT_H
#define JD_CORE_EVENT_H

#include "core/message.h"
#include "core/status.h"
#include "core/types.h"

enum event_kind {
	EV_TICK,		/* a deadline may have passed */
	EV_STORE,		/* the end of a store call */
	EV_MESSAGE,		/* a message from another node */
	EV_REQUEST,		/* a caller's HTTP request */
	EV_CALLER_DISCONNECTED, /* the caller closed its connection */
	EV_UPSTREAM_ANSWER,	/* the end of a call to the upstream */
	EV_ANNOUNCEMENT,	/* the upstream's periodic announcement */
	EV_DRAIN,		/* hand over all shards, then ACT_EXIT */
};

/** End of the store call @op. */
struct ev_store {
	uint64_t op; /* of struct act_store */
	/*
	 * OK; CONFLICT (CAS: the document has another revision); UNAVAILABLE
	 * (provably no effect); UNKNOWN (no answer: may have taken effect).
	 */
	enum status_code status;
	revision_t revision; /* of the store when it answered */
	struct list docs;    /* of struct doc; the handler may unlink them */
};

struct ev_request {
	uint64_t caller; /* handle of the connection, for the reply */
	struct http_request *request; /* the core takes ownership */
	bool oversized; /* body dropped: longer than the front end's limit */
};

struct ev_caller_disconnected {
	uint64_t caller;
};

/** The end of a call; @call 0: the upstream did not accept ACT_GRANT. */
struct ev_upstream_answer {
	uint64_t call; /* of struct act_upstream_call */
	enum outcome outcome;
	enum refusal refusal;
	/* The core takes ownership; NULL unless OUTCOME_DONE. */
	struct http_answer *answer;
};

/** What the upstream reports of itself, repeated while it runs. */
struct ev_announcement {
	char service[JD_NAME_MAX];
	char addr[JD_ADDR_MAX];
	uint64_t instance;    /* new at every start of the upstream */
	uint32_t slots;	      /* requests that may run at once */
	uint32_t connections; /* most that it accepts */
	bool checks_grants;   /* rejects requests that no grant covers */
	bool cold;	      /* still warming up: lower capacity */
	bool draining;
	uint32_t load_permille; /* of its slots; may be stale or wrong */
};

struct event {
	enum event_kind kind;
	uint64_t now_ns;
	union {
		struct ev_store store;
		struct message *message; /* the core takes ownership */
		struct ev_request request;
		struct ev_caller_disconnected caller_disconnected;
		struct ev_upstream_answer upstream_answer;
		struct ev_announcement announce;
	} u;
};

#endif
