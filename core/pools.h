/**
 * The endpoints of each route that any may serve, with a balancer each. An
 * organisation with home regions has pools of its own: fewer may serve it.
 */
#ifndef JD_CORE_POOLS_H
#define JD_CORE_POOLS_H

#include "core/balancer.h"
#include "core/ctx.h"
#include "core/home_region.h"

struct pool {
	struct list link;		/* in pools.items */
	char organisation[JD_NAME_MAX]; /* empty: all that are not bound */
	revision_t revision; /* of the view that the endpoints are from */
	struct balancer balancer;
};

struct pools {
	struct list items; /* of struct pool */
};

void pools_init(struct pools *p);
void pools_done(struct pools *p);

/** The pool for requests under @home; lives as long as @p. */
struct pool *pools_get(struct pools *p, struct ctx *c, const struct home *home);

#endif
