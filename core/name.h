/** Names of any length in fields of a fixed size. */
#ifndef JD_CORE_NAME_H
#define JD_CORE_NAME_H

#include <stddef.h>

/* The smallest field that name_copy() can fill with any name. */
#define NAME_CAP_MIN 25

/**
 * Copies the name @src into @dst of @cap bytes, NAME_CAP_MIN or more. A name
 * that does not fit is abbreviated to its start, '~' and a digest of all its
 * bytes, which is the same on all nodes: in fields of one size, copies are
 * equal if and only if the names are.
 */
void name_copy(char *dst, const char *src, size_t cap);

/** A name in a line of the log. */
struct name_text {
	char text[256];
};

/** @name as the log shows it, abbreviated if it does not fit; NULL: none. */
struct name_text name_for_log(const char *name);

#endif
