/** Packs deltas of manifests into larger MessagePack messages. */
#ifndef JD_WIRE_MANIFEST_CODEC_H
#define JD_WIRE_MANIFEST_CODEC_H

#include <msgpack.h>

#include "core/manifest_delta.h"

/** Packs @d as an array. */
void pack_manifest_delta(msgpack_packer *pk, const struct manifest_delta *d);
/** Returns a delta with one reference; NULL if @o is invalid. */
struct manifest_delta *unpack_manifest_delta(const msgpack_object *o);

#endif
