/** The burn report as one self-contained HTML page. */
#ifndef JD_CLI_BURN_HTML_H
#define JD_CLI_BURN_HTML_H

#include <stdio.h>

#include "cli/burn_report.h"

void burn_html_write(FILE *out, const struct burn_report *r);

#endif
