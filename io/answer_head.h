/**
 * Checks the heads of what a server sends as one answer: those of its interim
 * answers, and the final one. Parsers are laxer: one reads the status as any
 * number, another takes leading zeros, and both take blanks in the name of a
 * field, so that a length behind such a name is not seen.
 */
#ifndef JD_IO_ANSWER_HEAD_H
#define JD_IO_ANSWER_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum answer_head_state {
	ANSWER_HEAD_START, /* empty lines are skipped here */
	ANSWER_HEAD_VERSION,
	ANSWER_HEAD_SPACE,
	ANSWER_HEAD_CODE,
	ANSWER_HEAD_REASON,
	ANSWER_HEAD_FIELD_NAME, /* or the empty line */
	ANSWER_HEAD_FIELD_VALUE,
	ANSWER_HEAD_COMPLETE, /* valid; what follows is not looked at */
	ANSWER_HEAD_INVALID,  /* no answer to an HTTP/1 request */
};

struct answer_head {
	enum answer_head_state state;
	const char *why; /* for the log; NULL unless invalid */
	uint32_t pos;	 /* bytes of the current part that were read */
	int code;
	uint32_t interim_count;
	bool after_cr;
};

/** Call this before the first byte of an answer or its interim ones. */
void answer_head_reset(struct answer_head *h);

/**
 * Reads the next @len bytes. The state is ANSWER_HEAD_INVALID from the first
 * - status line on that is not "HTTP/1.x NNN" with a status from 200 to 599, or
 *   with an interim one other than 101, which no request asks for;
 * - interim answer beyond a few;
 * - field line whose name is not a token followed by a colon (RFC 9112, 5.1),
 *   a folded line (5.2) included;
 * - CR without LF.
 */
void answer_head_read(struct answer_head *h, const char *data, size_t len);

#endif
