/** jackdaw metrics: prints the metrics of one node. */
#ifndef JD_CLI_METRICS_H
#define JD_CLI_METRICS_H

#include "cli/options.h"

int metrics_run(const struct cli_options *o);

#endif
