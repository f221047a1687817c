#include "io/base64.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

static const char alphabet[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

char *base64_encode(const void *data, size_t len)
{
	const unsigned char *p = data;
	char *out = mem_zalloc((len + 2) / 3 * 4 + 1, 1);
	char *o = out;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t v = (uint32_t)p[i] << 16;

		if (i + 1 < len)
			v |= (uint32_t)p[i + 1] << 8;
		if (i + 2 < len)
			v |= p[i + 2];
		*o++ = alphabet[v >> 18];
		*o++ = alphabet[v >> 12 & 63];
		*o++ = i + 1 < len ? alphabet[v >> 6 & 63] : '=';
		*o++ = i + 2 < len ? alphabet[v & 63] : '=';
	}
	return out;
}

#define NO_DIGIT 0xff

/* Values of the digits, by character. */
static void fill_values(unsigned char values[256])
{
	memset(values, NO_DIGIT, 256);
	for (unsigned char i = 0; i < 64; i++)
		values[(unsigned char)alphabet[i]] = i;
}

unsigned char *base64_decode(const char *text, size_t *len)
{
	size_t n = strlen(text);
	unsigned char values[256];
	unsigned char *out;
	size_t o = 0;

	fill_values(values);
	while (n && text[n - 1] == '=')
		n--;
	out = mem_zalloc(n / 4 * 3 + 3, 1);
	for (size_t i = 0; i < n; i += 4) {
		uint32_t v = 0;

		for (size_t k = 0; k < 4; k++) {
			unsigned char d =
				i + k < n ? values[(unsigned char)text[i + k]]
					  : 0;

			if (d == NO_DIGIT) {
				free(out);
				return NULL;
			}
			v = v << 6 | d;
		}
		out[o++] = (unsigned char)(v >> 16);
		out[o++] = (unsigned char)(v >> 8);
		out[o++] = (unsigned char)v;
	}
	*len = n / 4 * 3 + (n % 4 ? n % 4 - 1 : 0);
	return out;
}
