/** jackdaw platform: what a fleet on the platform has in its store. */
#ifndef JD_CLI_PLATFORM_VIEW_H
#define JD_CLI_PLATFORM_VIEW_H

#include "cli/options.h"

/** The configuration, data centres taken out, nodes, and who has which keys. */
int platform_status_run(const struct cli_options *o);

/** The owner of key number words[1] of the service words[0]. */
int platform_where_run(const struct cli_options *o);

/** Findings of a configuration document as operators write it, words[0]. */
int platform_check_run(const struct cli_options *o);

#endif
