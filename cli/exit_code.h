/** Exit codes of jackdaw. */
#ifndef JD_CLI_EXIT_CODE_H
#define JD_CLI_EXIT_CODE_H

enum cli_exit {
	CLI_OK = 0,
	CLI_FAILED = 1,	  /* the store or a node did not answer */
	CLI_FINDINGS = 2, /* invalid input, or keys without a node */
	CLI_CONFLICT = 3, /* another operator changed the document first */
	CLI_UNKNOWN = 4,  /* the change may have taken effect; safe to repeat */
	CLI_TIMED_OUT = 5, /* not in effect on all nodes after --timeout-s */
	CLI_NOT_FOUND = 6,
	CLI_EXIT_COUNT,
};

#endif
