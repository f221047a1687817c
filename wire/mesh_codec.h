/** A leased fleet's own records to bytes and back, in MessagePack. */
#ifndef JD_WIRE_MESH_CODEC_H
#define JD_WIRE_MESH_CODEC_H

#include "core/mesh_io.h"
#include "wire/codec.h"
#include "wire/pack.h"

void mesh_encode_card(const struct node_card *card, struct wire_buf *out);
/** False for bytes that are no card. */
bool mesh_decode_card(const void *data, size_t len, struct node_card *card);

void mesh_encode_keymap(const struct keymap *map, struct wire_buf *out);
/** NULL for bytes that are no keymap, or one that leaves keys out. */
struct keymap *mesh_decode_keymap(const char *service, const void *data,
				  size_t len);

/** Changed records for another node; a manifest goes without content. */
void mesh_pack_records(msgpack_packer *pk, const struct list *records);
/** Appends them to @records; false for bytes that are none. */
bool mesh_unpack_records(const msgpack_object *o, struct list *records);

#endif
