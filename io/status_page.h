/** Operators' pages of a node. */
#ifndef JD_IO_STATUS_PAGE_H
#define JD_IO_STATUS_PAGE_H

#include "core/node.h"
#include "io/peers.h"

/** The page at @path ("/status", "/metrics", "/burn"), free() it; NULL for
 * none. */
char *status_page(const struct node *n, const struct peers_stats *p,
		  const char *path);

#endif
