#include "core/config_lint.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core/mem.h"
#include "core/text.h"

static void report(struct findings *f, const char *section, int i,
		   const char *name, const char *expected, const char *found)
{
	char field[FINDING_PATH_MAX];

	text_format(field, sizeof(field), "%s[%d].%s", section, i, name);
	findings_add(f, &(struct finding_opts){.field = field,
					       .expected = expected,
					       .found = found});
}

static void lint_service(const struct manifest *m, const char *service, int i,
			 const char *field, struct findings *f)
{
	if (!manifest_service(m, service))
		report(f, "route", i, field, "a service of the manifest",
		       service);
}

static void lint_split(const struct manifest *m, const struct route *r, int i,
		       struct findings *f)
{
	char field[32];

	for (uint32_t k = 0; k < r->split_count; k++) {
		const struct split *s = &r->splits[k];

		text_format(field, sizeof(field), "splits[%u].service", k);
		lint_service(m, s->service, i, field, f);
		for (uint32_t j = 0; j < k; j++)
			if (!strcmp(r->splits[j].service, s->service))
				report(f, "route", i, field,
				       "each service once", s->service);
		text_format(field, sizeof(field), "splits[%u].weight", k);
		if (!s->weight)
			report(f, "route", i, field,
			       "a weight above 0, or no such part", "0");
	}
}

/* The first of two routes with the same host and prefix gets all requests. */
static bool is_shadowed(const struct manifest *m, const struct route *r)
{
	const struct route *it;

	list_for_each_entry(it, &m->routes, link) {
		if (it == r)
			return false;
		if (!strcmp(it->path, r->path) &&
		    (!it->host[0] || !strcasecmp(it->host, r->host)))
			return true;
	}
	return false;
}

static void lint_limits(const struct route *r, int i, struct findings *f)
{
	if (!r->timeout_ms)
		report(f, "route", i, "timeout_ms", "a time above 0", "0");
	if (r->objective_ms > r->timeout_ms)
		report(f, "route", i, "objective_ms", "at most timeout_ms",
		       "a longer time");
	if (!r->max_attempts)
		report(f, "route", i, "max_attempts", "at least 1",
		       "0 or none");
}

static void lint_route(const struct manifest *m, const struct route *r, int i,
		       struct findings *f)
{
	if (r->invalid)
		report(f, "route", i, "name", "a route that can be served",
		       r->name);
	if (manifest_route(m, r->name) != r)
		report(f, "route", i, "name", "a unique name", r->name);
	if (r->path[0] != '/')
		report(f, "route", i, "path", "a prefix that begins with /",
		       r->path);
	if (is_shadowed(m, r))
		report(f, "route", i, "path",
		       "a host and prefix of no route before it", r->path);
	if (!r->split_count)
		lint_service(m, r->service, i, "service", f);
	lint_split(m, r, i, f);
	lint_limits(r, i, f);
}

static bool have_common_region(const struct region_set *a,
			       const struct region_set *b)
{
	if (!a->count || !b->count)
		return true;
	for (uint32_t i = 0; i < a->count; i++)
		if (region_set_allows(b, a->names[i]))
			return true;
	return false;
}

/* True if some route needs an API key and has a region of @o. */
static bool has_route(const struct manifest *m, const struct organisation *o)
{
	const struct route *r;

	list_for_each_entry(r, &m->routes, link)
		if (!r->open &&
		    have_common_region(&r->home_regions, &o->home_regions))
			return true;
	return false;
}

/* True if an organisation before @o, or a key before @key, has its text. */
static bool is_key_taken(const struct manifest *m, const struct organisation *o,
			 const struct api_key *key)
{
	const struct organisation *it;
	const struct api_key *k;

	list_for_each_entry(it, &m->organisations, link) {
		list_for_each_entry(k, &it->api_keys, link) {
			if (k == key)
				return false;
			if (!strcmp(k->text, key->text))
				return true;
		}
		if (it == o)
			break;
	}
	return false;
}

/* A key is a secret: a finding names its position only. */
static void lint_keys(const struct manifest *m, const struct organisation *o,
		      int i, struct findings *f)
{
	const struct api_key *k;
	char field[32];
	int n = 0;

	if (list_empty(&o->api_keys))
		report(f, "organisation", i, "api_keys", "a key", "none");
	list_for_each_entry(k, &o->api_keys, link) {
		text_format(field, sizeof(field), "api_keys[%d]", n++);
		if (is_key_taken(m, o, k))
			report(f, "organisation", i, field, "a unique key",
			       "one that is listed before");
	}
}

static void lint_organisation(const struct manifest *m,
			      const struct organisation *o, int i,
			      struct findings *f)
{
	if (manifest_organisation(m, o->name) != o)
		report(f, "organisation", i, "name", "a unique name", o->name);
	lint_keys(m, o, i, f);
	if (!has_route(m, o))
		report(f, "organisation", i, "name",
		       "a route that needs a key and has one of its regions",
		       "none");
	if (o->burst > 0 && o->rate_per_s <= 0)
		report(f, "organisation", i, "burst", "a rate beside it",
		       "none");
}

static bool is_routed_to(const struct manifest *m, const char *service)
{
	const struct route *r;

	list_for_each_entry(r, &m->routes, link) {
		if (!r->split_count && !strcmp(r->service, service))
			return true;
		for (uint32_t k = 0; k < r->split_count; k++)
			if (r->splits[k].weight &&
			    !strcmp(r->splits[k].service, service))
				return true;
	}
	return false;
}

static void lint_services(const struct manifest *m, struct findings *f)
{
	const struct service *s;
	int i = 0;

	list_for_each_entry(s, &m->services, link) {
		if (manifest_service(m, s->name) != s)
			report(f, "service", i, "name", "a unique name",
			       s->name);
		else if (!is_routed_to(m, s->name))
			report(f, "service", i, "name", "a route to it",
			       "none");
		i++;
	}
}

static void set_file(struct findings *f, const char *file)
{
	struct finding *it;

	list_for_each_entry(it, &f->items, link) {
		if (it->file[0])
			continue;
		free(it->file);
		it->file = mem_dup(file, strlen(file));
	}
}

void config_lint(const struct manifest *m, const char *file, struct findings *f)
{
	const struct organisation *o;
	const struct route *r;
	int i = 0;

	list_for_each_entry(r, &m->routes, link)
		lint_route(m, r, i++, f);
	i = 0;
	list_for_each_entry(o, &m->organisations, link)
		lint_organisation(m, o, i++, f);
	lint_services(m, f);
	set_file(f, file);
}
