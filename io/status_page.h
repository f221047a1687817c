/** The pages under /-/ that operators and their tools read. */
#ifndef JD_IO_STATUS_PAGE_H
#define JD_IO_STATUS_PAGE_H

#include "core/node.h"
#include "io/peers.h"

/**
 * Returns the page at @path ("/status", "/metrics", "/burn"), which the caller
 * frees; NULL for any other path.
 */
char *status_page(const struct node *n, const struct peers_stats *p,
		  const char *path);

#endif
