/** Documents and messages to bytes and back, in MessagePack. */
#ifndef JD_WIRE_CODEC_H
#define JD_WIRE_CODEC_H

#include "core/doc.h"
#include "core/message.h"
#include "core/status.h"

/** Larger input is refused unread. */
#define WIRE_MAX_BYTES (8u << 20)

struct wire_buf {
	unsigned char *data; /* free() it */
	size_t len;	     /* bytes */
};

void wire_encode_message(const struct message *m, struct wire_buf *out);
/** NULL with a status for bytes that are no message; message_delete() it. */
struct message *wire_decode_message(const void *data, size_t len,
				    struct status *st);

/** The content of a document; its key and revision travel apart. */
void wire_encode_doc(const struct doc *d, struct wire_buf *out);
/** NULL with a status for bytes that are no such document. */
struct doc *wire_decode_doc(const struct doc_key *key, const void *data,
			    size_t len, struct status *st);

#endif
