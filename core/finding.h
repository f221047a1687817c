/** Findings: errors in a file, collected so as to report all at once. */
#ifndef JD_CORE_FINDING_H
#define JD_CORE_FINDING_H

#include "core/list.h"

struct finding {
	struct list link;
	char *file;
	int line;    /* from 1; 0: not known */
	int column;  /* from 1; 0: not known */
	char *field; /* its path, such as route[2].key */
	char *expected;
	char *found;
};

struct findings {
	struct list items; /* of struct finding */
	int count;
};

/** Members of struct finding; the strings are copied, NULL as empty. */
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

/** Sorts by file, line and column; the sort is stable. */
void findings_sort(struct findings *f);

/** Bytes of a field's path, with the closing NUL. */
#define FINDING_PATH_MAX 256

/**
 * One line "file:line:column: field: expected X, found Y", without a position
 * that is not known; free() it.
 */
char *finding_line(const struct finding *f);

#endif
