/** Options and arguments of a jackdaw command. */
#ifndef JD_CLI_OPTIONS_H
#define JD_CLI_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

/** Most words of a command: its name and its arguments. */
#define CLI_WORDS_MAX 4

struct cli_options {
	const char *store; /* IP:PORT of the platform's store */
	const char *node;  /* IP:PORT of a node's HTTP server */
	const char *html;  /* path of the HTML report; NULL for none */
	/* Manifest revision that apply may replace; NULL for any. */
	const char *expected_revision;
	bool json;
	bool wait;
	uint64_t timeout_ms;		 /* of --wait */
	const char *args[CLI_WORDS_MAX]; /* what follows the command's name */
	int arg_count;
};

#endif
