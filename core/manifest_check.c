#include "core/manifest_check.h"

#include <string.h>

#include "core/text.h"

static void report(struct findings *f, const char *field, const char *expected,
		   const char *found)
{
	findings_add(f, &(struct finding_opts){.field = field,
					       .expected = expected,
					       .found = found});
}

/* Adds a finding for the field @name of the @i-th table of @section. */
static void report_at(struct findings *f, const char *section, int i,
		      const char *name, const char *expected, const char *found)
{
	char field[FINDING_PATH_MAX];

	text_format(field, sizeof(field), "%s[%d].%s", section, i, name);
	report(f, field, expected, found);
}

static bool region_exists(const struct manifest *m, const char *region)
{
	const struct data_centre *d;

	list_for_each_entry(d, &m->data_centres, link)
		if (!strcmp(d->region, region))
			return true;
	return false;
}

/*
 * True when one of the regions in @set has a data centre in service. A data
 * centre that the manifest does not list is in service.
 */
static bool some_dc_in_service(const struct manifest *m,
			       const struct region_set *set)
{
	const struct data_centre *d;

	if (list_empty(&m->data_centres))
		return !set->count;
	list_for_each_entry(d, &m->data_centres, link)
		if (d->state == DC_IN && region_set_allows(set, d->region))
			return true;
	return false;
}

static void check_regions(const struct manifest *m,
			  const struct region_set *set, const char *section,
			  int i, struct findings *f)
{
	bool all_known = true;

	for (uint32_t k = 0; k < set->count; k++) {
		char name[JD_NAME_MAX];

		if (region_exists(m, set->names[k]))
			continue;
		text_format(name, sizeof(name), "home_regions[%u]", k);
		report_at(f, section, i, name, "a region of a data centre",
			  set->names[k]);
		all_known = false;
	}
	if (all_known && set->count && !some_dc_in_service(m, set))
		report_at(f, section, i, "home_regions",
			  "a data centre in state in, in one of the regions",
			  "none");
}

static void check_data_centres(const struct manifest *m, struct findings *f)
{
	const struct data_centre *d, *first;
	int i = 0;

	list_for_each_entry(d, &m->data_centres, link) {
		first = manifest_data_centre(m, d->name);
		if (first != d)
			report_at(f, "data_centre", i, "name", "a unique name",
				  d->name);
		i++;
	}
}

static void check_organisations(const struct manifest *m, struct findings *f)
{
	const struct organisation *o;
	int i = 0;

	list_for_each_entry(o, &m->organisations, link) {
		if (manifest_organisation(m, o->name) != o)
			report_at(f, "organisation", i, "name", "a unique name",
				  o->name);
		check_regions(m, &o->home_regions, "organisation", i, f);
		i++;
	}
}

static bool is_first_with_path(const struct manifest *m, const struct route *r)
{
	const struct route *it;

	list_for_each_entry(it, &m->routes, link) {
		if (it == r)
			return true;
		if (!strcmp(it->path, r->path))
			return false;
	}
	return true;
}

static void check_key(const struct route *r, int i, struct findings *f)
{
	if (r->kind == ROUTE_KEYED && r->key.source != KEY_PATH &&
	    !r->key.name[0])
		report_at(f, "route", i, "key_name",
			  "the name of the header or query field", "none");
}

static void check_route(const struct manifest *m, const struct route *r, int i,
			struct findings *f)
{
	if (manifest_route(m, r->name) != r)
		report_at(f, "route", i, "name", "a unique name", r->name);
	if (!is_first_with_path(m, r))
		report_at(f, "route", i, "path", "a unique path", r->path);
	check_key(r, i, f);
	check_regions(m, &r->home_regions, "route", i, f);
	if (r->objective_ms > r->timeout_ms)
		report_at(f, "route", i, "objective_ms", "at most timeout_ms",
			  "a longer time");
	if (!r->home_regions.count && !some_dc_in_service(m, &r->home_regions))
		report_at(f, "route", i, "name", "a data centre in state in",
			  "none");
}

static void check_routes(const struct manifest *m, struct findings *f)
{
	const struct route *r;
	int i = 0;

	list_for_each_entry(r, &m->routes, link)
		check_route(m, r, i++, f);
	if (!i)
		report(f, "route", "at least one route", "none");
}

/* The shard map of a running route depends on its kind and shard count. */
static void check_route_changes(const struct manifest *m,
				const struct manifest *old, struct findings *f)
{
	const struct route *r, *old_route;
	int i = 0;

	list_for_each_entry(r, &m->routes, link) {
		old_route = manifest_route(old, r->name);
		if (old_route && old_route->kind != r->kind)
			report_at(f, "route", i, "kind",
				  "the kind in force, or a new route name",
				  "another kind");
		if (old_route && old_route->kind == ROUTE_KEYED &&
		    old_route->shards != r->shards)
			report_at(f, "route", i, "shards",
				  "the number in force, or a new route name",
				  "another number");
		i++;
	}
}

static void check_region_changes(const struct manifest *m,
				 const struct manifest *old, struct findings *f)
{
	const struct data_centre *d, *old_dc;
	int i = 0;

	list_for_each_entry(d, &m->data_centres, link) {
		old_dc = manifest_data_centre(old, d->name);
		if (old_dc && strcmp(old_dc->region, d->region) != 0)
			report_at(f, "data_centre", i, "region", old_dc->region,
				  d->region);
		i++;
	}
}

/* A data centre may be removed from the manifest only once it is DC_OUT. */
static void check_removed_data_centres(const struct manifest *m,
				       const struct manifest *old,
				       struct findings *f)
{
	const struct data_centre *d;

	list_for_each_entry(d, &old->data_centres, link)
		if (d->state != DC_OUT && !manifest_data_centre(m, d->name))
			report(f, "data_centre",
			       "state out in force before it is removed",
			       d->name);
}

void manifest_check(const struct manifest *m, const struct manifest *in_force,
		    struct findings *f)
{
	check_data_centres(m, f);
	check_organisations(m, f);
	check_routes(m, f);
	if (!in_force)
		return;
	check_route_changes(m, in_force, f);
	check_region_changes(m, in_force, f);
	check_removed_data_centres(m, in_force, f);
}

/* Number of running nodes that may serve @route under @m. */
static uint32_t count_serving_nodes(const struct manifest *m,
				    const struct route *route,
				    const struct view *fleet)
{
	const struct doc *d = NULL;
	uint32_t n = 0;

	while ((d = view_next(fleet, DOC_ROSTER, d))) {
		const struct roster *r = d->u.roster;
		const struct data_centre *dc = manifest_data_centre(m, r->dc);
		const struct member *it;

		if ((dc && dc->state != DC_IN) ||
		    !region_set_allows(&route->home_regions, r->region))
			continue;
		list_for_each_entry(it, &r->members, link)
			n += it->state == MEMBER_UP &&
			     !strcmp(it->service, route->service);
	}
	return n;
}

void manifest_check_serving_nodes(const struct manifest *m,
				  const struct view *fleet, struct findings *f)
{
	const struct manifest *old = view_manifest(fleet);
	const struct route *r, *old_route;
	int i = 0;

	list_for_each_entry(r, &m->routes, link) {
		old_route = old ? manifest_route(old, r->name) : NULL;
		if (old_route && count_serving_nodes(old, old_route, fleet) &&
		    !count_serving_nodes(m, r, fleet))
			report_at(f, "route", i, "service",
				  "a running node of the service in a data "
				  "centre that may serve the route",
				  "none after this change");
		i++;
	}
}
