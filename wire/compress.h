/**
 * Messages between nodes, squeezed by zlib with a dictionary of what most of
 * them have in common. Bytes between regions have a price.
 */
#ifndef JD_WIRE_COMPRESS_H
#define JD_WIRE_COMPRESS_H

#include "wire/codec.h"

/** Replaces @b by its squeezed form if that is shorter. */
void wire_compress(struct wire_buf *b);

/**
 * The bytes as they were before wire_compress(); false for bytes that it did
 * not make. @out owns its memory only if it differs from @data.
 */
bool wire_decompress(const void *data, size_t len, struct wire_buf *out);

#endif
