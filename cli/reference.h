/** jackdaw reference: prints a page generated from a table in the code. */
#ifndef JD_CLI_REFERENCE_H
#define JD_CLI_REFERENCE_H

#include "cli/options.h"

int reference_run(const struct cli_options *o);

#endif
