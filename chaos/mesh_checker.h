/**
 * Checks the guarantees of a leased fleet during a run, from the requests and
 * answers of callers, the requests that upstreams run and the keys that they
 * acquire. Each violation is printed when it is found.
 */
#ifndef JD_CHAOS_MESH_CHECKER_H
#define JD_CHAOS_MESH_CHECKER_H

#include "core/keymap.h"
#include "core/list.h"

#define MESH_CHECKER_ID_MAX  64
#define MESH_CHECKER_BUCKETS 4096

/** A request of a caller. */
struct tracked_request {
	struct list link; /* in the bucket of its id */
	char id[MESH_CHECKER_ID_MAX];
	bool idempotent;
	uint32_t runs; /* how many times an upstream started it */
	int code;      /* HTTP status of the answer; 0: no answer */
	uint64_t sent_ns;
	uint64_t end_ns; /* 0: in progress */
};

/** The upstream that last acquired a key. */
struct key_holder {
	uint64_t fence;
	uint32_t holder; /* hash of the upstream's instance name */
};

struct mesh_checker {
	/* Hash table of struct tracked_request by id. */
	struct list requests[MESH_CHECKER_BUCKETS];
	struct key_holder keys[KEYMAP_KEYS];
	uint64_t sent;
	uint64_t served;  /* answered with 200 */
	uint64_t refused; /* answered with a status that means "not run" */
	uint64_t unknown; /* any other answer, or none */
	/* Violations: */
	uint64_t two_holders;	  /* two upstreams hold a key at a time;
				     counted by mesh_fleet */
	uint64_t fence_not_above; /* a new holder's fence is not higher */
	uint64_t doubled;	  /* a non-idempotent request ran twice */
	uint64_t false_not_run;	  /* a request ran, but its answer means
				     "not run" */
	uint64_t crossed;	  /* 200 with an answer that is incomplete
				     or belongs to another request */
	uint64_t denied;	  /* a proper request ended with a status that
				     calls it wrong or sends it elsewhere */
	uint64_t unasked;	  /* an upstream ran an unknown request */
	uint64_t config_back;	  /* a process returned to an older
				     configuration; counted by mesh_fleet */
	uint64_t died;		  /* a process ended by itself; counted by
				     mesh_fleet */
	uint64_t after_leave;	  /* an upstream ran a request later than
				     LEAVE_GRACE_NS after its leave was
				     acknowledged; counted by mesh_fleet */
};

struct mesh_checker *mesh_checker_new(void);
void mesh_checker_delete(struct mesh_checker *c);

/** @id is copied. */
void mesh_checker_sent(struct mesh_checker *c, const char *id, bool idempotent,
		       uint64_t now_ns);
/**
 * The request has ended with the HTTP status @code, or 0 for no answer.
 * @valid: the answer is complete, signed and belongs to this request.
 */
void mesh_checker_ended(struct mesh_checker *c, const char *id, int code,
			bool valid, uint64_t now_ns);
/** An upstream has started the request. */
void mesh_checker_executed(struct mesh_checker *c, const char *id);
/** The upstream @instance has acquired the keys @from to @to, both included. */
void mesh_checker_row_acquired(struct mesh_checker *c, const char *instance,
			       uint32_t from, uint32_t to, uint64_t fence);

/**
 * Ends the check and returns the number of violations. Call it once: requests
 * that ran in spite of a refusal are counted here.
 */
uint64_t mesh_checker_violations(struct mesh_checker *c);

/**
 * The number of requests sent at or after @from_ns and before @to_ns that were
 * not answered with 200.
 */
uint64_t mesh_checker_unserved(const struct mesh_checker *c, uint64_t from_ns,
			       uint64_t to_ns);

#endif
