/** Identifiers, size limits and units of the core. */
#ifndef JD_CORE_TYPES_H
#define JD_CORE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Sizes of strings: bytes, with the closing NUL. */
#define JD_NAME_MAX	  32
#define JD_ADDR_MAX	  48		    /* "ip:port" */
#define JD_KEY_MAX	  256		    /* a request's key */
#define JD_QUOTA_NAME_MAX (JD_NAME_MAX + 4) /* organisation and part */
#define JD_NODE_NAME_MAX  64 /* a node's name in a leased fleet */
#define JD_INSTANCE_MAX	  64 /* names one run of an upstream process */

#define NS_PER_US UINT64_C(1000)
#define NS_PER_MS UINT64_C(1000000)
#define NS_PER_S  UINT64_C(1000000000)

/*
 * Points in time are nanoseconds on the process's monotonic clock, named *_ns.
 * Other processes only echo them, or subtract them from their own clock to
 * compare delays (struct peer_clock).
 */

/**
 * Identifies a node between its start, or its last loss of membership, and the
 * next: a random number, 0 for none. Owners are incarnations, never names or
 * addresses, so that a restarted node does not pass for the owner it was.
 */
typedef uint64_t incarnation_t;

/** Version of a shard's ownership: every change of owner raises it. */
typedef uint64_t epoch_t;

/**
 * A point in the store's history: its era in the upper REVISION_ERA_BITS, below
 * them its revision, which every write raises. A store that comes back from an
 * older copy gives revisions out again in a higher era, so that points of any
 * two eras compare as one number. Era 0: the store states none.
 */
typedef uint64_t revision_t;

#define REVISION_ERA_BITS    16
#define REVISION_NUMBER_BITS (64 - REVISION_ERA_BITS)
#define REVISION_ERA_MAX     ((UINT64_C(1) << REVISION_ERA_BITS) - 1)
#define REVISION_NUMBER_MAX  ((UINT64_C(1) << REVISION_NUMBER_BITS) - 1)

/* To log a revision as ERA.NUMBER, with REVISION_ARGS(). */
#define REVISION_FMT	 "%lu.%lu"
#define REVISION_ARGS(r) revision_era(r), revision_number(r)

static inline revision_t revision_make(uint64_t era, uint64_t number)
{
	return (revision_t)(era << REVISION_NUMBER_BITS |
			    (number & REVISION_NUMBER_MAX));
}

static inline unsigned long revision_era(revision_t r)
{
	return (unsigned long)(r >> REVISION_NUMBER_BITS);
}

static inline unsigned long revision_number(revision_t r)
{
	return (unsigned long)(r & REVISION_NUMBER_MAX);
}

/** Identifies a request among nodes: the entry and its own counter. */
struct request_id {
	incarnation_t node;
	uint64_t counter;
};

static inline bool request_id_equal(struct request_id a, struct request_id b)
{
	return a.node == b.node && a.counter == b.counter;
}

#endif
