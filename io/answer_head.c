#include "io/answer_head.h"

#include <string.h>

#include "core/http.h"

#define CODE_DIGITS	    3
#define INTERIM_ANSWERS_MAX 16

static const char version_prefix[] = "HTTP/1.";

void answer_head_reset(struct answer_head *h)
{
	memset(h, 0, sizeof(*h));
}

static void enter(struct answer_head *h, enum answer_head_state state)
{
	h->state = state;
	h->pos = 0;
}

static void reject(struct answer_head *h, const char *why)
{
	enter(h, ANSWER_HEAD_INVALID);
	h->why = why;
}

/* The prefix and one digit. */
static void read_version(struct answer_head *h, char c)
{
	const uint32_t prefix_len = sizeof(version_prefix) - 1;

	if (h->pos < prefix_len && c == version_prefix[h->pos])
		h->pos++;
	else if (h->pos == prefix_len && c >= '0' && c <= '9')
		enter(h, ANSWER_HEAD_SPACE);
	else
		reject(h, "status");
}

static void end_code(struct answer_head *h, char c)
{
	bool is_interim = http_status_is_interim(h->code);

	if (h->pos != CODE_DIGITS || (c != ' ' && c != '\r' && c != '\n') ||
	    (!is_interim && !http_status_is_final(h->code)) ||
	    (is_interim && ++h->interim_count > INTERIM_ANSWERS_MAX))
		reject(h, "status");
	else
		enter(h,
		      c == '\n' ? ANSWER_HEAD_FIELD_NAME : ANSWER_HEAD_REASON);
}

static void read_code(struct answer_head *h, char c)
{
	if (c < '0' || c > '9')
		end_code(h, c);
	else if (h->pos++ == CODE_DIGITS)
		reject(h, "status");
	else
		h->code = 10 * h->code + (c - '0');
}

/* A field's name, with nothing between it and its colon, or an empty line. */
static void read_name(struct answer_head *h, char c)
{
	if (c == '\r' && !h->pos)
		return;
	if (c == '\n' && !h->pos)
		enter(h, http_status_is_interim(h->code)
				 ? ANSWER_HEAD_START
				 : ANSWER_HEAD_COMPLETE);
	else if (c == ':' && h->pos)
		enter(h, ANSWER_HEAD_FIELD_VALUE);
	else if (http_is_token_char(c))
		h->pos++;
	else
		reject(h, "field_name");
}

static void read_byte(struct answer_head *h, char c)
{
	if (h->after_cr && c != '\n') {
		reject(h, "line_end");
		return;
	}
	h->after_cr = c == '\r';
	switch (h->state) {
	case ANSWER_HEAD_START:
		if (c == '\r' || c == '\n')
			return;
		enter(h, ANSWER_HEAD_VERSION);
		read_version(h, c);
		return;
	case ANSWER_HEAD_VERSION:
		read_version(h, c);
		return;
	case ANSWER_HEAD_SPACE:
		if (c == ' ') {
			h->pos = 1;
		} else if (!h->pos) {
			reject(h, "status");
		} else {
			enter(h, ANSWER_HEAD_CODE);
			h->code = 0;
			read_code(h, c);
		}
		return;
	case ANSWER_HEAD_CODE:
		read_code(h, c);
		return;
	case ANSWER_HEAD_REASON:
	case ANSWER_HEAD_FIELD_VALUE:
		if (c == '\n')
			enter(h, ANSWER_HEAD_FIELD_NAME);
		return;
	case ANSWER_HEAD_FIELD_NAME:
		read_name(h, c);
		return;
	case ANSWER_HEAD_COMPLETE:
	case ANSWER_HEAD_INVALID:
		return;
	}
}

void answer_head_read(struct answer_head *h, const char *data, size_t len)
{
	for (size_t i = 0; i < len && h->state != ANSWER_HEAD_COMPLETE &&
			   h->state != ANSWER_HEAD_INVALID;
	     i++)
		read_byte(h, data[i]);
}
