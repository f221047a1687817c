/** jackdaw diff: compares a manifest with the one in force. */
#ifndef JD_CLI_DIFF_H
#define JD_CLI_DIFF_H

#include "cli/options.h"
#include "core/list.h"

int diff_run(const struct cli_options *o);

/** Prints the struct change of @changes, one per line or as a JSON array. */
void diff_print(const struct list *changes, bool json);

#endif
