/**
 * The promises of a leased fleet, checked from what callers and upstreams
 * see, while a run goes on.
 */
#ifndef JD_CHAOS_PROMISES_H
#define JD_CHAOS_PROMISES_H

#include "core/keymap.h"
#include "core/list.h"

#define PROMISES_ID_MAX	 64
#define PROMISES_BUCKETS 4096

struct promised {
	struct list link; /* in the bucket of its id */
	char id[PROMISES_ID_MAX];
	bool idempotent;
	uint32_t runs; /* how often an upstream began it */
	int code;      /* of its answer; 0: none came */
	uint64_t sent_ns;
	uint64_t end_ns; /* 0: it is under way */
};

/** The last one that took a key. */
struct key_taken {
	uint64_t fence;
	uint32_t holder; /* hash of the upstream's lifetime */
};

struct promises {
	struct list requests[PROMISES_BUCKETS]; /* of struct promised */
	struct key_taken keys[KEYMAP_KEYS];
	uint64_t sent;
	uint64_t served;
	uint64_t refused;
	uint64_t unknown;
	/* Broken promises: */
	uint64_t two_holders; /* of one key at the same time */
	uint64_t fence_not_above;
	uint64_t doubled;	/* a non-idempotent request ran twice */
	uint64_t false_not_run; /* "not run", yet it ran */
	uint64_t crossed;     /* an answer that is not this request's, whole */
	uint64_t unasked;     /* ran, but nobody sent it */
	uint64_t after_leave; /* ran long after the leave was acknowledged */
};

struct promises *promises_new(void);
void promises_delete(struct promises *p);

void promises_sent(struct promises *p, const char *id, bool idempotent,
		   uint64_t now_ns);
/** @whole: the answer is this request's own, complete and signed. */
void promises_ended(struct promises *p, const char *id, int code, bool whole,
		    uint64_t now_ns);
void promises_ran(struct promises *p, const char *id);
/** The lifetime @instance takes a row of keys. */
void promises_row(struct promises *p, const char *instance, uint32_t from,
		  uint32_t to, uint64_t fence);

/** Ends the check; how many promises were broken. */
uint64_t promises_broken(struct promises *p);

/** Requests sent in a span that were not served. */
uint64_t promises_unserved(const struct promises *p, uint64_t from_ns,
			   uint64_t to_ns);

#endif
