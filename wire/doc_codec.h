/** Packing of documents inside larger messages. */
#ifndef JD_WIRE_DOC_CODEC_H
#define JD_WIRE_DOC_CODEC_H

#include <msgpack.h>

#include "core/doc.h"
#include "wire/pack.h"

extern const struct pack_table member_table;

/** The content of @d, nil for an absent one. */
void pack_doc(msgpack_packer *pk, const struct doc *d);
/** Fills the content of @d, whose key says the kind; false if broken. */
bool unpack_doc(const msgpack_object *o, struct doc *d);

/** Key, revision and content together. */
void pack_doc_with_key(msgpack_packer *pk, const struct doc *d);
/** NULL if broken. */
struct doc *unpack_doc_with_key(const msgpack_object *o);

#endif
