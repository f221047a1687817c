#include "wire/compress.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

#include "core/invariant.h"
#include "core/mem.h"

/* First byte of a compressed message; no MessagePack array begins with it. */
#define COMPRESSED_MARK		0x01
#define COMPRESSED_HEADER_BYTES 5 /* mark and 32-bit uncompressed length */
/* Compression gains nothing for shorter messages. */
#define COMPRESS_MIN_BYTES	96
/* Negative for raw deflate; messages are short, so 4 KiB are enough. */
#define DEFLATE_WINDOW_BITS	(-12)
#define DEFLATE_MEM_LEVEL	5

/*
 * The most common strings stand last, as zlib advises. Sender and receiver
 * need the same dictionary.
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
	int rc;

	if (b->len < COMPRESS_MIN_BYTES || b->len > WIRE_MAX_BYTES)
		return;
	rc = deflateInit2(&z, Z_BEST_SPEED, Z_DEFLATED, DEFLATE_WINDOW_BITS,
			  DEFLATE_MEM_LEVEL, Z_DEFAULT_STRATEGY);
	JD_INVARIANT(rc == Z_OK, "event=deflate_init code=%d", rc);
	deflateSetDictionary(&z, (const Bytef *)dictionary,
			     sizeof(dictionary) - 1);
	out = mem_zalloc(b->len, 1);
	z.next_in = b->data;
	z.avail_in = (uInt)b->len;
	z.next_out = out + COMPRESSED_HEADER_BYTES;
	z.avail_out = (uInt)(b->len - COMPRESSED_HEADER_BYTES);
	rc = deflate(&z, Z_FINISH);
	deflateEnd(&z);
	/* The output has the size of the input: it did not become shorter. */
	if (rc != Z_STREAM_END) {
		free(out);
		return;
	}
	out[0] = COMPRESSED_MARK;
	for (int i = 0; i < 4; i++)
		out[1 + i] = (unsigned char)(b->len >> (8 * i));
	free(b->data);
	b->data = out;
	b->len = COMPRESSED_HEADER_BYTES + z.total_out;
}

bool wire_decompress(const void *data, size_t len, struct wire_buf *out)
{
	const unsigned char *in = data;
	z_stream z = {0};
	size_t plain_len = 0;
	int rc;

	out->data = (unsigned char *)data;
	out->len = len;
	if (!len || in[0] != COMPRESSED_MARK)
		return true;
	if (len < COMPRESSED_HEADER_BYTES)
		return false;
	for (int i = 0; i < 4; i++)
		plain_len |= (size_t)in[1 + i] << (8 * i);
	if (plain_len > WIRE_MAX_BYTES)
		return false;
	rc = inflateInit2(&z, DEFLATE_WINDOW_BITS);
	JD_INVARIANT(rc == Z_OK, "event=inflate_init code=%d", rc);
	inflateSetDictionary(&z, (const Bytef *)dictionary,
			     sizeof(dictionary) - 1);
	out->data = mem_zalloc(plain_len ? plain_len : 1, 1);
	out->len = plain_len;
	z.next_in = (unsigned char *)in + COMPRESSED_HEADER_BYTES;
	z.avail_in = (uInt)(len - COMPRESSED_HEADER_BYTES);
	z.next_out = out->data;
	z.avail_out = (uInt)plain_len;
	rc = inflate(&z, Z_FINISH);
	inflateEnd(&z);
	if (rc == Z_STREAM_END && z.total_out == plain_len)
		return true;
	free(out->data);
	out->data = (unsigned char *)data;
	return false;
}
