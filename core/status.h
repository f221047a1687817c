/** Status codes of functions that may fail, with a message for people. */
#ifndef JD_CORE_STATUS_H
#define JD_CORE_STATUS_H

#define STATUS_MSG_MAX 256 /* bytes, with the closing NUL */

enum status_code {
	STATUS_OK,
	STATUS_INVALID,	    /* the input breaks a rule */
	STATUS_NOT_FOUND,   /* no such key, route or node */
	STATUS_CONFLICT,    /* compare-and-swap found another revision */
	STATUS_UNAVAILABLE, /* failed, provably without effect */
	STATUS_UNKNOWN,	    /* failed, but may have taken effect */
	STATUS_TOO_LARGE,
	STATUS_IO,
	STATUS_COUNT,
};

struct status {
	enum status_code code;
	char msg[STATUS_MSG_MAX];
};

/** Sets code and message, printf style, and returns the code. */
enum status_code status_set(struct status *s, enum status_code code,
			    const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** Lower-case name of a code, as in logs and JSON; it never changes. */
const char *status_name(enum status_code code);

#endif
