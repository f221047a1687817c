#include "core/home_region.h"

enum refusal home_find(struct home *h, const struct manifest *m,
		       const char *route, const char *organisation)
{
	h->organisation = NULL;
	h->route = manifest_route(m, route);
	if (!h->route)
		return REFUSAL_NO_ROUTE;
	if (!organisation[0] || list_empty(&m->organisations))
		return REFUSAL_NONE;
	h->organisation = manifest_organisation(m, organisation);
	return h->organisation ? REFUSAL_NONE : REFUSAL_NO_ORGANISATION;
}

bool home_allows(const struct home *h, const char *region)
{
	if (!region_set_allows(&h->route->home_regions, region))
		return false;
	return !h->organisation ||
	       region_set_allows(&h->organisation->home_regions, region);
}

/* The first region of @set that home_allows() accepts; NULL for none. */
static const char *first_allowed(const struct region_set *set,
				 const struct home *h)
{
	for (uint32_t i = 0; i < set->count; i++)
		if (home_allows(h, set->names[i]))
			return set->names[i];
	return NULL;
}

const char *home_allowed_region(const struct home *h)
{
	const char *region = first_allowed(&h->route->home_regions, h);

	if (region || !h->organisation)
		return region;
	return first_allowed(&h->organisation->home_regions, h);
}
