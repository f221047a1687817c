/** jackdaw where: shows the owner of a key, its epoch, and its shard or pin. */
#ifndef JD_CLI_WHERE_H
#define JD_CLI_WHERE_H

#include "cli/options.h"

int where_run(const struct cli_options *o);

#endif
