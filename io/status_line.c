#include "io/status_line.h"

#include <string.h>

#include "core/http.h"

#define CODE_DIGITS	    3
#define INTERIM_ANSWERS_MAX 16

static const char version_prefix[] = "HTTP/1.";

void status_line_reset(struct status_line *s)
{
	memset(s, 0, sizeof(*s));
}

static void enter(struct status_line *s, enum status_line_state state)
{
	s->state = state;
	s->pos = 0;
}

/* The prefix and one digit. */
static void read_version(struct status_line *s, char c)
{
	const uint32_t prefix_len = sizeof(version_prefix) - 1;

	if (s->pos < prefix_len && c == version_prefix[s->pos])
		s->pos++;
	else if (s->pos == prefix_len && c >= '0' && c <= '9')
		enter(s, STATUS_LINE_SPACE);
	else
		enter(s, STATUS_LINE_INVALID);
}

static void end_code(struct status_line *s, char c)
{
	if (s->pos != CODE_DIGITS || (c != ' ' && c != '\r' && c != '\n'))
		enter(s, STATUS_LINE_INVALID);
	else if (http_status_is_final(s->code))
		enter(s, STATUS_LINE_FINAL);
	else if (!http_status_is_interim(s->code) ||
		 ++s->interim_count > INTERIM_ANSWERS_MAX)
		enter(s, STATUS_LINE_INVALID);
	else
		enter(s, c == '\n' ? STATUS_LINE_INTERIM_FIELDS
				   : STATUS_LINE_INTERIM_REST);
}

static void read_code(struct status_line *s, char c)
{
	if (c < '0' || c > '9') {
		end_code(s, c);
		return;
	}
	if (s->pos++ == CODE_DIGITS)
		enter(s, STATUS_LINE_INVALID);
	else
		s->code = 10 * s->code + (c - '0');
}

/* An empty line ends the interim answer. */
static void read_field(struct status_line *s, char c)
{
	if (c == '\n' && !s->pos)
		enter(s, STATUS_LINE_START);
	else if (c == '\n')
		s->pos = 0;
	else if (c != '\r')
		s->pos = 1;
}

static void read_byte(struct status_line *s, char c)
{
	switch (s->state) {
	case STATUS_LINE_START:
		if (c == '\r' || c == '\n')
			return;
		enter(s, STATUS_LINE_VERSION);
		read_version(s, c);
		return;
	case STATUS_LINE_VERSION:
		read_version(s, c);
		return;
	case STATUS_LINE_SPACE:
		if (c == ' ') {
			s->pos = 1;
		} else if (!s->pos) {
			enter(s, STATUS_LINE_INVALID);
		} else {
			enter(s, STATUS_LINE_CODE);
			s->code = 0;
			read_code(s, c);
		}
		return;
	case STATUS_LINE_CODE:
		read_code(s, c);
		return;
	case STATUS_LINE_INTERIM_REST:
		if (c == '\n')
			enter(s, STATUS_LINE_INTERIM_FIELDS);
		return;
	case STATUS_LINE_INTERIM_FIELDS:
		read_field(s, c);
		return;
	case STATUS_LINE_FINAL:
	case STATUS_LINE_INVALID:
		return;
	}
}

void status_line_read(struct status_line *s, const char *data, size_t len)
{
	for (size_t i = 0; i < len && s->state != STATUS_LINE_FINAL &&
			   s->state != STATUS_LINE_INVALID;
	     i++)
		read_byte(s, data[i]);
}
