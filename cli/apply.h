/** jackdaw apply: writes a manifest to the store by compare-and-swap. */
#ifndef JD_CLI_APPLY_H
#define JD_CLI_APPLY_H

#include "cli/options.h"

int apply_run(const struct cli_options *o);

#endif
