/**
 * Checks the status lines of what a server sends as one answer: those of its
 * interim answers, and the final one. Parsers are laxer: one reads the status
 * as any number, another takes leading zeros.
 */
#ifndef JD_IO_ANSWER_HEAD_H
#define JD_IO_ANSWER_HEAD_H

#include <stddef.h>
#include <stdint.h>

enum answer_head_state {
	ANSWER_HEAD_START, /* empty lines are skipped here */
	ANSWER_HEAD_VERSION,
	ANSWER_HEAD_SPACE,
	ANSWER_HEAD_CODE,
	ANSWER_HEAD_INTERIM_REST,   /* of an interim answer's status line */
	ANSWER_HEAD_INTERIM_FIELDS, /* its header fields */
	ANSWER_HEAD_FINAL,	    /* valid; what follows is not looked at */
	ANSWER_HEAD_INVALID,	    /* no answer to an HTTP/1 request */
};

struct answer_head {
	enum answer_head_state state;
	uint32_t pos; /* bytes of the current part that were read */
	int code;
	uint32_t interim_count;
};

/** Call this before the first byte of an answer or its interim ones. */
void answer_head_reset(struct answer_head *s);

/**
 * Reads the next @len bytes. The state is ANSWER_HEAD_INVALID from the first
 * status line on that is not "HTTP/1.x NNN" with a status from 200 to 599, or
 * with an interim one other than 101, which no request asks for. More than a
 * few interim answers are invalid, too.
 */
void answer_head_read(struct answer_head *s, const char *data, size_t len);

#endif
