#include "io/field.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "core/manifest.h"
#include "core/mem.h"
#include "core/text.h"

#define PATH_MAX_BYTES 256

void field_finding(struct findings *f, const struct toml_text *t,
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

static const char *read_number(const struct field *fd,
			       const struct toml_value *v, void *dst)
{
	static char expected[96];
	uint64_t n = (uint64_t)v->integer;

	if (v->type != TOML_INTEGER || v->integer < 0 || n < fd->min ||
	    n > fd->max) {
		text_format(expected, sizeof(expected),
			    "an integer from %lu to %lu",
			    (unsigned long)fd->min, (unsigned long)fd->max);
		return expected;
	}
	if (fd->type == FIELD_U32)
		*(uint32_t *)dst = (uint32_t)n;
	else
		*(uint64_t *)dst = n;
	return NULL;
}

static const char *read_choice(const struct field *fd,
			       const struct toml_value *v, int *dst)
{
	static char expected[128];
	char *end = expected;

	for (int i = 0; fd->choices[i]; i++) {
		if (v->type == TOML_STRING &&
		    !strcmp(v->text, fd->choices[i])) {
			*dst = i;
			return NULL;
		}
	}
	mem_copy_str(expected, "one of", sizeof(expected));
	for (int i = 0; fd->choices[i]; i++) {
		end = expected + strlen(expected);
		text_format(end, sizeof(expected) - (size_t)(end - expected),
			    " %s", fd->choices[i]);
	}
	return expected;
}

static void read_names(const struct toml_text *t, const char *path,
		       struct region_set *set, struct findings *f)
{
	const uint32_t max = sizeof(set->names) / sizeof(set->names[0]);

	for (uint32_t i = 0;; i++) {
		char item[PATH_MAX_BYTES];
		const struct toml_value *v;

		text_format(item, sizeof(item), "%s[%u]", path, i);
		v = toml_find(t, item);
		if (!v)
			return;
		if (i >= max) {
			field_finding(f, t, item, v, "at most 8 names",
				      v->text);
			return;
		}
		if (v->type != TOML_STRING || !is_name(v->text) ||
		    strlen(v->text) >= JD_NAME_MAX) {
			field_finding(f, t, item, v, "a name", v->text);
			continue;
		}
		mem_copy_str(set->names[set->count++], v->text, JD_NAME_MAX);
	}
}

static void read_one(const struct field *fd, const struct toml_text *t,
		     const char *prefix, char *obj, struct findings *f)
{
	char path[PATH_MAX_BYTES];
	const struct toml_value *v;
	const char *expected = NULL;

	text_format(path, sizeof(path), "%s%s", prefix, fd->name);
	if (fd->type == FIELD_NAMES) {
		read_names(t, path, (struct region_set *)(obj + fd->offset), f);
		return;
	}
	v = toml_find(t, path);
	if (!v) {
		if (fd->required)
			field_finding(f, t, path, NULL, fd->help, "nothing");
		return;
	}
	switch (fd->type) {
	case FIELD_NAME:
	case FIELD_ADDR:
	case FIELD_TEXT:
		expected = read_string(fd, v, obj + fd->offset);
		break;
	case FIELD_U32:
	case FIELD_U64:
		expected = read_number(fd, v, obj + fd->offset);
		break;
	case FIELD_CHOICE:
		expected = read_choice(fd, v, (int *)(obj + fd->offset));
		break;
	case FIELD_NAMES:
		break;
	}
	if (expected)
		field_finding(f, t, path, v, expected, v->text);
}

void field_read(const struct field *fields, size_t count,
		const struct toml_text *t, const char *prefix, void *obj,
		struct findings *f)
{
	for (size_t i = 0; i < count; i++)
		read_one(&fields[i], t, prefix, obj, f);
}
