/** The counts of good and bad requests for the service-level burn report. */
#ifndef JD_IO_BURN_PAGE_H
#define JD_IO_BURN_PAGE_H

#include "core/node.h"

/** Returns the page /-/burn, one line of JSON; freed by the caller. */
char *burn_page(const struct node *n);

#endif
