#include "io/field.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "core/manifest.h"
#include "core/mem.h"
#include "core/text.h"

#define TEXT_MAX_BYTES 128

/* Holds a description of a field's valid values. */
struct text_buf {
	char s[TEXT_MAX_BYTES];
};

void field_add_finding(struct findings *f, const struct toml_text *t,
		       const char *path, const struct toml_value *v,
		       const char *expected, const char *found)
{
	findings_add(f, &(struct finding_opts){
				.file = t->file,
				.line = v ? v->line : 0,
				.column = v ? v->column : 0,
				.field = path,
				.expected = expected,
				.found = found,
			});
}

static bool is_name(const char *s)
{
	if (!*s)
		return false;
	for (; *s; s++)
		if (!isalnum((unsigned char)*s) && !strchr("-_.", *s))
			return false;
	return true;
}

static bool is_path(const char *s)
{
	if (*s != '/')
		return false;
	for (; *s; s++)
		if (!isgraph((unsigned char)*s) || strchr("?#", *s))
			return false;
	return true;
}

static bool is_addr(const char *s)
{
	const char *colon = strrchr(s, ':');
	char *end;
	long port;

	if (!colon || colon == s)
		return false;
	port = strtol(colon + 1, &end, 10);
	return !*end && end != colon + 1 && port > 0 && port < 65536 &&
	       strspn(s, "0123456789.") == (size_t)(colon - s);
}

static const char *read_string(const struct field *fd,
			       const struct toml_value *v, char *dst)
{
	if (v->type != TOML_STRING)
		return "a string";
	if (fd->type == FIELD_NAME && !is_name(v->text))
		return "a name of letters, digits, '-', '_' and '.'";
	if (fd->type == FIELD_ADDR && !is_addr(v->text))
		return "an address such as 127.0.0.1:7000";
	if (strlen(v->text) >= fd->size)
		return "a shorter string";
	mem_copy_str(dst, v->text, fd->size);
	return NULL;
}

static const char *read_path(const struct toml_value *v, char **dst)
{
	if (v->type != TOML_STRING || !is_path(v->text))
		return "a path that starts with '/', without spaces or '?'";
	free(*dst);
	*dst = mem_dup(v->text, strlen(v->text));
	return NULL;
}

static const char *read_number(const struct field *fd,
			       const struct toml_value *v, void *dst,
			       struct text_buf *expected)
{
	uint64_t n = (uint64_t)v->integer;

	if (v->type != TOML_INTEGER || v->integer < 0 || n < fd->min ||
	    n > fd->max) {
		text_format(expected->s, sizeof(expected->s),
			    "an integer from %lu to %lu",
			    (unsigned long)fd->min, (unsigned long)fd->max);
		return expected->s;
	}
	if (fd->type == FIELD_U32)
		*(uint32_t *)dst = (uint32_t)n;
	else
		*(uint64_t *)dst = n;
	return NULL;
}

static void format_choices(const struct field *fd, const char *start,
			   struct text_buf *out)
{
	mem_copy_str(out->s, start, sizeof(out->s));
	for (int i = 0; fd->choices[i]; i++) {
		size_t len = strlen(out->s);

		text_format(out->s + len, sizeof(out->s) - len, " %s",
			    fd->choices[i]);
	}
}

/* Index of the choice that equals @v; -1 if there is none. */
static int choice_index(const struct field *fd, const struct toml_value *v)
{
	for (int i = 0; fd->choices[i]; i++)
		if (v->type == TOML_STRING && !strcmp(v->text, fd->choices[i]))
			return i;
	return -1;
}

static const char *read_choice(const struct field *fd,
			       const struct toml_value *v, int *dst,
			       struct text_buf *expected)
{
	int i = choice_index(fd, v);

	if (i >= 0) {
		*dst = i;
		return NULL;
	}
	format_choices(fd, "one of", expected);
	return expected->s;
}

static void read_name_item(const struct toml_text *t,
			   const struct toml_value *v, struct region_set *set,
			   struct findings *f)
{
	const uint32_t max = sizeof(set->names) / sizeof(set->names[0]);

	if (set->count >= max)
		field_add_finding(f, t, v->path, v, "at most 8 names", v->text);
	else if (v->type != TOML_STRING || !is_name(v->text) ||
		 strlen(v->text) >= JD_NAME_MAX)
		field_add_finding(f, t, v->path, v, "a name", v->text);
	else
		mem_copy_str(set->names[set->count++], v->text, JD_NAME_MAX);
}

static void read_flag_item(const struct field *fd, const struct toml_text *t,
			   const struct toml_value *v, uint32_t *mask,
			   struct findings *f)
{
	int i = choice_index(fd, v);
	struct text_buf expected;

	if (i >= 0) {
		*mask |= 1u << i;
		return;
	}
	format_choices(fd, "one of", &expected);
	field_add_finding(f, t, v->path, v, expected.s, v->text);
}

static void read_array(const struct field *fd, const struct toml_text *t,
		       const struct toml_value *array, char *dst,
		       struct findings *f)
{
	if (array->type != TOML_ARRAY) {
		field_add_finding(f, t, array->path, array,
				  "an array of strings", array->text);
		return;
	}
	if (fd->type == FIELD_FLAGS)
		*(uint32_t *)dst = 0;
	for (uint32_t i = 0;; i++) {
		char path[FINDING_PATH_MAX];
		const struct toml_value *v;

		text_format(path, sizeof(path), "%s[%u]", array->path, i);
		v = toml_find(t, path);
		if (!v)
			return;
		if (fd->type == FIELD_FLAGS)
			read_flag_item(fd, t, v, (uint32_t *)dst, f);
		else
			read_name_item(t, v, (struct region_set *)dst, f);
	}
}

static void read_value(const struct field *fd, const struct toml_text *t,
		       const struct toml_value *v, char *dst,
		       struct findings *f)
{
	const char *expected = NULL;
	struct text_buf text;

	switch (fd->type) {
	case FIELD_NAME:
	case FIELD_ADDR:
	case FIELD_TEXT:
		expected = read_string(fd, v, dst);
		break;
	case FIELD_PATH:
		expected = read_path(v, (char **)dst);
		break;
	case FIELD_U32:
	case FIELD_U64:
		expected = read_number(fd, v, dst, &text);
		break;
	case FIELD_CHOICE:
		expected = read_choice(fd, v, (int *)dst, &text);
		break;
	case FIELD_NAMES:
	case FIELD_FLAGS:
		read_array(fd, t, v, dst, f);
		break;
	}
	if (expected)
		field_add_finding(f, t, v->path, v, expected, v->text);
}

/* The table that the fields below @prefix are in; NULL at the top level. */
static const struct toml_value *containing_table(const struct toml_text *t,
						 const char *prefix)
{
	char path[FINDING_PATH_MAX];
	size_t len = strlen(prefix);

	if (!len)
		return NULL;
	mem_copy_str(path, prefix, sizeof(path));
	path[len - 1] = '\0';
	return toml_find(t, path);
}

static void read_field(const struct field *fd, const struct toml_text *t,
		       const char *prefix, char *obj, struct findings *f)
{
	char path[FINDING_PATH_MAX];
	const struct toml_value *v;

	text_format(path, sizeof(path), "%s%s", prefix, fd->name);
	v = toml_find(t, path);
	if (v)
		read_value(fd, t, v, obj + fd->offset, f);
	else if (fd->required)
		field_add_finding(f, t, path, containing_table(t, prefix),
				  fd->help, "nothing");
}

void field_read(const struct field *fields, size_t count,
		const struct toml_text *t, const char *prefix, void *obj,
		struct findings *f)
{
	for (size_t i = 0; i < count; i++)
		read_field(&fields[i], t, prefix, obj, f);
}

const struct field *field_find(const struct field_table *t, const char *name)
{
	for (size_t i = 0; i < t->count; i++)
		if (!strcmp(t->fields[i].name, name))
			return &t->fields[i];
	return NULL;
}

/* Frees @text; returns a copy with @item appended after a space. */
static char *append_item(char *text, const char *item)
{
	char *next = text_new("%s%s%s", text, *text ? " " : "", item);

	free(text);
	return next;
}

static char *format_names(const struct region_set *set)
{
	char *text = text_new("%s", "");

	for (uint32_t i = 0; i < set->count; i++)
		text = append_item(text, set->names[i]);
	return text;
}

static char *format_flags(const struct field *fd, uint32_t mask)
{
	char *text = text_new("%s", "");

	for (int i = 0; fd->choices[i]; i++)
		if (mask & 1u << i)
			text = append_item(text, fd->choices[i]);
	return text;
}

char *field_text(const struct field *fd, const void *obj)
{
	const char *member = (const char *)obj + fd->offset;

	switch (fd->type) {
	case FIELD_NAME:
	case FIELD_ADDR:
	case FIELD_TEXT:
		return text_new("%s", member);
	case FIELD_PATH:
		return text_new("%s", *(char *const *)member);
	case FIELD_U32:
		return text_new("%u", *(const uint32_t *)member);
	case FIELD_U64:
		return text_new("%lu",
				(unsigned long)*(const uint64_t *)member);
	case FIELD_CHOICE:
		return text_new("%s", fd->choices[*(const int *)member]);
	case FIELD_NAMES:
		return format_names((const struct region_set *)member);
	case FIELD_FLAGS:
		return format_flags(fd, *(const uint32_t *)member);
	}
	return text_new("%s", "");
}

static void format_type(const struct field *fd, struct text_buf *out)
{
	switch (fd->type) {
	case FIELD_NAME:
		mem_copy_str(out->s, "name", sizeof(out->s));
		break;
	case FIELD_ADDR:
		mem_copy_str(out->s, "address `IP:PORT`", sizeof(out->s));
		break;
	case FIELD_TEXT:
		mem_copy_str(out->s, "string", sizeof(out->s));
		break;
	case FIELD_PATH:
		mem_copy_str(out->s, "path", sizeof(out->s));
		break;
	case FIELD_U32:
	case FIELD_U64:
		text_format(out->s, sizeof(out->s), "integer, %lu to %lu",
			    (unsigned long)fd->min, (unsigned long)fd->max);
		break;
	case FIELD_CHOICE:
		format_choices(fd, "one of", out);
		break;
	case FIELD_NAMES:
		mem_copy_str(out->s, "array of up to 8 names", sizeof(out->s));
		break;
	case FIELD_FLAGS:
		format_choices(fd, "array of", out);
		break;
	}
}

static const char *default_or_required(const struct field *fd)
{
	if (fd->required)
		return "required";
	return fd->default_text ? fd->default_text : "none";
}

char *field_table_page(const struct field_table *t)
{
	char *page = text_new("%s\n\n| field | value | default | meaning |\n"
			      "|---|---|---|---|\n",
			      t->help);

	for (size_t i = 0; i < t->count; i++) {
		const struct field *fd = &t->fields[i];
		struct text_buf type;
		char *next;

		format_type(fd, &type);
		next = text_new("%s| `%s` | %s | %s | %s |\n", page, fd->name,
				type.s, default_or_required(fd), fd->help);
		free(page);
		page = next;
	}
	return page;
}
