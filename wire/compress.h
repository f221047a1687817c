/**
 * Compresses messages between nodes by zlib, with a preset dictionary of the
 * strings that most of them contain: traffic between regions is charged by the
 * byte.
 */
#ifndef JD_WIRE_COMPRESS_H
#define JD_WIRE_COMPRESS_H

#include "wire/codec.h"

/** Replaces @b by its compressed form if that is shorter. */
void wire_compress(struct wire_buf *b);

/**
 * Undoes wire_compress(). Uncompressed input comes back as it is: the caller
 * frees @out->data only if it differs from @data. False for a corrupt
 * compressed message; then nothing is to be freed.
 */
bool wire_decompress(const void *data, size_t len, struct wire_buf *out);

#endif
