/** Base64, in which the platform's store keeps values in JSON. */
#ifndef JD_IO_BASE64_H
#define JD_IO_BASE64_H

#include <stddef.h>

/** Returns a NUL-terminated string that the caller frees. */
char *base64_encode(const void *data, size_t len);

/**
 * Returns the decoded bytes, which the caller frees, and sets @len. The
 * padding may be missing. NULL for a character outside the alphabet.
 */
unsigned char *base64_decode(const char *text, size_t *len);

#endif
