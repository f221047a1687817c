/** The commands of jackdaw. Dispatch, help and manual page use one table. */
#ifndef JD_CLI_COMMAND_H
#define JD_CLI_COMMAND_H

#include <stdio.h>

#include "cli/options.h"

/**
 * Runs the command that the first of @words name, with the remaining ones as
 * its arguments. Returns the exit code.
 */
int command_run(struct cli_options *o, const char *const *words, int count);

/** Prints the usage: one line per command. */
void command_usage(FILE *out);

/** The COMMANDS section of the manual page in troff; free() it. */
char *command_manual(void);

#endif
