/**
 * Fields of a TOML text, described by a table that gives parsing, checks,
 * help and documentation alike.
 */
#ifndef JD_IO_FIELD_H
#define JD_IO_FIELD_H

#include <stddef.h>
#include <stdint.h>

#include "io/toml_reader.h"

enum field_type {
	FIELD_NAME, /* letters, digits, - and _; a char array */
	FIELD_ADDR, /* ip:port; a char array */
	FIELD_TEXT, /* a char array */
	FIELD_U32,
	FIELD_U64,
	FIELD_CHOICE, /* one of choices, stored as its index in an int */
	FIELD_NAMES,  /* an array of names, a struct region_set */
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

/** Reads all fields below @prefix ("" or "route[0].") into @obj. */
void field_read(const struct field *fields, size_t count,
		const struct toml_text *t, const char *prefix, void *obj,
		struct findings *f);

/** Adds a finding for the value or, if it is NULL, for the missing @path. */
void field_finding(struct findings *f, const struct toml_text *t,
		   const char *path, const struct toml_value *v,
		   const char *expected, const char *found);

#endif
