/** Exit codes of the command line. */
#ifndef JD_CLI_EXIT_CODE_H
#define JD_CLI_EXIT_CODE_H

enum cli_exit {
	CLI_OK = 0,
	CLI_FAILED = 1,	   /* the store or a node did not answer */
	CLI_FINDINGS = 2,  /* the manifest or the arguments are wrong */
	CLI_CONFLICT = 3,  /* another operator was first */
	CLI_UNKNOWN = 4,   /* it may have taken effect; run it again */
	CLI_TIMED_OUT = 5, /* in force, but not everywhere in time */
	CLI_NOT_FOUND = 6,
	CLI_EXIT_COUNT,
};

#endif
