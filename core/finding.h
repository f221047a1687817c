/** Findings of a check, collected with their place, reported together. */
#ifndef JD_CORE_FINDING_H
#define JD_CORE_FINDING_H

#include "core/list.h"

struct finding {
	struct list link;
	char *file;
	int line; /* 1 is the first; 0 when the place is not known */
	int column;
	char *field; /* path such as route[2].key */
	char *expected;
	char *found;
};

struct findings {
	struct list items; /* of struct finding */
	int count;
};

/** Place and field of a finding; strings are copied. */
struct finding_opts {
	const char *file;
	int line;
	int column;
	const char *field;
	const char *expected;
	const char *found;
};

void findings_init(struct findings *f);
void findings_done(struct findings *f);
void findings_add(struct findings *f, const struct finding_opts *o);

/** Orders by file, line, column; equal places keep their order. */
void findings_sort(struct findings *f);

/** Length of a field's path, with the closing NUL. */
#define FINDING_PATH_MAX 256

/** One line "file:line:column: field: expected X, found Y"; free() it. */
char *finding_line(const struct finding *f);

#endif
