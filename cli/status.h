/** jackdaw status: nodes, leases, keepers, moves, data centres. */
#ifndef JD_CLI_STATUS_H
#define JD_CLI_STATUS_H

#include "cli/options.h"

int status_run(const struct cli_options *o);

#endif
