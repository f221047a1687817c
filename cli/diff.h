/** jackdaw diff: what a manifest would change. */
#ifndef JD_CLI_DIFF_H
#define JD_CLI_DIFF_H

#include "cli/options.h"
#include "core/list.h"

int diff_run(const struct cli_options *o);

/** Prints a list of struct change, a line each or as JSON. */
void diff_print(const struct list *changes, bool json);

#endif
