/** Packing of shards; owners are named by index into a list of names. */
#ifndef JD_WIRE_SHARD_CODEC_H
#define JD_WIRE_SHARD_CODEC_H

#include <msgpack.h>

#include "core/shard_map.h"

/** The incarnations that shards name, each once. */
struct names {
	uint32_t count;
	incarnation_t *items; /* free() it */
};

void pack_names(msgpack_packer *pk, const struct names *n);
/** Three numbers; adds the incarnations to @n. */
void pack_shard(msgpack_packer *pk, const struct shard *s, struct names *n);
/** Reads the three numbers that start at @at of the array @o. */
bool unpack_shard(const msgpack_object *names, const msgpack_object *o,
		  size_t at, struct shard *s);

/** An array of pinned keys. */
void pack_pinned(msgpack_packer *pk, const struct list *pinned,
		 struct names *n);
bool unpack_pinned(const msgpack_object *names, const msgpack_object *o,
		   struct list *pinned);

#endif
