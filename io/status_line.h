/**
 * Checks the status lines of what a server sends as one answer: those of its
 * interim answers, and the final one. Parsers are laxer: one reads the status
 * as any number, another takes leading zeros.
 */
#ifndef JD_IO_STATUS_LINE_H
#define JD_IO_STATUS_LINE_H

#include <stddef.h>
#include <stdint.h>

enum status_line_state {
	STATUS_LINE_START, /* empty lines are skipped here */
	STATUS_LINE_VERSION,
	STATUS_LINE_SPACE,
	STATUS_LINE_CODE,
	STATUS_LINE_INTERIM_REST,   /* of an interim answer's status line */
	STATUS_LINE_INTERIM_FIELDS, /* its header fields */
	STATUS_LINE_FINAL,	    /* valid; what follows is not looked at */
	STATUS_LINE_INVALID,	    /* no answer to an HTTP/1 request */
};

struct status_line {
	enum status_line_state state;
	uint32_t pos; /* bytes of the current part that were read */
	int code;
	uint32_t interim_count;
};

/** Call this before the first byte of an answer or its interim ones. */
void status_line_reset(struct status_line *s);

/**
 * Reads the next @len bytes. The state is STATUS_LINE_INVALID from the first
 * status line on that is not "HTTP/1.x NNN" with a status from 200 to 599, or
 * with an interim one other than 101, which no request asks for. More than a
 * few interim answers are invalid, too.
 */
void status_line_read(struct status_line *s, const char *data, size_t len);

#endif
