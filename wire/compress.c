#include "wire/compress.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

#include "core/invariant.h"
#include "core/mem.h"

/* No MessagePack array begins with it. */
#define SQUEEZED_MARK  0x01
#define SQUEEZED_HEAD  5 /* the mark and four bytes of length */
/* Shorter messages gain nothing. */
#define SQUEEZE_LEAST  96
/* Raw deflate in a small window: messages are short. */
#define SQUEEZE_WINDOW (-12)
#define SQUEEZE_MEMORY 5

/*
 * The commonest strings stand last, as zlib advises. Nodes that squeeze for
 * one another have the same dictionary.
 */
static const char dictionary[] = "Idempotency-Key"
				 "If-None-Match"
				 "Cache-Control"
				 "max-age="
				 "Last-Modified"
				 "ETag"
				 "Vary"
				 "Authorization"
				 "Bearer "
				 "X-Request-Id"
				 "Retry-After"
				 "Keep-Alive"
				 "timeout="
				 "text/plain"
				 "application/json"
				 "application/octet-stream"
				 "Content-Type"
				 "Cookie"
				 "lang=en; "
				 "User-Agent"
				 "Accept-Encoding"
				 "identity"
				 "gzip, deflate"
				 "Accept"
				 "*/*"
				 "Host"
				 ".example"
				 "-Response-Signature"
				 "-Server-Load"
				 "-Shard-Key"
				 "-Request-Id"
				 "POST"
				 "GET";

void wire_compress(struct wire_buf *b)
{
	z_stream z = {0};
	unsigned char *out;
	int ok;

	if (b->len < SQUEEZE_LEAST || b->len > WIRE_MAX_BYTES)
		return;
	ok = deflateInit2(&z, Z_BEST_SPEED, Z_DEFLATED, SQUEEZE_WINDOW,
			  SQUEEZE_MEMORY, Z_DEFAULT_STRATEGY);
	JD_INVARIANT(ok == Z_OK, "event=deflate_init code=%d", ok);
	deflateSetDictionary(&z, (const Bytef *)dictionary,
			     sizeof(dictionary) - 1);
	out = mem_zalloc(b->len, 1);
	z.next_in = b->data;
	z.avail_in = (uInt)b->len;
	z.next_out = out + SQUEEZED_HEAD;
	z.avail_out = (uInt)(b->len - SQUEEZED_HEAD);
	ok = deflate(&z, Z_FINISH);
	deflateEnd(&z);
	/* It did not become shorter. */
	if (ok != Z_STREAM_END) {
		free(out);
		return;
	}
	out[0] = SQUEEZED_MARK;
	for (int i = 0; i < 4; i++)
		out[1 + i] = (unsigned char)(b->len >> (8 * i));
	free(b->data);
	b->data = out;
	b->len = SQUEEZED_HEAD + z.total_out;
}

bool wire_decompress(const void *data, size_t len, struct wire_buf *out)
{
	const unsigned char *in = data;
	z_stream z = {0};
	size_t whole = 0;
	int ok;

	out->data = (unsigned char *)data;
	out->len = len;
	if (!len || in[0] != SQUEEZED_MARK)
		return true;
	if (len < SQUEEZED_HEAD)
		return false;
	for (int i = 0; i < 4; i++)
		whole |= (size_t)in[1 + i] << (8 * i);
	if (whole > WIRE_MAX_BYTES)
		return false;
	ok = inflateInit2(&z, SQUEEZE_WINDOW);
	JD_INVARIANT(ok == Z_OK, "event=inflate_init code=%d", ok);
	inflateSetDictionary(&z, (const Bytef *)dictionary,
			     sizeof(dictionary) - 1);
	out->data = mem_zalloc(whole ? whole : 1, 1);
	out->len = whole;
	z.next_in = (unsigned char *)in + SQUEEZED_HEAD;
	z.avail_in = (uInt)(len - SQUEEZED_HEAD);
	z.next_out = out->data;
	z.avail_out = (uInt)whole;
	ok = inflate(&z, Z_FINISH);
	inflateEnd(&z);
	if (ok == Z_STREAM_END && z.total_out == whole)
		return true;
	free(out->data);
	out->data = (unsigned char *)data;
	return false;
}
