#include "wire/pack.h"

#include <string.h>

#include "core/mem.h"
#include "core/types.h"

/** What follows the first byte of a value. */
struct head {
	uint8_t length_size; /* bytes of the length */
	uint8_t items;	     /* for each unit of the length; 0: a byte */
	uint8_t fixed;	     /* further bytes */
	bool invalid;
};

#define HEADS_FIRST 0xc0
/* The first bytes 0xc0 to 0xdf; the others contain their length. */
static const struct head heads[] = {
	[0x01] = {.invalid = true},
	[0x04] = {.length_size = 1}, /* bytes */
	[0x05] = {.length_size = 2},
	[0x06] = {.length_size = 4},
	[0x07] = {.length_size = 1, .fixed = 1}, /* extensions */
	[0x08] = {.length_size = 2, .fixed = 1},
	[0x09] = {.length_size = 4, .fixed = 1},
	[0x0a] = {.fixed = 4}, /* floats */
	[0x0b] = {.fixed = 8},
	[0x0c] = {.fixed = 1}, /* unsigned integers */
	[0x0d] = {.fixed = 2},
	[0x0e] = {.fixed = 4},
	[0x0f] = {.fixed = 8},
	[0x10] = {.fixed = 1}, /* signed integers */
	[0x11] = {.fixed = 2},
	[0x12] = {.fixed = 4},
	[0x13] = {.fixed = 8},
	[0x14] = {.fixed = 2}, /* extensions of a fixed length */
	[0x15] = {.fixed = 3},
	[0x16] = {.fixed = 5},
	[0x17] = {.fixed = 9},
	[0x18] = {.fixed = 17},
	[0x19] = {.length_size = 1}, /* strings */
	[0x1a] = {.length_size = 2},
	[0x1b] = {.length_size = 4},
	[0x1c] = {.length_size = 2, .items = 1}, /* arrays */
	[0x1d] = {.length_size = 4, .items = 1},
	[0x1e] = {.length_size = 2, .items = 2}, /* maps */
	[0x1f] = {.length_size = 4, .items = 2},
};

static uint64_t read_length(const unsigned char *p, size_t size)
{
	uint64_t v = 0;

	while (size--)
		v = v << 8 | *p++;
	return v;
}

/*
 * Steps over one value's own bytes at *@p, of which *@left follow, and sets
 * @items to the number of values in it. False if bytes are missing.
 */
static bool skip_head(const unsigned char **p, size_t *left, uint64_t *items)
{
	unsigned char first = **p;
	uint64_t bytes = 1;

	*items = 0;
	if (first >= 0x80 && first <= 0x8f) {
		*items = 2 * (first & 0x0f);
	} else if (first >= 0x90 && first <= 0x9f) {
		*items = first & 0x0f;
	} else if (first >= 0xa0 && first <= 0xbf) {
		bytes += first & 0x1f;
	} else if (first >= HEADS_FIRST && first <= 0xdf) {
		const struct head *h = &heads[first - HEADS_FIRST];
		uint64_t length;

		if (h->invalid || *left < 1u + h->length_size)
			return false;
		length = read_length(*p + 1, h->length_size);
		*items = length * h->items;
		bytes += h->length_size + h->fixed + (h->items ? 0 : length);
	}
	if (*left < bytes)
		return false;
	*p += bytes;
	*left -= bytes;
	return true;
}

/* Each value has a byte at least, so more can't follow than bytes do. */
static bool lengths_fit(const unsigned char *p, size_t left)
{
	uint64_t values = 1;

	while (values) {
		uint64_t items;

		if (values > left || !skip_head(&p, &left, &items))
			return false;
		values += items - 1;
	}
	return true;
}

bool unpack_bytes(msgpack_unpacked *u, const void *data, size_t len)
{
	size_t off = 0;

	return lengths_fit(data, len) &&
	       msgpack_unpack_next(u, data, len, &off) ==
		       MSGPACK_UNPACK_SUCCESS;
}

void pack_str(msgpack_packer *pk, const char *s)
{
	size_t len = strlen(s);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, s, len);
}

void pack_bin(msgpack_packer *pk, const void *data, size_t len)
{
	msgpack_pack_bin(pk, len);
	msgpack_pack_bin_body(pk, len ? data : "", len);
}

static void pack_text(msgpack_packer *pk, const char *s)
{
	pack_str(pk, s ? s : "");
}

static void pack_value(msgpack_packer *pk, const char *p, enum pack_type type)
{
	switch (type) {
	case PACK_U64:
		msgpack_pack_uint64(pk, *(const uint64_t *)p);
		break;
	case PACK_U32:
		msgpack_pack_uint32(pk, *(const uint32_t *)p);
		break;
	case PACK_BOOL:
		msgpack_pack_uint8(pk, *(const bool *)p);
		break;
	case PACK_ENUM:
		msgpack_pack_int(pk, *(const int *)p);
		break;
	case PACK_STR:
		pack_str(pk, p);
		break;
	case PACK_TEXT:
		pack_text(pk, *(char *const *)p);
		break;
	case PACK_NUMBER:
		msgpack_pack_uint64(pk,
				    revision_number(*(const revision_t *)p));
		break;
	case PACK_ERA:
		msgpack_pack_uint64(pk, revision_era(*(const revision_t *)p));
		break;
	}
}

void pack_struct(msgpack_packer *pk, const void *obj,
		 const struct pack_table *t)
{
	msgpack_pack_array(pk, t->count);
	for (size_t i = 0; i < t->count; i++)
		pack_value(pk, (const char *)obj + t->fields[i].offset,
			   t->fields[i].type);
}

bool unpack_u64(const msgpack_object *o, uint64_t *v)
{
	if (!o || o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*v = o->via.u64;
	return true;
}

static bool unpack_char_array(const msgpack_object *o, char *dst, size_t size)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size)
		return false;
	/* The pointer of an empty string may be NULL. */
	if (o->via.str.size) {
		if (memchr(o->via.str.ptr, '\0', o->via.str.size))
			return false;
		memcpy(dst, o->via.str.ptr, o->via.str.size);
	}
	dst[o->via.str.size] = '\0';
	return true;
}

static bool unpack_text(const msgpack_object *o, char **dst)
{
	char *text = unpack_str(o);

	if (!text)
		return false;
	free(*dst);
	*dst = text;
	return true;
}

static bool unpack_value(const msgpack_object *o, char *p,
			 const struct pack_field *f)
{
	uint64_t v;

	if (f->type == PACK_STR)
		return unpack_char_array(o, p, f->limit);
	if (f->type == PACK_TEXT)
		return unpack_text(o, (char **)p);
	if (!unpack_u64(o, &v))
		return false;
	switch (f->type) {
	case PACK_U64:
		*(uint64_t *)p = v;
		return true;
	case PACK_U32:
		*(uint32_t *)p = (uint32_t)v;
		return v <= UINT32_MAX;
	case PACK_BOOL:
		*(bool *)p = v != 0;
		return v <= 1;
	case PACK_ENUM:
		if (v >= f->limit)
			return false;
		*(int *)p = (int)v;
		return true;
	case PACK_NUMBER:
		*(revision_t *)p = v;
		return v <= REVISION_NUMBER_MAX;
	case PACK_ERA:
		*(revision_t *)p = revision_make(v, *(revision_t *)p);
		return v <= REVISION_ERA_MAX;
	case PACK_STR:
	case PACK_TEXT:
		break;
	}
	return false;
}

bool unpack_struct(const msgpack_object *o, void *obj,
		   const struct pack_table *t)
{
	if (!o || o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size < t->required)
		return false;
	for (size_t i = 0; i < t->count && i < o->via.array.size; i++)
		if (!unpack_value(&o->via.array.ptr[i],
				  (char *)obj + t->fields[i].offset,
				  &t->fields[i]))
			return false;
	return true;
}

const msgpack_object *unpack_at(const msgpack_object *o, size_t i)
{
	if (!o || o->type != MSGPACK_OBJECT_ARRAY || i >= o->via.array.size)
		return NULL;
	return &o->via.array.ptr[i];
}

char *unpack_str(const msgpack_object *o)
{
	const char *text;

	if (!o || o->type != MSGPACK_OBJECT_STR)
		return NULL;
	/* The pointer of an empty string may be NULL. */
	text = o->via.str.size ? o->via.str.ptr : "";
	if (memchr(text, '\0', o->via.str.size))
		return NULL;
	return mem_dup(text, o->via.str.size);
}
