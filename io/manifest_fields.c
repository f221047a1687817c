#include "io/manifest_fields.h"

#include <stddef.h>
#include <string.h>

#define COUNT_OF(a)	     (sizeof(a) / sizeof(*(a)))
#define STR_OF(type, member) offsetof(type, member), sizeof(((type *)0)->member)

static const char *const kind_choices[] = {"keyed", "any", NULL};
static const char *const source_choices[] = {"header", "query", "path", NULL};
static const char *const dc_choices[] = {"in", "leaving", "out", NULL};

static const struct field route_fields[] = {
	{"name", FIELD_NAME, STR_OF(struct route, name), .required = true,
	 .help = "the route's name"},
	{"service", FIELD_NAME, STR_OF(struct route, service), .required = true,
	 .help = "the service of the upstreams"},
	{"path", FIELD_PATH, offsetof(struct route, path), .required = true,
	 .help = "prefix of the request paths that it matches"},
	{"kind", FIELD_CHOICE, offsetof(struct route, kind),
	 .choices = kind_choices, .required = true,
	 .help = "keyed: one owner for each key; any: any endpoint"},
	{"key_source", FIELD_CHOICE, offsetof(struct route, key.source),
	 .choices = source_choices, .help = "where a request carries its key",
	 .default_text = "header"},
	{"key_name", FIELD_NAME, STR_OF(struct route, key.name),
	 .help = "the header or query field of the key"},
	{"key_segment", FIELD_U32, offsetof(struct route, key.segment),
	 .max = 16, .help = "the path segment of the key, 0 the first"},
	{"shards", FIELD_U32, offsetof(struct route, shards), .min = 1,
	 .max = 65536,
	 .help = "number of shards that the keys are divided into",
	 .default_text = "16384"},
	{"idempotent", FIELD_FLAGS, offsetof(struct route, idempotent),
	 .choices = method_names,
	 .help = "methods that may run twice without harm",
	 .default_text = "GET HEAD OPTIONS PUT DELETE"},
	{"timeout_ms", FIELD_U64, offsetof(struct route, timeout_ms), .min = 1,
	 .max = 600000, .help = "deadline of a request that does not set one",
	 .default_text = "2000"},
	{"max_body_bytes", FIELD_U64, offsetof(struct route, max_body_bytes),
	 .max = 4 << 20, .help = "largest body of a request",
	 .default_text = "1048576"},
	{"home_regions", FIELD_NAMES, offsetof(struct route, home_regions),
	 .help = "regions its requests may be served, sent and kept in",
	 .default_text = "any"},
	{"objective_ppm", FIELD_U32, offsetof(struct route, objective_ppm),
	 .max = 1000000, .help = "objective: good requests per million",
	 .default_text = "999000"},
	{"objective_ms", FIELD_U64, offsetof(struct route, objective_ms),
	 .min = 1, .max = 600000,
	 .help = "time within which a good request ends",
	 .default_text = "100"},
};

static const struct field organisation_fields[] = {
	{"name", FIELD_NAME, STR_OF(struct organisation, name),
	 .required = true, .help = "the organisation's name"},
	{"home_regions", FIELD_NAMES,
	 offsetof(struct organisation, home_regions),
	 .help = "regions its requests may be served, sent and kept in",
	 .default_text = "any"},
	{"weight", FIELD_U32, offsetof(struct organisation, weight), .min = 1,
	 .max = 1000, .help = "share of a contended upstream",
	 .default_text = "1"},
};

static const struct field data_centre_fields[] = {
	{"name", FIELD_NAME, STR_OF(struct data_centre, name), .required = true,
	 .help = "the data centre's name"},
	{"region", FIELD_NAME, STR_OF(struct data_centre, region),
	 .required = true, .help = "the region it is in"},
	{"state", FIELD_CHOICE, offsetof(struct data_centre, state),
	 .choices = dc_choices,
	 .help = "whether it is in service, being emptied or out of service",
	 .default_text = "in"},
};

const struct field_table manifest_sections[SECTION_COUNT] = {
	[SECTION_DATA_CENTRE] = {.name = "data_centre",
				 .help = "One table `[[data_centre]]` for each "
					 "data centre that nodes run in.",
				 .fields = data_centre_fields,
				 .count = COUNT_OF(data_centre_fields)},
	[SECTION_ORGANISATION] = {.name = "organisation",
				  .help = "One table `[[organisation]]` for "
					  "each organisation with rules of its "
					  "own.",
				  .fields = organisation_fields,
				  .count = COUNT_OF(organisation_fields)},
	[SECTION_ROUTE] = {.name = "route",
			   .help = "One table `[[route]]` for each route; the "
				   "longest path prefix wins.",
			   .fields = route_fields,
			   .count = COUNT_OF(route_fields),
			   .required = true},
};

void *manifest_add(struct manifest *m, enum manifest_section s)
{
	switch (s) {
	case SECTION_DATA_CENTRE:
		return manifest_add_data_centre(m);
	case SECTION_ORGANISATION:
		return manifest_add_organisation(m);
	case SECTION_ROUTE:
		return manifest_add_route(m);
	case SECTION_COUNT:
		break;
	}
	return NULL;
}

static const void *find_by_name(const struct manifest *m,
				enum manifest_section s, const char *name)
{
	switch (s) {
	case SECTION_DATA_CENTRE:
		return manifest_data_centre(m, name);
	case SECTION_ORGANISATION:
		return manifest_organisation(m, name);
	case SECTION_ROUTE:
		return manifest_route(m, name);
	case SECTION_COUNT:
		break;
	}
	return NULL;
}

const void *manifest_find(const struct manifest *m, enum manifest_section s,
			  const char *name)
{
	return find_by_name(m, s, name);
}

static const struct list *section_list(const struct manifest *m,
				       enum manifest_section s)
{
	switch (s) {
	case SECTION_DATA_CENTRE:
		return &m->data_centres;
	case SECTION_ORGANISATION:
		return &m->organisations;
	case SECTION_ROUTE:
	case SECTION_COUNT:
		break;
	}
	return &m->routes;
}

/* The list link is the first member of each of these structs. */
const void *manifest_next(const struct manifest *m, enum manifest_section s,
			  const void *pos)
{
	const struct list *head = section_list(m, s);
	const struct list *at = pos ? pos : head;

	return at->next == head ? NULL : at->next;
}
