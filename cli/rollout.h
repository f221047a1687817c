/** Waits until a revision of the manifest is in force on every node. */
#ifndef JD_CLI_ROLLOUT_H
#define JD_CLI_ROLLOUT_H

#include "cli/options.h"
#include "core/types.h"

/**
 * Returns CLI_OK once all nodes have @revision or a newer one. After
 * o->timeout_ms it prints the nodes that lag to standard error and returns
 * CLI_TIMED_OUT.
 */
int rollout_wait(const struct cli_options *o, revision_t revision);

#endif
