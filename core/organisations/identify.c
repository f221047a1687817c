#include "core/organisations/identify.h"

#include <string.h>

#include "core/organisations/api_keys.h"

/* Ranks of routes within one rank of organisations. */
#define ROUTE_RANKS	      4u
#define ORGANISATION_RANK_MAX 0xffffu

static void remove_credentials(struct caller_request *r)
{
	struct payload *p = &r->request->payload;

	payload_drop_header(p, "Authorization");
	if (r->organisation_header)
		payload_drop_header(p, r->organisation_header);
	if (r->api_key)
		memset(r->api_key, 0, strlen(r->api_key));
}

/* A key that was sent has to be known on open routes, too. */
static enum refusal find_organisation(const struct manifest *m,
				      const struct caller_request *r,
				      struct request_rules *rules)
{
	bool sent = r->bad_api_key || (r->api_key && r->api_key[0]);

	if (!sent && rules->route->open)
		return REFUSAL_NONE;
	if (sent && !r->bad_api_key)
		rules->organisation = api_keys_find(m, r->api_key);
	return rules->organisation ? REFUSAL_NONE : REFUSAL_UNKNOWN_API_KEY;
}

/*
 * The organisation's priority goes first; among equals the route's decides. An
 * organisation without one has that of the route.
 */
static uint32_t rank_of(const struct route *route, const struct organisation *o)
{
	uint32_t first = o && o->has_priority ? o->priority : route->priority;
	uint32_t then = route->priority;

	if (first > ORGANISATION_RANK_MAX)
		first = ORGANISATION_RANK_MAX;
	if (then > ROUTE_RANKS - 1)
		then = ROUTE_RANKS - 1;
	return first * ROUTE_RANKS + then;
}

enum refusal identify_caller(const struct manifest *m, struct caller_request *r,
			     struct request_rules *rules)
{
	const struct route *route = rules->route;
	const struct organisation *o;
	enum refusal why;

	rules->organisation = NULL;
	rules->regions = route->home_regions;
	rules->priority = route->priority;
	if (!m->api_keys_required)
		return REFUSAL_NONE;
	why = find_organisation(m, r, rules);
	remove_credentials(r);
	o = rules->organisation;
	rules->priority = rank_of(route, o);
	if (!o)
		return why;
	return region_set_intersect(&route->home_regions, &o->home_regions,
				    &rules->regions)
		       ? REFUSAL_NONE
		       : REFUSAL_NO_COMMON_REGION;
}

const char *rules_organisation(const struct request_rules *rules)
{
	return rules->organisation ? organisation_full_name(rules->organisation)
				   : "";
}
