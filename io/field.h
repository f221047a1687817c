/**
 * Fields of a TOML text, described by a table that gives parsing, checks,
 * help and documentation alike.
 */
#ifndef JD_IO_FIELD_H
#define JD_IO_FIELD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "io/toml_reader.h"

enum field_type {
	FIELD_NAME, /* letters, digits, - and _; a char array */
	FIELD_ADDR, /* ip:port; a char array */
	FIELD_TEXT, /* a char array */
	FIELD_PATH, /* starts with '/'; a char array */
	FIELD_U32,
	FIELD_U64,
	FIELD_CHOICE, /* one of choices, stored as its index in an int */
	FIELD_NAMES,  /* an array of names, a struct region_set */
	FIELD_FLAGS,  /* an array of choices, a uint32_t mask of them */
};

struct field {
	const char *name;
	enum field_type type;
	size_t offset;
	size_t size; /* of a char array */
	bool required;
	uint64_t min;
	uint64_t max;
	const char *const *choices; /* closed by NULL */
	const char *help;
	const char *fallback; /* as the docs show it */
};

/** A table of fields and what it describes. */
struct field_table {
	const char *name; /* of the TOML table; "" for the top level */
	const char *help;
	const struct field *fields;
	size_t count;
	bool required; /* at least one such table */
};

/** The field called @name; NULL for none. */
const struct field *field_find(const struct field_table *t, const char *name);

/** The field's value in @obj as text; free() it. */
char *field_text(const struct field *fd, const void *obj);

/** The table as a section of a reference page in Markdown; free() it. */
char *field_table_page(const struct field_table *t);

/** Reads all fields below @prefix ("" or "route[0].") into @obj. */
void field_read(const struct field *fields, size_t count,
		const struct toml_text *t, const char *prefix, void *obj,
		struct findings *f);

/** Adds a finding for the value or, if it is NULL, for the missing @path. */
void field_finding(struct findings *f, const struct toml_text *t,
		   const char *path, const struct toml_value *v,
		   const char *expected, const char *found);

#endif
