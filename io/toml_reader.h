/** A TOML text as a flat list of values with their places. */
#ifndef JD_IO_TOML_READER_H
#define JD_IO_TOML_READER_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#include "core/finding.h"
#include "core/list.h"

enum toml_type {
	TOML_STRING,
	TOML_INTEGER,
	TOML_BOOLEAN,
	TOML_TABLE, /* its own place; its fields are values of their own */
	TOML_ARRAY, /* likewise its items */
	TOML_OTHER,
};

struct toml_value {
	struct list link;
	char *path; /* such as route[2].home_regions[0] */
	enum toml_type type;
	char *text; /* the string, or the value as text */
	int64_t integer;
	bool boolean;
	int line;
	int column;
};

struct toml_text {
	char *file;
	struct list values; /* of struct toml_value, in the file's order */
};

/**
 * Reads @text, named @file in findings. NULL after a syntax error, which is
 * then a finding.
 */
struct toml_text *toml_read(const char *file, const char *text,
			    struct findings *f);
void toml_delete(struct toml_text *t);

/** NULL when there is no such value. */
const struct toml_value *toml_find(const struct toml_text *t, const char *path);

#ifdef __cplusplus
}
#endif

#endif
