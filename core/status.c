#include "core/status.h"

#include <stdarg.h>
#include <stddef.h>

#include "core/text.h"

static const char *const status_names[STATUS_COUNT] = {
	[STATUS_OK] = "ok",
	[STATUS_INVALID] = "invalid",
	[STATUS_NOT_FOUND] = "not_found",
	[STATUS_CONFLICT] = "conflict",
	[STATUS_UNAVAILABLE] = "unavailable",
	[STATUS_UNKNOWN] = "unknown",
	[STATUS_TOO_LARGE] = "too_large",
	[STATUS_IO] = "io",
};

enum status_code status_set(struct status *s, enum status_code code,
			    const char *fmt, ...)
{
	va_list ap;

	s->code = code;
	va_start(ap, fmt);
	text_vformat(s->msg, sizeof(s->msg), fmt, ap);
	va_end(ap);
	return code;
}

const char *status_name(enum status_code code)
{
	return code < STATUS_COUNT ? status_names[code] : "?";
}
