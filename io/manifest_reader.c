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
			field_add_finding(f, t, path, v, "a table", v->text);
			continue;
		}
		text_format(path, sizeof(path), "%s[%d].", ft->name, i);
		field_read(ft->fields, ft->count, t, path, manifest_add(m, s),
			   f);
	}
	if (ft->required && !toml_find(t, ft->name))
		field_add_finding(f, t, ft->name, NULL, "at least one table",
				  "none");
}

/* The rest of @path after "SECTION[N]"; NULL if it has no such prefix. */
static const char *after_index(const char *path, const char *section)
{
	size_t len = strlen(section);

	if (strncmp(path, section, len) != 0 || path[len] != '[')
		return NULL;
	path = strchr(path, ']');
	return path ? path + 1 : NULL;
}

/* True for the path of the table, of its fields and of their items. */
static bool is_known_path(const struct field_table *ft, const char *path)
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

static void check_unknown_fields(const struct toml_text *t, struct findings *f)
{
	const struct toml_value *v;

	list_for_each_entry(v, &t->values, link) {
		bool known = false;

		for (size_t i = 0; i < SECTION_COUNT; i++)
			known |= is_known_path(&manifest_sections[i], v->path);
		if (!known)
			field_add_finding(f, t, v->path, v, "a known field",
					  v->text);
	}
	for (size_t i = 0; i < SECTION_COUNT; i++) {
		v = toml_find(t, manifest_sections[i].name);
		if (v && v->type != TOML_ARRAY)
			field_add_finding(f, t, v->path, v,
					  "an array of tables", v->text);
	}
}

/* The value at @path, else the innermost table around it; else NULL. */
static const struct toml_value *find_enclosing(const struct toml_text *t,
					       char *path)
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

/*
 * A check that combines fields is meaningless while one of them is invalid.
 * Such a finding is dropped: the invalid field has a finding of its own.
 */
static bool is_consequence(const struct finding *it, const struct findings *f)
{
	const char *dot = strchr(it->field, '.');
	size_t len = dot ? (size_t)(dot - it->field) : strlen(it->field);

	return has_finding_below(f, "data_centre", strlen("data_centre")) ||
	       has_finding_below(f, it->field, len);
}

/* Adds the findings of the core with the file and position of their fields. */
static void add_with_positions(const struct findings *from,
			       const struct toml_text *t, struct findings *to)
{
	const struct finding *it;
	struct findings field_findings;

	findings_init(&field_findings);
	list_splice_back(&field_findings.items, &to->items);
	list_for_each_entry(it, &from->items, link) {
		char path[FINDING_PATH_MAX];

		if (is_consequence(it, &field_findings))
			continue;
		mem_copy_str(path, it->field, sizeof(path));
		field_add_finding(to, t, it->field, find_enclosing(t, path),
				  it->expected, it->found);
	}
	list_splice_back(&field_findings.items, &to->items);
	list_splice_back(&to->items, &field_findings.items);
}

static void check_manifest(const struct manifest *m, const struct view *fleet,
			   const struct toml_text *t, struct findings *f)
{
	struct findings manifest_findings;

	findings_init(&manifest_findings);
	manifest_check(m, fleet ? view_manifest(fleet) : NULL,
		       &manifest_findings);
	if (fleet)
		manifest_check_serving_nodes(m, fleet, &manifest_findings);
	add_with_positions(&manifest_findings, t, f);
	findings_done(&manifest_findings);
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
	check_unknown_fields(t, f);
	check_manifest(m, fleet, t, f);
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
