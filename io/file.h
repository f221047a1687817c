/** Reading of whole files. */
#ifndef JD_IO_FILE_H
#define JD_IO_FILE_H

#include "core/status.h"

/**
 * Returns the file's content with a terminating NUL, which the caller frees.
 * NULL, with the reason in @st, when the file can't be read or is larger than
 * 4 MiB.
 */
char *file_read(const char *path, struct status *st);

#endif
