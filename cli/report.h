/** jackdaw report burn: objectives and what is left of their budgets. */
#ifndef JD_CLI_REPORT_H
#define JD_CLI_REPORT_H

#include "cli/options.h"

int report_run(const struct cli_options *o);

#endif
