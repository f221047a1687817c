/** Identifiers, limits and units shared by the core. */
#ifndef JD_CORE_TYPES_H
#define JD_CORE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define JD_NAME_MAX	 32  /* bytes, with the closing NUL */
#define JD_ADDR_MAX	 48  /* bytes, "ip:port" with the closing NUL */
#define JD_KEY_MAX	 256 /* bytes of a request's key */
#define JD_NODE_NAME_MAX 64  /* bytes, a node's name in a leased fleet */
#define JD_CALLER_ID_MAX 64  /* bytes, a caller's own id of a request */
#define JD_INSTANCE_MAX	 64  /* bytes, an upstream's name of its lifetime */

#define NS_PER_US UINT64_C(1000)
#define NS_PER_MS UINT64_C(1000000)
#define NS_PER_S  UINT64_C(1000000000)

/*
 * Times are nanoseconds on the process's monotonic clock, named *_ns or
 * *_deadline; they never leave the process except as an opaque echo.
 */

/**
 * A node's incarnation: random, new at every start, 0 for none. Owners are
 * incarnations, never names or addresses.
 */
typedef uint64_t incarnation_t;

/** A shard's owner changes only together with a rise of its epoch. */
typedef uint64_t epoch_t;

/** Revision of the store; each write of any document raises it. */
typedef uint64_t revision_t;

/** Identity of one request on its way: sender plus a counter. */
struct request_id {
	incarnation_t node;
	uint64_t counter;
};

static inline bool request_id_equal(struct request_id a, struct request_id b)
{
	return a.node == b.node && a.counter == b.counter;
}

#endif
