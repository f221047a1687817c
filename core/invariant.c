#include "core/invariant.h"

#include <stdarg.h>
#include <stdlib.h>

#include "core/text.h"

#define INVARIANT_LINE_MAX 1024 /* bytes, with the closing NUL */

static invariant_sink_fn invariant_sink;

void invariant_set_sink(invariant_sink_fn sink)
{
	invariant_sink = sink;
}

void invariant_fail(const char *cond, const char *file, int line,
		    const char *fmt, ...)
{
	char state[INVARIANT_LINE_MAX / 2];
	char text[INVARIANT_LINE_MAX];
	va_list ap;

	va_start(ap, fmt);
	text_vformat(state, sizeof(state), fmt, ap);
	va_end(ap);
	text_format(text, sizeof(text),
		    "event=invariant_failed cond=\"%s\" at=%s:%d %s", cond,
		    file, line, state);
	if (invariant_sink)
		invariant_sink(text);
	abort();
}
