#include "io/manifest_reader.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/text.h"
#include "io/field.h"

#define PREFIX_MAX_BYTES     64
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
	{"path", FIELD_TEXT, STR_OF(struct route, path), .required = true,
	 .help = "prefix of the paths it takes"},
	{"kind", FIELD_CHOICE, offsetof(struct route, kind),
	 .choices = kind_choices, .required = true,
	 .help = "keyed: one owner a key; any: any endpoint"},
	{"key_source", FIELD_CHOICE, offsetof(struct route, key.source),
	 .choices = source_choices, .help = "where a request's key is",
	 .fallback = "header"},
	{"key_name", FIELD_NAME, STR_OF(struct route, key.name),
	 .help = "the header or query field of the key"},
	{"key_segment", FIELD_U32, offsetof(struct route, key.segment),
	 .max = 16, .help = "the path segment of the key, 0 the first"},
	{"shards", FIELD_U32, offsetof(struct route, shards), .min = 1,
	 .max = 65536, .help = "parts the keys are divided into",
	 .fallback = "16384"},
	{"timeout_ms", FIELD_U64, offsetof(struct route, timeout_ms), .min = 1,
	 .max = 600000, .help = "deadline of a request that names none",
	 .fallback = "2000"},
	{"max_body_bytes", FIELD_U64, offsetof(struct route, max_body_bytes),
	 .max = 4 << 20, .help = "largest body of a request",
	 .fallback = "1048576"},
	{"home_regions", FIELD_NAMES, offsetof(struct route, home_regions),
	 .help = "regions its requests may be served, sent and kept in",
	 .fallback = "any"},
	{"objective_ppm", FIELD_U32, offsetof(struct route, objective_ppm),
	 .max = 1000000, .help = "good requests out of a million",
	 .fallback = "999000"},
	{"objective_ms", FIELD_U64, offsetof(struct route, objective_ms),
	 .min = 1, .max = 600000, .help = "a good request ends within this",
	 .fallback = "100"},
};

static const struct field organisation_fields[] = {
	{"name", FIELD_NAME, STR_OF(struct organisation, name),
	 .required = true, .help = "the organisation's name"},
	{"home_regions", FIELD_NAMES,
	 offsetof(struct organisation, home_regions),
	 .help = "regions its requests may be served, sent and kept in",
	 .fallback = "any"},
	{"weight", FIELD_U32, offsetof(struct organisation, weight), .min = 1,
	 .max = 1000, .help = "share of a contended upstream", .fallback = "1"},
};

static const struct field data_centre_fields[] = {
	{"name", FIELD_NAME, STR_OF(struct data_centre, name), .required = true,
	 .help = "the data centre's name"},
	{"region", FIELD_NAME, STR_OF(struct data_centre, region),
	 .required = true, .help = "the region it is in"},
	{"state", FIELD_CHOICE, offsetof(struct data_centre, state),
	 .choices = dc_choices, .help = "whether it takes work",
	 .fallback = "in"},
};

static bool has_prefix(const struct toml_text *t, const char *prefix)
{
	const struct toml_value *v;

	list_for_each_entry(v, &t->values, link)
		if (!strncmp(v->path, prefix, strlen(prefix)))
			return true;
	return false;
}

static void read_routes(struct manifest *m, const struct toml_text *t,
			struct findings *f)
{
	char prefix[PREFIX_MAX_BYTES];

	for (int i = 0;; i++) {
		struct route *r;

		text_format(prefix, sizeof(prefix), "route[%d].", i);
		if (!has_prefix(t, prefix))
			return;
		r = manifest_add_route(m);
		field_read(route_fields, COUNT_OF(route_fields), t, prefix, r,
			   f);
	}
}

static void read_organisations(struct manifest *m, const struct toml_text *t,
			       struct findings *f)
{
	char prefix[PREFIX_MAX_BYTES];

	for (int i = 0;; i++) {
		text_format(prefix, sizeof(prefix), "organisation[%d].", i);
		if (!has_prefix(t, prefix))
			return;
		field_read(organisation_fields, COUNT_OF(organisation_fields),
			   t, prefix, manifest_add_organisation(m), f);
	}
}

static void read_data_centres(struct manifest *m, const struct toml_text *t,
			      struct findings *f)
{
	char prefix[PREFIX_MAX_BYTES];

	for (int i = 0;; i++) {
		text_format(prefix, sizeof(prefix), "data_centre[%d].", i);
		if (!has_prefix(t, prefix))
			return;
		field_read(data_centre_fields, COUNT_OF(data_centre_fields), t,
			   prefix, manifest_add_data_centre(m), f);
	}
}

struct manifest *manifest_read(const char *file, const char *text,
			       struct findings *f)
{
	struct toml_text *t = toml_read(file, text, f);
	struct manifest *m;

	if (!t)
		return NULL;
	m = manifest_new();
	read_data_centres(m, t, f);
	read_organisations(m, t, f);
	read_routes(m, t, f);
	if (list_empty(&m->routes))
		field_finding(f, t, "route", NULL, "at least one route",
			      "none");
	toml_delete(t);
	if (!f->count)
		return m;
	manifest_delete(m);
	return NULL;
}
