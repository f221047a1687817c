/**
 * Fields of a TOML text. One table describes them for the parser, the checks
 * and the reference pages.
 */
#ifndef JD_IO_FIELD_H
#define JD_IO_FIELD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "io/toml_reader.h"

enum field_type {
	FIELD_NAME, /* letters, digits, '-', '_' and '.'; a char array */
	FIELD_ADDR, /* ip:port; a char array */
	FIELD_TEXT, /* a char array */
	FIELD_PATH, /* starts with '/'; a char *, which the struct owns */
	FIELD_U32,
	FIELD_U64,
	FIELD_CHOICE, /* one of choices, stored as its index in an int */
	FIELD_NAMES,  /* an array of names, a struct region_set */
	FIELD_FLAGS,  /* an array of choices, a uint32_t mask of them */
};

struct field {
	const char *name;
	enum field_type type;
	size_t offset; /* of the member in the struct */
	size_t size;   /* of a char array, in bytes with the NUL */
	bool required;
	uint64_t min;
	uint64_t max;
	const char *const *choices; /* ends with NULL */
	const char *help;
	const char *default_text; /* for the reference page; NULL: none */
};

/** All fields of one kind of TOML table. */
struct field_table {
	const char *name; /* of the TOML table; "": the top level */
	const char *help;
	const struct field *fields;
	size_t count;
	bool required; /* the text must have at least one such table */
};

/** The field called @name; NULL if there is none. */
const struct field *field_find(const struct field_table *t, const char *name);

/** Returns the field's value in @obj as text; freed by the caller. */
char *field_text(const struct field *fd, const void *obj);

/** Returns a Markdown table of all fields; freed by the caller. */
char *field_table_page(const struct field_table *t);

/**
 * Reads all fields below @prefix ("" or "route[0].") into @obj. Adds a finding
 * for each invalid or missing value.
 */
void field_read(const struct field *fields, size_t count,
		const struct toml_text *t, const char *prefix, void *obj,
		struct findings *f);

/** Adds a finding for @path, at the position of @v unless @v is NULL. */
void field_add_finding(struct findings *f, const struct toml_text *t,
		       const char *path, const struct toml_value *v,
		       const char *expected, const char *found);

#endif
