/** Allocation that aborts the process when out of memory: no NULL checks. */
#ifndef JD_CORE_MEM_H
#define JD_CORE_MEM_H

#include <stddef.h>

/** Zeroed memory for @n items of @size bytes each; free() it. */
void *mem_zalloc(size_t n, size_t size);

/** Resizes @p to @n items of @size bytes each; new bytes are not zeroed. */
void *mem_realloc(void *p, size_t n, size_t size);

/** Copies @len bytes and adds a closing NUL; free() it. */
void *mem_dup(const void *p, size_t len);

/** Copies the string @s; free() it. NULL for NULL. */
char *mem_dup_str(const char *s);

/** Copies @src into @dst of @cap bytes, truncated to fit with its NUL. */
void mem_copy_str(char *dst, const char *src, size_t cap);

/** One zeroed struct of @type. */
#define mem_new(type) ((type *)mem_zalloc(1, sizeof(type)))

#endif
