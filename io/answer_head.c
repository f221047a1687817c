#include "io/answer_head.h"

#include <string.h>

#include "core/http.h"

#define CODE_DIGITS	    3
#define INTERIM_ANSWERS_MAX 16

static const char version_prefix[] = "HTTP/1.";

void answer_head_reset(struct answer_head *s)
{
	memset(s, 0, sizeof(*s));
}

static void enter(struct answer_head *s, enum answer_head_state state)
{
	s->state = state;
	s->pos = 0;
}

/* The prefix and one digit. */
static void read_version(struct answer_head *s, char c)
{
	const uint32_t prefix_len = sizeof(version_prefix) - 1;

	if (s->pos < prefix_len && c == version_prefix[s->pos])
		s->pos++;
	else if (s->pos == prefix_len && c >= '0' && c <= '9')
		enter(s, ANSWER_HEAD_SPACE);
	else
		enter(s, ANSWER_HEAD_INVALID);
}

static void end_code(struct answer_head *s, char c)
{
	if (s->pos != CODE_DIGITS || (c != ' ' && c != '\r' && c != '\n'))
		enter(s, ANSWER_HEAD_INVALID);
	else if (http_status_is_final(s->code))
		enter(s, ANSWER_HEAD_FINAL);
	else if (!http_status_is_interim(s->code) ||
		 ++s->interim_count > INTERIM_ANSWERS_MAX)
		enter(s, ANSWER_HEAD_INVALID);
	else
		enter(s, c == '\n' ? ANSWER_HEAD_INTERIM_FIELDS
				   : ANSWER_HEAD_INTERIM_REST);
}

static void read_code(struct answer_head *s, char c)
{
	if (c < '0' || c > '9') {
		end_code(s, c);
		return;
	}
	if (s->pos++ == CODE_DIGITS)
		enter(s, ANSWER_HEAD_INVALID);
	else
		s->code = 10 * s->code + (c - '0');
}

/* An empty line ends the interim answer. */
static void read_field(struct answer_head *s, char c)
{
	if (c == '\n' && !s->pos)
		enter(s, ANSWER_HEAD_START);
	else if (c == '\n')
		s->pos = 0;
	else if (c != '\r')
		s->pos = 1;
}

static void read_byte(struct answer_head *s, char c)
{
	switch (s->state) {
	case ANSWER_HEAD_START:
		if (c == '\r' || c == '\n')
			return;
		enter(s, ANSWER_HEAD_VERSION);
		read_version(s, c);
		return;
	case ANSWER_HEAD_VERSION:
		read_version(s, c);
		return;
	case ANSWER_HEAD_SPACE:
		if (c == ' ') {
			s->pos = 1;
		} else if (!s->pos) {
			enter(s, ANSWER_HEAD_INVALID);
		} else {
			enter(s, ANSWER_HEAD_CODE);
			s->code = 0;
			read_code(s, c);
		}
		return;
	case ANSWER_HEAD_CODE:
		read_code(s, c);
		return;
	case ANSWER_HEAD_INTERIM_REST:
		if (c == '\n')
			enter(s, ANSWER_HEAD_INTERIM_FIELDS);
		return;
	case ANSWER_HEAD_INTERIM_FIELDS:
		read_field(s, c);
		return;
	case ANSWER_HEAD_FINAL:
	case ANSWER_HEAD_INVALID:
		return;
	}
}

void answer_head_read(struct answer_head *s, const char *data, size_t len)
{
	for (size_t i = 0; i < len && s->state != ANSWER_HEAD_FINAL &&
			   s->state != ANSWER_HEAD_INVALID;
	     i++)
		read_byte(s, data[i]);
}
