/** What the command line asks for. */
#ifndef JD_CLI_OPTIONS_H
#define JD_CLI_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

#define CLI_WORDS_MAX 4

struct cli_options {
	const char *store; /* address of the platform's store */
	const char *node;  /* HTTP address of a node */
	const char *html;  /* file for the report; NULL for none */
	const char *on;	   /* revision that apply must find; NULL for any */
	bool json;
	bool wait;
	uint64_t timeout_ms;		  /* of --wait */
	const char *words[CLI_WORDS_MAX]; /* after the command's name */
	int word_count;
};

#endif
