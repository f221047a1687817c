#include "cli/command.h"

#include <stdlib.h>
#include <string.h>

#include "cli/apply.h"
#include "cli/check.h"
#include "cli/diff.h"
#include "cli/exit_code.h"
#include "cli/member_change.h"
#include "cli/metrics.h"
#include "cli/platform_view.h"
#include "cli/reference.h"
#include "cli/report.h"
#include "cli/status.h"
#include "cli/where.h"
#include "core/text.h"

enum command {
	COMMAND_CHECK,
	COMMAND_DIFF,
	COMMAND_APPLY,
	COMMAND_STATUS,
	COMMAND_WHERE,
	COMMAND_DRAIN,
	COMMAND_CONFIRM_LOST,
	COMMAND_REPORT_BURN,
	COMMAND_METRICS,
	COMMAND_REFERENCE,
	COMMAND_PLATFORM_STATUS,
	COMMAND_PLATFORM_WHERE,
	COMMAND_PLATFORM_CHECK,
	COMMAND_COUNT,
};

struct command_info {
	const char *name;
	const char *args;
	int min_args;
	int max_args;
	const char *help;
};

static const struct command_info commands[COMMAND_COUNT] = {
	[COMMAND_CHECK] = {"check", "FILE", 1, 1,
			   "Print all findings of a manifest."},
	[COMMAND_DIFF] = {"diff", "FILE", 1, 1,
			  "Check a manifest against the one in force and print "
			  "what it would change."},
	[COMMAND_APPLY] =
		{"apply", "FILE", 1, 1,
		 "Put a manifest in force. Safe to repeat: a manifest that is "
		 "already in force is not written again. With --wait, wait "
		 "until every node has it; nodes that lag are named."},
	[COMMAND_STATUS] = {"status", "", 0, 0,
			    "Show data centres, routes, moves, nodes, their "
			    "leases and keepers."},
	[COMMAND_WHERE] = {"where", "ROUTE KEY", 2, 2,
			   "Show the owner of a key, its epoch, and the shard "
			   "or pin that decides it."},
	[COMMAND_DRAIN] = {"drain", "NODE", 1, 1,
			   "Let a node hand over its keys, finish its running "
			   "requests and end. With --wait, wait until it has "
			   "left."},
	[COMMAND_CONFIRM_LOST] =
		{"confirm-lost", "NODE", 1, 1,
		 "Confirm that a node's VM has ended for good, so that its "
		 "keys are reassigned. Never for a VM that may still run."},
	[COMMAND_REPORT_BURN] = {"report burn", "", 0, 0,
				 "Show for each route and organisation its "
				 "objective, good and bad requests, burn rates "
				 "and the budget left, from all nodes."},
	[COMMAND_METRICS] =
		{"metrics", "[NODE]", 0, 1,
		 "Print the metrics of the node NODE, or of the one "
		 "at --node."},
	[COMMAND_REFERENCE] = {"reference", "manifest|settings|commands", 1, 1,
			       "Print a reference page made from the tables in "
			       "the code."},
	[COMMAND_PLATFORM_STATUS] =
		{"platform status", "", 0, 0,
		 "Show the records that a fleet on the platform has in its "
		 "store: the configuration's version, data centres taken out, "
		 "nodes, and the keys of each upstream. Exit code 2 when some "
		 "keys have no node."},
	[COMMAND_PLATFORM_WHERE] = {"platform where", "SERVICE KEY", 2, 2,
				    "Show which upstream of a fleet on the "
				    "platform owns a key number, with the "
				    "fence and the row of the key."},
	[COMMAND_PLATFORM_CHECK] = {"platform check", "FILE", 1, 1,
				    "Check whether a node would accept a "
				    "configuration document, and show entries "
				    "that never match and limits that "
				    "contradict each other. Exit code 2 for "
				    "any of these."},
};

static int run(enum command c, const struct cli_options *o)
{
	switch (c) {
	case COMMAND_CHECK:
		return check_run(o);
	case COMMAND_DIFF:
		return diff_run(o);
	case COMMAND_APPLY:
		return apply_run(o);
	case COMMAND_STATUS:
		return status_run(o);
	case COMMAND_WHERE:
		return where_run(o);
	case COMMAND_DRAIN:
		return drain_run(o);
	case COMMAND_CONFIRM_LOST:
		return confirm_lost_run(o);
	case COMMAND_REPORT_BURN:
		return report_run(o);
	case COMMAND_METRICS:
		return metrics_run(o);
	case COMMAND_REFERENCE:
		return reference_run(o);
	case COMMAND_PLATFORM_STATUS:
		return platform_status_run(o);
	case COMMAND_PLATFORM_WHERE:
		return platform_where_run(o);
	case COMMAND_PLATFORM_CHECK:
		return platform_check_run(o);
	case COMMAND_COUNT:
		break;
	}
	return CLI_FINDINGS;
}

/* The number of leading @words that name the command; 0 if they do not. */
static int match_name(const struct command_info *info, const char *const *words,
		      int count)
{
	const char *name = info->name;
	int i = 0;

	while (*name) {
		size_t len = strcspn(name, " ");

		if (i >= count || strlen(words[i]) != len ||
		    strncmp(words[i], name, len) != 0)
			return 0;
		i++;
		name += len;
		name += strspn(name, " ");
	}
	return i;
}

int command_run(struct cli_options *o, const char *const *words, int count)
{
	for (int c = 0; c < COMMAND_COUNT; c++) {
		const struct command_info *info = &commands[c];
		int name_words = match_name(info, words, count);
		int args = count - name_words;

		if (!name_words)
			continue;
		if (args < info->min_args || args > info->max_args) {
			fprintf(stderr, "usage: jackdaw %s %s\n", info->name,
				info->args);
			return CLI_FINDINGS;
		}
		o->arg_count = args;
		for (int i = 0; i < args; i++)
			o->args[i] = words[name_words + i];
		return run((enum command)c, o);
	}
	command_usage(stderr);
	return CLI_FINDINGS;
}

void command_usage(FILE *out)
{
	fputs("usage: jackdaw [OPTION]... COMMAND\n\n", out);
	for (int c = 0; c < COMMAND_COUNT; c++) {
		char *synopsis =
			text_new("%s %s", commands[c].name, commands[c].args);

		fprintf(out, "  %-38s %s\n", synopsis, commands[c].help);
		free(synopsis);
	}
}

char *command_manual(void)
{
	char *page = text_new("%s", ".SH COMMANDS\n");

	for (int c = 0; c < COMMAND_COUNT; c++) {
		char *next = text_new("%s.TP\n.B %s %s\n%s\n", page,
				      commands[c].name, commands[c].args,
				      commands[c].help);

		free(page);
		page = next;
	}
	return page;
}
