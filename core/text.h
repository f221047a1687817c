/** Formatted strings. */
#ifndef JD_CORE_TEXT_H
#define JD_CORE_TEXT_H

#include <stdarg.h>
#include <stddef.h>

/** Formats into @dst of @cap bytes, truncated to fit with its NUL. */
void text_format(char *dst, size_t cap, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

void text_vformat(char *dst, size_t cap, const char *fmt, va_list ap)
	__attribute__((format(printf, 3, 0)));

/** Formats into allocated memory; free() it. Aborts when out of memory. */
char *text_new(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#endif
