/** jackdaw platform: shows a leased fleet's records in the platform's store. */
#ifndef JD_CLI_PLATFORM_VIEW_H
#define JD_CLI_PLATFORM_VIEW_H

#include "cli/options.h"

/**
 * Prints the configuration version, the data centres taken out, the nodes, and
 * the keys of each upstream. CLI_FINDINGS if some keys have no node.
 */
int platform_status_run(const struct cli_options *o);

/** Prints the owner of key number args[1] of the service args[0]. */
int platform_where_run(const struct cli_options *o);

/**
 * Checks the file args[0], a configuration document as operators write it:
 * CLI_FINDINGS if a node would not accept it.
 */
int platform_check_run(const struct cli_options *o);

#endif
