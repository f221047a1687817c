/** Encodes messages and documents in MessagePack and decodes them. */
#ifndef JD_WIRE_CODEC_H
#define JD_WIRE_CODEC_H

#include "core/doc.h"
#include "core/message.h"
#include "core/status.h"

/** Larger input is rejected without being parsed. */
#define WIRE_MAX_BYTES (8u << 20)

/** An encoded message or document. */
struct wire_buf {
	unsigned char *data; /* freed by the owner with free() */
	size_t len;	     /* bytes */
};

/** Allocates @out->data. */
void wire_encode_message(const struct message *m, struct wire_buf *out);
/**
 * Returns the message, which the caller frees with message_delete(); NULL,
 * with the reason in @st, for bytes that are not a valid message.
 */
struct message *wire_decode_message(const void *data, size_t len,
				    struct status *st);

/** Encodes the content of a document, without its key and revision. */
void wire_encode_doc(const struct doc *d, struct wire_buf *out);
/**
 * Returns the document of @key with revision 0, which the caller frees with
 * doc_delete(); NULL, with the reason in @st, for bytes that are not a valid
 * document of that kind.
 */
struct doc *wire_decode_doc(const struct doc_key *key, const void *data,
			    size_t len, struct status *st);

#endif
