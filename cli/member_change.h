/** jackdaw drain and confirm-lost: one node's entry in its roster. */
#ifndef JD_CLI_MEMBER_CHANGE_H
#define JD_CLI_MEMBER_CHANGE_H

#include "cli/options.h"

/** Marks the node as leaving: it hands its keys over and ends. */
int drain_run(const struct cli_options *o);

/** Takes a node that the operator knows has ended out of its roster. */
int confirm_lost_run(const struct cli_options *o);

#endif
