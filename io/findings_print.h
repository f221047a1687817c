/** Prints findings, one per line. */
#ifndef JD_IO_FINDINGS_PRINT_H
#define JD_IO_FINDINGS_PRINT_H

#include <stdio.h>

#include "core/finding.h"

/** Sorts and prints all findings; returns their number. */
int findings_print(struct findings *f, FILE *out);

#endif
