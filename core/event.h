/** What the outside tells the core, as a tagged union. */
#ifndef JD_CORE_EVENT_H
#define JD_CORE_EVENT_H

#include "core/message.h"
#include "core/status.h"
#include "core/types.h"

enum event_kind {
	EV_TICK,	    /* a deadline may have passed */
	EV_STORE,	    /* the end of a store call */
	EV_MESSAGE,	    /* from another node */
	EV_REQUEST,	    /* from a caller */
	EV_CALLER_GONE,	    /* the caller closed its connection */
	EV_UPSTREAM_ANSWER, /* the end of a call to the upstream */
	EV_ANNOUNCE,	    /* the upstream says what it is */
	EV_DRAIN,	    /* finish and leave */
};

/** End of the store call @op. */
struct ev_store {
	uint64_t op;
	/*
	 * OK; CONFLICT (cas: the document was newer); UNAVAILABLE (nothing
	 * took effect); UNKNOWN (no answer: may have taken effect).
	 */
	enum status_code status;
	revision_t revision; /* of the store when it answered */
	struct list docs;    /* of struct doc; the handler may take them */
};

struct ev_request {
	uint64_t caller; /* handle of the connection, for the reply */
	struct http_request *request; /* the core takes it */
	bool oversized; /* its body was over the front's limit, and dropped */
};

struct ev_caller_gone {
	uint64_t caller;
};

/** The end of a call, or, with @call 0, of grants that were not taken. */
struct ev_upstream_answer {
	uint64_t call;
	enum outcome outcome;
	enum refusal refusal;
	struct http_answer *answer; /* the core takes it; NULL unless done */
};

/** The upstream's own word, repeated while it lives. */
struct ev_announce {
	char service[JD_NAME_MAX];
	char addr[JD_ADDR_MAX];
	uint64_t instance; /* new at every start of the upstream */
	uint32_t slots;
	uint32_t connections;
	bool checks_grants;
	bool cold;
	bool draining;
	uint32_t load_permille; /* of its slots; may lag or lie */
};

struct event {
	enum event_kind kind;
	uint64_t now_ns;
	union {
		struct ev_store store;
		struct message *message; /* the core takes it */
		struct ev_request request;
		struct ev_caller_gone caller_gone;
		struct ev_upstream_answer upstream_answer;
		struct ev_announce announce;
	} u;
};

#endif
