#include "io/manifest_reader.h"

#include <stdlib.h>
#include <string.h>

#include "core/manifest_check.h"
#include "core/mem.h"
#include "core/text.h"
#include "io/field.h"
#include "io/manifest_fields.h"

#define PREFIX_MAX_BYTES 64

static void read_section(struct manifest *m, enum manifest_section s,
			 const struct toml_text *t, struct findings *f)
{
	const struct field_table *ft = &manifest_sections[s];
	char path[PREFIX_MAX_BYTES];

	for (int i = 0;; i++) {
		const struct toml_value *v;

		text_format(path, sizeof(path), "%s[%d]", ft->name, i);
		v = toml_find(t, path);
		if (!v)
			break;
		if (v->type != TOML_TABLE) {
			field_finding(f, t, path, v, "a table", v->text);
			continue;
		}
		text_format(path, sizeof(path), "%s[%d].", ft->name, i);
		field_read(ft->fields, ft->count, t, path, manifest_add(m, s),
			   f);
	}
	if (ft->required && !toml_find(t, ft->name))
		field_finding(f, t, ft->name, NULL, "at least one table",
			      "none");
}

/* What follows "SECTION[N]" in @path; NULL when it doesn't start so. */
static const char *after_index(const char *path, const char *section)
{
	size_t len = strlen(section);

	if (strncmp(path, section, len) != 0 || path[len] != '[')
		return NULL;
	path = strchr(path, ']');
	return path ? path + 1 : NULL;
}

/* True for the path of a table, one of its fields or their items. */
static bool known_in(const struct field_table *ft, const char *path)
{
	const char *rest = after_index(path, ft->name);
	char name[JD_NAME_MAX];
	size_t len;

	if (!strcmp(path, ft->name) || (rest && !*rest))
		return true;
	if (!rest || *rest != '.')
		return false;
	rest++;
	len = strcspn(rest, ".[");
	if (len >= sizeof(name))
		return false;
	memcpy(name, rest, len);
	name[len] = '\0';
	return field_find(ft, name) != NULL;
}

static void check_unknown(const struct toml_text *t, struct findings *f)
{
	const struct toml_value *v;

	list_for_each_entry(v, &t->values, link) {
		bool known = false;

		for (size_t i = 0; i < SECTION_COUNT; i++)
			known |= known_in(&manifest_sections[i], v->path);
		if (!known)
			field_finding(f, t, v->path, v, "a known field",
				      v->text);
	}
	for (size_t i = 0; i < SECTION_COUNT; i++) {
		v = toml_find(t, manifest_sections[i].name);
		if (v && v->type != TOML_ARRAY)
			field_finding(f, t, v->path, v, "an array of tables",
				      v->text);
	}
}

/* The value at @path or the nearest one round it; NULL for none. */
static const struct toml_value *nearest(const struct toml_text *t, char *path)
{
	for (;;) {
		const struct toml_value *v = toml_find(t, path);
		char *dot = strrchr(path, '.');

		if (v || !dot)
			return v;
		*dot = '\0';
	}
}

static bool has_finding_below(const struct findings *f, const char *prefix,
			      size_t len)
{
	const struct finding *it;

	list_for_each_entry(it, &f->items, link)
		if (!strncmp(it->field, prefix, len))
			return true;
	return false;
}

/* A check across fields says nothing true while one of them is broken. */
static bool is_consequence(const struct finding *it, const struct findings *f)
{
	const char *dot = strchr(it->field, '.');
	size_t len = dot ? (size_t)(dot - it->field) : strlen(it->field);

	return has_finding_below(f, "data_centre", strlen("data_centre")) ||
	       has_finding_below(f, it->field, len);
}

/* Gives findings of the core the file and the place of their field. */
static void add_places(const struct findings *from, const struct toml_text *t,
		       struct findings *to)
{
	const struct finding *it;
	struct findings fields;

	findings_init(&fields);
	list_splice_back(&fields.items, &to->items);
	list_for_each_entry(it, &from->items, link) {
		char path[FINDING_PATH_MAX];

		if (is_consequence(it, &fields))
			continue;
		mem_copy_str(path, it->field, sizeof(path));
		field_finding(to, t, it->field, nearest(t, path), it->expected,
			      it->found);
	}
	list_splice_back(&fields.items, &to->items);
	list_splice_back(&to->items, &fields.items);
}

static void check_whole(const struct manifest *m, const struct view *fleet,
			const struct toml_text *t, struct findings *f)
{
	struct findings found;

	findings_init(&found);
	manifest_check(m, fleet ? view_manifest(fleet) : NULL, &found);
	if (fleet)
		manifest_check_serving_nodes(m, fleet, &found);
	add_places(&found, t, f);
	findings_done(&found);
}

struct manifest *manifest_read_change(const char *file, const char *text,
				      const struct view *fleet,
				      struct findings *f)
{
	struct toml_text *t = toml_read(file, text, f);
	struct manifest *m;

	if (!t)
		return NULL;
	m = manifest_new();
	for (size_t i = 0; i < SECTION_COUNT; i++)
		read_section(m, (enum manifest_section)i, t, f);
	check_unknown(t, f);
	check_whole(m, fleet, t, f);
	toml_delete(t);
	if (!f->count)
		return m;
	manifest_delete(m);
	return NULL;
}

struct manifest *manifest_read(const char *file, const char *text,
			       struct findings *f)
{
	return manifest_read_change(file, text, NULL, f);
}

char *manifest_reference(void)
{
	char *page = text_new("%s", "# The manifest\n\n"
				    "Made by `jackdaw reference manifest`; a "
				    "test compares them.\n");

	for (size_t i = 0; i < SECTION_COUNT; i++) {
		char *part = field_table_page(&manifest_sections[i]);
		char *next = text_new("%s\n## `[[%s]]`\n\n%s", page,
				      manifest_sections[i].name, part);

		free(part);
		free(page);
		page = next;
	}
	return page;
}
