/** jackdaw report burn: objectives, burn rates and remaining error budgets. */
#ifndef JD_CLI_REPORT_H
#define JD_CLI_REPORT_H

#include "cli/options.h"

int report_run(const struct cli_options *o);

#endif
