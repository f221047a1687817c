#include "core/text.h"

#include <stdio.h>
#include <stdlib.h>

void text_vformat(char *dst, size_t cap, const char *fmt, va_list ap)
{
	(void)vsnprintf(dst, cap, fmt, ap);
}

void text_format(char *dst, size_t cap, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	text_vformat(dst, cap, fmt, ap);
	va_end(ap);
}

char *text_new(const char *fmt, ...)
{
	va_list ap;
	char *s = NULL;

	va_start(ap, fmt);
	if (vasprintf(&s, fmt, ap) < 0)
		abort();
	va_end(ap);
	return s;
}
