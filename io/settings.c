#include "io/settings.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/status.h"
#include "core/text.h"
#include "io/field.h"
#include "io/file.h"

#define STR_OF(member)                                                         \
	offsetof(struct settings, member),                                     \
		sizeof(((struct settings *)0)->member)

static const char *const level_choices[] = {"debug", "info", "warn", "error",
					    NULL};

static const struct field settings_fields[] = {
	{"name", FIELD_NAME, STR_OF(name), .help = "the node's name",
	 .default_text = "node"},
	{"data_centre", FIELD_NAME, STR_OF(dc),
	 .help = "the data centre the VM is in", .default_text = "dc"},
	{"region", FIELD_NAME, STR_OF(region),
	 .help = "the region of the data centre", .default_text = "region"},
	{"http_addr", FIELD_ADDR, STR_OF(http_addr),
	 .help = "where callers and the upstream reach the node",
	 .default_text = "127.0.0.1:7100"},
	{"peer_addr", FIELD_ADDR, STR_OF(peer_addr),
	 .help = "where other nodes reach the node",
	 .default_text = "127.0.0.1:7200"},
	{"store_addr", FIELD_ADDR, STR_OF(store_addr),
	 .help = "the platform's store", .default_text = "127.0.0.1:7000"},
	{"peer_public_key", FIELD_TEXT, STR_OF(peer_keys.public_key),
	 .help = "the fleet's CURVE key; without it peer traffic is not "
		 "encrypted",
	 .default_text = ""},
	{"peer_secret_key", FIELD_TEXT, STR_OF(peer_keys.secret_key),
	 .help = "the secret key that belongs to peer_public_key",
	 .default_text = ""},
	{"log_level", FIELD_CHOICE, offsetof(struct settings, log_level),
	 .choices = level_choices, .help = "the lowest level that is logged",
	 .default_text = "info"},
	{"max_body_bytes", FIELD_U64, offsetof(struct settings, max_body_bytes),
	 .min = 1024, .max = 4 << 20, .help = "largest body of a request",
	 .default_text = "1048576"},
	{"heartbeat_ms", FIELD_U64, offsetof(struct settings, heartbeat_ms),
	 .min = 20, .max = 5000, .help = "time between heartbeats",
	 .default_text = "250"},
	{"lease_ms", FIELD_U64, offsetof(struct settings, lease_ms), .min = 100,
	 .max = 60000, .help = "time for which a confirmed lease is valid",
	 .default_text = "1200"},
	{"detect_ms", FIELD_U64, offsetof(struct settings, detect_ms),
	 .min = 50, .max = 60000,
	 .help = "silence after which a node is revoked",
	 .default_text = "750"},
	{"store_outage_grace_ms", FIELD_U64,
	 offsetof(struct settings, store_outage_grace_ms), .min = 1000,
	 .max = 86400000,
	 .help = "time for which a keeper answers without the store",
	 .default_text = "7200000"},
	{"drift_ppm", FIELD_U64, offsetof(struct settings, drift_ppm), .min = 1,
	 .max = 100000, .help = "bound on the drift between two clocks",
	 .default_text = "10000"},
};

const struct field_table settings_table = {
	.name = "",
	.help = "A daemon's settings: TOML, all at the top level, all with a "
		"default.",
	.fields = settings_fields,
	.count = sizeof(settings_fields) / sizeof(*settings_fields),
};

char *settings_reference(void)
{
	char *table = field_table_page(&settings_table);
	char *page = text_new("# Settings of jackdawd\n\n"
			      "Made by `jackdaw reference settings`; a test "
			      "compares them.\n\n%s",
			      table);

	free(table);
	return page;
}

void settings_default(struct settings *s)
{
	const struct timing *t = &timing_default;

	memset(s, 0, sizeof(*s));
	mem_copy_str(s->name, "node", sizeof(s->name));
	mem_copy_str(s->dc, "dc", sizeof(s->dc));
	mem_copy_str(s->region, "region", sizeof(s->region));
	mem_copy_str(s->http_addr, "127.0.0.1:7100", sizeof(s->http_addr));
	mem_copy_str(s->peer_addr, "127.0.0.1:7200", sizeof(s->peer_addr));
	mem_copy_str(s->store_addr, "127.0.0.1:7000", sizeof(s->store_addr));
	s->log_level = LOG_INFO;
	s->max_body_bytes = 1 << 20;
	s->heartbeat_ms = t->heartbeat_ns / NS_PER_MS;
	s->lease_ms = t->lease_ns / NS_PER_MS;
	s->detect_ms = t->detect_ns / NS_PER_MS;
	s->store_outage_grace_ms = t->authority_ns / NS_PER_MS;
	s->drift_ppm = t->drift_ppm;
}

static void check_times(const struct settings *s, const struct toml_text *t,
			struct findings *f)
{
	if (s->lease_ms < 2 * s->heartbeat_ms)
		field_add_finding(f, t, "lease_ms", toml_find(t, "lease_ms"),
				  "at least two heartbeats", "less");
	if (s->detect_ms < 2 * s->heartbeat_ms)
		field_add_finding(f, t, "detect_ms", toml_find(t, "detect_ms"),
				  "at least two heartbeats", "less");
}

static void check_keys(const struct settings *s, const struct toml_text *t,
		       struct findings *f)
{
	const char *expected = peer_keys_check(&s->peer_keys);

	if (expected)
		field_add_finding(f, t, "peer_public_key",
				  toml_find(t, "peer_public_key"), expected,
				  "another pair");
}

void settings_read(struct settings *s, const char *path, struct findings *f)
{
	const struct field_table *ft = &settings_table;
	const struct toml_value *v;
	struct toml_text *t;
	struct status st;
	char *text = file_read(path, &st);

	if (!text) {
		findings_add(f, &(struct finding_opts){.file = path,
						       .field = "(file)",
						       .expected = "a file",
						       .found = st.msg});
		return;
	}
	t = toml_read(path, text, f);
	free(text);
	if (!t)
		return;
	field_read(ft->fields, ft->count, t, "", s, f);
	list_for_each_entry(v, &t->values, link)
		if (!field_find(ft, v->path))
			field_add_finding(f, t, v->path, v, "a known setting",
					  v->text);
	check_times(s, t, f);
	check_keys(s, t, f);
	toml_delete(t);
}

void settings_node_opts(const struct settings *s, uint64_t seed,
			struct node_opts *o)
{
	memset(o, 0, sizeof(*o));
	mem_copy_str(o->name, s->name, sizeof(o->name));
	mem_copy_str(o->dc, s->dc, sizeof(o->dc));
	mem_copy_str(o->region, s->region, sizeof(o->region));
	mem_copy_str(o->peer_addr, s->peer_addr, sizeof(o->peer_addr));
	mem_copy_str(o->http_addr, s->http_addr, sizeof(o->http_addr));
	o->timing = timing_default;
	o->timing.heartbeat_ns = s->heartbeat_ms * NS_PER_MS;
	o->timing.lease_ns = s->lease_ms * NS_PER_MS;
	o->timing.detect_ns = s->detect_ms * NS_PER_MS;
	o->timing.authority_ns = s->store_outage_grace_ms * NS_PER_MS;
	o->timing.drift_ppm = s->drift_ppm;
	o->seed = seed;
}
