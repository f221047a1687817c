/** The commands of jackdaw: one table for dispatch, help and manual. */
#ifndef JD_CLI_COMMAND_H
#define JD_CLI_COMMAND_H

#include <stdio.h>

#include "cli/options.h"

/**
 * Runs the command that @words name, their rest as its arguments; returns
 * the exit code.
 */
int command_run(struct cli_options *o, const char *const *words, int count);

/** One line a command. */
void command_usage(FILE *out);

/** The section COMMANDS of the manual page; free() it. */
char *command_manual(void);

#endif
