/**
 * One pool of endpoints, with a balancer, for each route of kind ROUTE_ANY. An
 * organisation with home regions has pools of its own, since fewer endpoints
 * may serve it.
 */
#ifndef JD_CORE_POOLS_H
#define JD_CORE_POOLS_H

#include "core/balancer.h"
#include "core/ctx.h"
#include "core/home_region.h"

struct pool {
	struct list link;		/* in pools.items */
	char organisation[JD_NAME_MAX]; /* empty: no home regions */
	revision_t revision; /* of the view that the endpoints come from */
	struct balancer balancer;
};

struct pools {
	struct list items; /* of struct pool */
};

void pools_init(struct pools *p);
void pools_done(struct pools *p);

/**
 * The pool for the route and organisation of @home, created if needed and
 * updated to the present view. Owned by @p until pools_done().
 */
struct pool *pools_get(struct pools *p, struct ctx *c, const struct home *home);

#endif
