/** Compares two manifests field by field. */
#ifndef JD_IO_MANIFEST_DIFF_H
#define JD_IO_MANIFEST_DIFF_H

#include "core/list.h"
#include "core/manifest.h"

enum change_kind { CHANGE_ADDED, CHANGE_REMOVED, CHANGE_FIELD };

struct change {
	struct list link;
	enum change_kind kind;
	char *what; /* "route archive" or "route archive.timeout_ms" */
	char *from; /* empty unless CHANGE_FIELD */
	char *to;   /* empty unless CHANGE_FIELD */
};

/**
 * Appends a struct change for each difference to @out and returns their number.
 * If @from is NULL, all of @to counts as added.
 */
int manifest_diff(const struct manifest *from, const struct manifest *to,
		  struct list *out);
void changes_delete(struct list *changes);

/** Returns the change as a line for operators; freed by the caller. */
char *change_line(const struct change *c);

#endif
