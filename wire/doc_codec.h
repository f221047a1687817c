/** Packs documents into larger MessagePack messages. */
#ifndef JD_WIRE_DOC_CODEC_H
#define JD_WIRE_DOC_CODEC_H

#include <msgpack.h>

#include "core/doc.h"
#include "wire/pack.h"

/** The fields of a roster's member, for documents and deltas alike. */
extern const struct pack_table member_table;

/** Packs the content of @d; nil for an absent document. */
void pack_doc(msgpack_packer *pk, const struct doc *d);
/** Fills the content of @d, whose key is set; false if @o is invalid. */
bool unpack_doc(const msgpack_object *o, struct doc *d);

/** Packs key, revision and content. */
void pack_doc_with_key(msgpack_packer *pk, const struct doc *d);
/** Returns a document, freed with doc_delete(); NULL if @o is invalid. */
struct doc *unpack_doc_with_key(const msgpack_object *o);

#endif
