/** Reads a TOML text into a flat list of values with their positions. */
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
	TOML_TABLE, /* only its position; each field is a separate value */
	TOML_ARRAY, /* only its position; each item is a separate value */
	TOML_OTHER, /* such as a float or a date */
};

struct toml_value {
	struct list link;
	char *path; /* such as "route[2].home_regions[0]" */
	enum toml_type type;
	char *text; /* the string, or the value in printable form */
	int64_t integer;
	bool boolean;
	int line;   /* from 1 */
	int column; /* from 1 */
};

struct toml_text {
	char *file;
	struct list values; /* of struct toml_value, parents first */
};

/**
 * Reads @text; @file is its name in findings. NULL after a syntax error, which
 * is added to @f.
 */
struct toml_text *toml_read(const char *file, const char *text,
			    struct findings *f);
void toml_delete(struct toml_text *t);

/** The value at @path; NULL if there is none. */
const struct toml_value *toml_find(const struct toml_text *t, const char *path);

#ifdef __cplusplus
}
#endif

#endif
