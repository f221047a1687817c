/** Whole files in memory. */
#ifndef JD_IO_FILE_H
#define JD_IO_FILE_H

#include "core/status.h"

/** The file's text with a closing NUL, free() it; NULL with a status. */
char *file_read(const char *path, struct status *st);

#endif
