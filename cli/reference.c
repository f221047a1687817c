#include "cli/reference.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/command.h"
#include "cli/exit_code.h"
#include "io/manifest_reader.h"
#include "io/settings.h"

int reference_run(const struct cli_options *o)
{
	char *page = NULL;

	if (!strcmp(o->args[0], "manifest"))
		page = manifest_reference();
	else if (!strcmp(o->args[0], "settings"))
		page = settings_reference();
	else if (!strcmp(o->args[0], "commands"))
		page = command_manual();
	if (!page) {
		fprintf(stderr, "no reference page for %s\n", o->args[0]);
		return CLI_FINDINGS;
	}
	fputs(page, stdout);
	free(page);
	return CLI_OK;
}
