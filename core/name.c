#include "core/name.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <xxhash.h>

#include "core/invariant.h"

#define DIGEST_CHARS 22 /* 128 bits, 6 in each */
#define MARK	     '~'

/* Writes the digest's bits, the first ones first, without a closing NUL. */
static void put_digest(char *dst, const char *src, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz"
				     "0123456789-_";
	XXH128_canonical_t d;
	uint32_t bits = 0;
	int held = 0;
	size_t at = 0;

	XXH128_canonicalFromHash(&d, XXH3_128bits(src, len));
	for (int i = 0; i < DIGEST_CHARS; i++) {
		if (held < 6) {
			bits = bits << 8 |
			       (at < sizeof(d.digest) ? d.digest[at++] : 0);
			held += 8;
		}
		held -= 6;
		dst[i] = digits[bits >> held & 0x3f];
	}
}

/* True for the second and further bytes of a UTF-8 character. */
static bool is_continuation(char c)
{
	return ((unsigned char)c & 0xc0) == 0x80;
}

void name_copy(char *dst, const char *src, size_t cap)
{
	size_t len = strlen(src);
	size_t start = cap - DIGEST_CHARS - 2;

	JD_INVARIANT(cap >= NAME_CAP_MIN, "event=name_field cap=%zu", cap);
	if (len < cap) {
		memcpy(dst, src, len + 1);
		return;
	}
	/* Names end up in JSON, which takes whole characters only. */
	while (start && is_continuation(src[start]))
		start--;
	memcpy(dst, src, start);
	dst[start] = MARK;
	put_digest(dst + start + 1, src, len);
	dst[start + 1 + DIGEST_CHARS] = '\0';
}

struct name_text name_for_log(const char *name)
{
	struct name_text t = {{0}};

	name_copy(t.text, name ? name : "", sizeof(t.text));
	return t;
}
