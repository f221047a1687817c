/** Home regions of one request: its route's and its organisation's. */
#ifndef JD_CORE_HOME_REGION_H
#define JD_CORE_HOME_REGION_H

#include "core/manifest.h"
#include "core/refusal.h"

/** What binds one request; @organisation is NULL when it names none. */
struct home {
	const struct route *route;
	const struct organisation *organisation;
};

/**
 * Finds route and organisation (empty for none) by name. Fails with
 * REFUSAL_NO_ROUTE, or with REFUSAL_NO_ORGANISATION for a name that @m does
 * not have although it declares organisations.
 */
enum refusal home_find(struct home *h, const struct manifest *m,
		       const char *route, const char *organisation);

/** True when the request may be served, sent and kept in @region. */
bool home_allows(const struct home *h, const char *region);

/** A region that the request may go to; NULL when it is not bound. */
const char *home_allowed_region(const struct home *h);

#endif
