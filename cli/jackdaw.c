#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/apply.h"
#include "cli/exit_code.h"
#include "cli/http_call.h"

static const char usage[] = "usage: jackdaw [--store IP:PORT] [--node IP:PORT] "
			    "check FILE | apply FILE | status\n";

static int status(const char *node)
{
	struct status st;
	char *text = http_call(node, "/-/status", NULL, 2000, &st);

	if (!text) {
		fprintf(stderr, "%s\n", st.msg);
		return CLI_FAILED;
	}
	printf("%s", text);
	free(text);
	return CLI_OK;
}

int main(int argc, char **argv)
{
	struct arg_str *store =
		arg_str0(NULL, "store", "IP:PORT", "the platform's store");
	struct arg_str *node = arg_str0(NULL, "node", "IP:PORT", "any node");
	struct arg_str *words = arg_strn(NULL, NULL, "COMMAND", 0, 4, NULL);
	struct arg_lit *help = arg_lit0("h", "help", "this text");
	struct arg_end *end = arg_end(8);
	void *table[] = {store, node, words, help, end};
	int code = CLI_FINDINGS;
	const char *command;

	store->sval[0] = "127.0.0.1:7000";
	node->sval[0] = "127.0.0.1:7100";
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "jackdaw");
		return CLI_FINDINGS;
	}
	command = words->count ? words->sval[0] : "";
	if (help->count) {
		fputs(usage, stdout);
		code = CLI_OK;
	} else if (!strcmp(command, "check") && words->count == 2) {
		code = cli_check(words->sval[1]);
	} else if (!strcmp(command, "apply") && words->count == 2) {
		code = cli_apply(words->sval[1], store->sval[0]);
	} else if (!strcmp(command, "status") && words->count == 1) {
		code = status(node->sval[0]);
	} else {
		fputs(usage, stderr);
	}
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return code;
}
