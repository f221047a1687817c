/** Packing of changes of documents inside larger messages. */
#ifndef JD_WIRE_DELTA_CODEC_H
#define JD_WIRE_DELTA_CODEC_H

#include <msgpack.h>

#include "core/doc_delta.h"

/** An array of struct doc_delta. */
void pack_deltas(msgpack_packer *pk, const struct list *deltas);
/** Appends to @deltas; false if broken. */
bool unpack_deltas(const msgpack_object *o, struct list *deltas);

#endif
