/** Findings of a check as lines. */
#ifndef JD_IO_FINDINGS_PRINT_H
#define JD_IO_FINDINGS_PRINT_H

#include <stdio.h>

#include "core/finding.h"

/** Sorts and prints them all; returns how many there are. */
int findings_print(struct findings *f, FILE *out);

#endif
