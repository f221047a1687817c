/** What an entry makes of a new request, and tells a refused one, under load.
 */
#ifndef JD_CORE_LOAD_ARRIVAL_H
#define JD_CORE_LOAD_ARRIVAL_H

#include "core/gatekeeper.h"
#include "core/load/comeback.h"
#include "core/pending.h"

struct arrivals {
	struct comebacks comebacks;
	uint64_t calls; /* that got the rank of their run */
};

/**
 * Sets how long @p may be held until there is a gate for it. Under heavy load
 * also sets the rank of a call to its run's, and counts the objective of a
 * caller that comes back from its first attempt. @caller_deadline_ns: 0 if none
 * was given; @internal: only upstreams call the route of @p.
 */
void arrival_assess(struct arrivals *ar, const struct mesh_ctx *c,
		    const struct gatekeeper *g, uint64_t caller_deadline_ns,
		    bool internal, struct pending_request *p);

/** Retry-After in ns of @p, which has not run. */
uint64_t arrival_retry_after_ns(struct mesh_ctx *c,
				const struct pending_request *p);

#endif
