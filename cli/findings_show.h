/** Shows findings to operators and to scripts. */
#ifndef JD_CLI_FINDINGS_SHOW_H
#define JD_CLI_FINDINGS_SHOW_H

#include <stdbool.h>

#include "core/finding.h"

/** One per line on standard error, or a JSON array on standard output. */
void findings_show(const struct findings *f, bool json);

#endif
