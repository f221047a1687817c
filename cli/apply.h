/** The commands check and apply. */
#ifndef JD_CLI_APPLY_H
#define JD_CLI_APPLY_H

/** Prints all findings of the manifest at @path; the exit code. */
int cli_check(const char *path);

/** Writes the manifest at @path into the store; the exit code. */
int cli_apply(const char *path, const char *store_addr);

#endif
