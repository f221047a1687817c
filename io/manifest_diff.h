/** What changes from one manifest to another, field by field. */
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
	char *to;
};

/** Appends struct change to @out; returns how many. @from may be NULL. */
int manifest_diff(const struct manifest *from, const struct manifest *to,
		  struct list *out);
void changes_delete(struct list *changes);

/** One line for a person; free() it. */
char *change_line(const struct change *c);

#endif
