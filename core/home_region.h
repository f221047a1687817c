/**
 * The regions that a request is bound to: the home regions of its route and
 * of its organisation.
 */
#ifndef JD_CORE_HOME_REGION_H
#define JD_CORE_HOME_REGION_H

#include "core/manifest.h"
#include "core/refusal.h"

/** @organisation is NULL when none binds the request. */
struct home {
	const struct route *route;
	const struct organisation *organisation;
};

/**
 * Fills @h from the names of a route and an organisation (empty for none).
 * Returns REFUSAL_NO_ROUTE for an unknown route, and REFUSAL_NO_ORGANISATION
 * for an unknown organisation when @m declares any. @h points into @m.
 */
enum refusal home_find(struct home *h, const struct manifest *m,
		       const char *route, const char *organisation);

/** True when the request may be forwarded to, served and held in @region. */
bool home_allows(const struct home *h, const char *region);

/**
 * The first home region that the request is allowed in. NULL when none binds
 * it, or when route and organisation have no region in common.
 */
const char *home_allowed_region(const struct home *h);

#endif
