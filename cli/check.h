/** jackdaw check: the manifest's findings. */
#ifndef JD_CLI_CHECK_H
#define JD_CLI_CHECK_H

#include "cli/options.h"

int check_run(const struct cli_options *o);

#endif
