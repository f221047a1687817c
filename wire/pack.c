#include "wire/pack.h"

#include <string.h>

#include "core/mem.h"
#include "core/types.h"

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

static bool unpack_value(const msgpack_object *o, char *p,
			 const struct pack_field *f)
{
	uint64_t v;

	if (f->type == PACK_STR)
		return unpack_char_array(o, p, f->limit);
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
