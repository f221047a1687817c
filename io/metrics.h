/** The node's metrics in the Prometheus text format. */
#ifndef JD_IO_METRICS_H
#define JD_IO_METRICS_H

#include "core/node.h"
#include "io/peers.h"

/** Returns the page /-/metrics; freed by the caller. */
char *metrics_page(const struct node *n, const struct peers_stats *p);

#endif
