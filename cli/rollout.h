/** Waits until a revision of the manifest is in force on every node. */
#ifndef JD_CLI_ROLLOUT_H
#define JD_CLI_ROLLOUT_H

#include "cli/options.h"
#include "core/types.h"

/**
 * Returns an exit code: CLI_OK, or CLI_TIMED_OUT after o->timeout_ms, naming
 * the nodes that lag on standard error.
 */
int rollout_wait(const struct cli_options *o, revision_t revision);

#endif
