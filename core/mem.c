#include "core/mem.h"

#include <stdlib.h>
#include <string.h>

void *mem_zalloc(size_t n, size_t size)
{
	void *p = calloc(n ? n : 1, size);

	if (!p)
		abort();
	return p;
}

void *mem_realloc(void *p, size_t n, size_t size)
{
	void *q = reallocarray(p, n ? n : 1, size);

	if (!q)
		abort();
	return q;
}

void *mem_dup(const void *p, size_t len)
{
	char *q = mem_zalloc(len + 1, 1);

	if (len)
		memcpy(q, p, len);
	return q;
}

char *mem_dup_str(const char *s)
{
	return s ? mem_dup(s, strlen(s)) : NULL;
}

void mem_copy_str(char *dst, const char *src, size_t cap)
{
	size_t len = strnlen(src, cap - 1);

	memmove(dst, src, len);
	dst[len] = '\0';
}
