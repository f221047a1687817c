#include <argtable2.h>
#include <signal.h>
#include <stdlib.h>

#include "cli/command.h"
#include "cli/exit_code.h"

#define TIMEOUT_DEFAULT_S 30

static void print_help(void **table)
{
	command_usage(stdout);
	fputs("\n", stdout);
	arg_print_glossary(stdout, table, "  %-24s %s\n");
}

int main(int argc, char **argv)
{
	struct arg_str *store = arg_str0(NULL, "store", "IP:PORT",
					 "address of the platform's store");
	struct arg_str *node =
		arg_str0(NULL, "node", "IP:PORT", "HTTP address of any node");
	struct arg_str *on =
		arg_str0(NULL, "on", "REVISION",
			 "apply only if this revision is in force");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON for scripts");
	struct arg_lit *wait =
		arg_lit0(NULL, "wait", "wait until the change is in effect");
	struct arg_int *timeout =
		arg_int0(NULL, "timeout-s", "SECONDS",
			 "time limit of --wait (default: 30)");
	struct arg_file *html = arg_file0(NULL, "html", "FILE",
					  "write the report as an HTML page");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *words =
		arg_strn(NULL, NULL, "COMMAND", 0, CLI_WORDS_MAX,
			 "a command with its arguments");
	struct arg_end *end = arg_end(8);
	void *table[] = {store,	  node, on,   json,  wait,
			 timeout, html, help, words, end};
	struct cli_options o = {0};
	int code = CLI_OK;

	store->sval[0] = "127.0.0.1:7000";
	node->sval[0] = "127.0.0.1:7100";
	timeout->ival[0] = TIMEOUT_DEFAULT_S;
	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table) || timeout->ival[0] < 0) {
		arg_print_errors(stderr, end, "jackdaw");
		code = CLI_FINDINGS;
	} else if (help->count) {
		print_help(table);
	} else {
		o.store = store->sval[0];
		o.node = node->sval[0];
		o.expected_revision = on->count ? on->sval[0] : NULL;
		o.json = json->count > 0;
		o.wait = wait->count > 0;
		o.timeout_ms = (uint64_t)timeout->ival[0] * 1000;
		o.html = html->count ? html->filename[0] : NULL;
		code = command_run(&o, words->sval, words->count);
	}
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return code;
}
