/** Packs document deltas into larger MessagePack messages. */
#ifndef JD_WIRE_DELTA_CODEC_H
#define JD_WIRE_DELTA_CODEC_H

#include <msgpack.h>

#include "core/doc_delta.h"

/** Packs a list of struct doc_delta as an array. */
void pack_deltas(msgpack_packer *pk, const struct list *deltas);
/** Appends to @deltas; false if @o is invalid, then with part of them. */
bool unpack_deltas(const msgpack_object *o, struct list *deltas);

#endif
