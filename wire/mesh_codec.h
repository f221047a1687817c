/** Encodes the store's records of a leased fleet in MessagePack. */
#ifndef JD_WIRE_MESH_CODEC_H
#define JD_WIRE_MESH_CODEC_H

#include "core/mesh_io.h"
#include "wire/codec.h"
#include "wire/pack.h"

/** Allocates @out->data. */
void mesh_encode_card(const struct node_card *card, struct wire_buf *out);
/** False for bytes that are not a valid card; then @card is undefined. */
bool mesh_decode_card(const void *data, size_t len, struct node_card *card);

/** Allocates @out->data. */
void mesh_encode_keymap(const struct keymap *map, struct wire_buf *out);
/**
 * Returns the keymap, which the caller frees with keymap_delete(); NULL for
 * bytes that are not a valid keymap or whose rows do not cover each key exactly
 * once.
 */
struct keymap *mesh_decode_keymap(const char *service, const void *data,
				  size_t len);

/** Packs changed records: cards and keymaps whole, manifests by their delta. */
void mesh_pack_records(msgpack_packer *pk, const struct list *records);
/** Appends to @records; false if @o is invalid, then with part of them. */
bool mesh_unpack_records(const msgpack_object *o, struct list *records);

#endif
