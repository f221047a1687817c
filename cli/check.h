/** jackdaw check: prints the findings of a manifest. */
#ifndef JD_CLI_CHECK_H
#define JD_CLI_CHECK_H

#include "cli/options.h"

int check_run(const struct cli_options *o);

#endif
