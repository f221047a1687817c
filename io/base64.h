/** Bytes as text for the store's JSON. */
#ifndef JD_IO_BASE64_H
#define JD_IO_BASE64_H

#include <stddef.h>

/** Text with a closing NUL; free() it. */
char *base64_encode(const void *data, size_t len);

/** Bytes of @text, free() them; NULL when it is not base64. */
unsigned char *base64_decode(const char *text, size_t *len);

#endif
