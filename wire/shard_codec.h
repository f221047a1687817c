/** Packs shards; owners are written as indexes of a table of incarnations. */
#ifndef JD_WIRE_SHARD_CODEC_H
#define JD_WIRE_SHARD_CODEC_H

#include <msgpack.h>

#include "core/shard_map.h"

/** The incarnations that packed shards refer to, each once. */
struct incarnation_table {
	uint32_t count;
	incarnation_t *items; /* freed by the owner with free() */
};

void pack_incarnations(msgpack_packer *pk, const struct incarnation_table *t);
/**
 * Packs three numbers: owner, target and epoch. Incarnations that @t lacks
 * are added to it.
 */
void pack_shard(msgpack_packer *pk, const struct shard *s,
		struct incarnation_table *t);
/**
 * Reads the three numbers that start at item @at of the array @o; @incs is the
 * packed table. False if they are invalid.
 */
bool unpack_shard(const msgpack_object *incs, const msgpack_object *o,
		  size_t at, struct shard *s);

/** Packs a list of struct pinned_key as an array. */
void pack_pinned(msgpack_packer *pk, const struct list *pinned,
		 struct incarnation_table *t);
/** Appends to @pinned; false if @o is invalid, then with part of them. */
bool unpack_pinned(const msgpack_object *incs, const msgpack_object *o,
		   struct list *pinned);

#endif
