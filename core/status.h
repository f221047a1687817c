/** Status codes with a last message, returned instead of bare integers. */
#ifndef JD_CORE_STATUS_H
#define JD_CORE_STATUS_H

#define STATUS_MSG_MAX 256

enum status_code {
	STATUS_OK,
	STATUS_INVALID,	    /* the input breaks a rule */
	STATUS_NOT_FOUND,   /* no such key, route or node */
	STATUS_CONFLICT,    /* a compare-and-swap lost */
	STATUS_UNAVAILABLE, /* provably nothing took effect */
	STATUS_UNKNOWN,	    /* may or may not have taken effect */
	STATUS_TOO_LARGE,
	STATUS_IO,
	STATUS_COUNT,
};

struct status {
	enum status_code code;
	char msg[STATUS_MSG_MAX];
};

/** Sets code and message, printf style; returns the code. */
enum status_code status_set(struct status *s, enum status_code code,
			    const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** Stable lower-case name of a code, for logs and JSON. */
const char *status_name(enum status_code code);

#endif
