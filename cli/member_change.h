/** jackdaw drain and confirm-lost: change one node's entry in its roster. */
#ifndef JD_CLI_MEMBER_CHANGE_H
#define JD_CLI_MEMBER_CHANGE_H

#include "cli/options.h"

/** Marks the node args[0] as leaving: it hands over its keys and ends. */
int drain_run(const struct cli_options *o);

/**
 * Removes the node args[0] from its roster. The operator confirms that the node
 * has ended; a node that still answers is refused.
 */
int confirm_lost_run(const struct cli_options *o);

#endif
