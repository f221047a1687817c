/**
 * The mesh_checker of a leased fleet, checked from what callers and upstreams
 * see, while a run goes on.
 */
#ifndef JD_CHAOS_MESH_CHECKER_H
#define JD_CHAOS_MESH_CHECKER_H

#include "core/keymap.h"
#include "core/list.h"

#define MESH_CHECKER_ID_MAX  64
#define MESH_CHECKER_BUCKETS 4096

struct checked_request {
	struct list link; /* in the bucket of its id */
	char id[MESH_CHECKER_ID_MAX];
	bool idempotent;
	uint32_t runs; /* how often an upstream began it */
	int code;      /* of its answer; 0: none came */
	uint64_t sent_ns;
	uint64_t end_ns; /* 0: it is under way */
};

/** The last one that took a key. */
struct key_holder {
	uint64_t fence;
	uint32_t holder; /* hash of the upstream's lifetime */
};

struct mesh_checker {
	struct list
		requests[MESH_CHECKER_BUCKETS]; /* of struct checked_request */
	struct key_holder keys[KEYMAP_KEYS];
	uint64_t sent;
	uint64_t served;
	uint64_t refused;
	uint64_t unknown;
	/* Broken mesh_checker: */
	uint64_t two_holders; /* of one key at the same time */
	uint64_t fence_not_above;
	uint64_t doubled;	/* a non-idempotent request ran twice */
	uint64_t false_not_run; /* "not run", yet it ran */
	uint64_t crossed;     /* an answer that is not this request's, whole */
	uint64_t unasked;     /* ran, but nobody sent it */
	uint64_t after_leave; /* ran long after the leave was acknowledged */
};

struct mesh_checker *mesh_checker_new(void);
void mesh_checker_delete(struct mesh_checker *p);

void mesh_checker_sent(struct mesh_checker *p, const char *id, bool idempotent,
		       uint64_t now_ns);
/** @whole: the answer is this request's own, complete and signed. */
void mesh_checker_ended(struct mesh_checker *p, const char *id, int code,
			bool whole, uint64_t now_ns);
void mesh_checker_executed(struct mesh_checker *p, const char *id);
/** The lifetime @instance takes a row of keys. */
void mesh_checker_row_acquired(struct mesh_checker *p, const char *instance,
			       uint32_t from, uint32_t to, uint64_t fence);

/** Ends the check; how many mesh_checker were broken. */
uint64_t mesh_checker_violations(struct mesh_checker *p);

/** Requests sent in a span that were not served. */
uint64_t mesh_checker_unserved(const struct mesh_checker *p, uint64_t from_ns,
			       uint64_t to_ns);

#endif
