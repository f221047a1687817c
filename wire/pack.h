/** Packs structs as MessagePack arrays, described by tables of fields. */
#ifndef JD_WIRE_PACK_H
#define JD_WIRE_PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>

#include "core/list.h"

enum pack_type {
	PACK_U64,
	PACK_U32,
	PACK_BOOL,
	PACK_ENUM, /* an int; limit is the first invalid value */
	PACK_STR,  /* a char array; limit is its size in bytes */
};

struct pack_field {
	enum pack_type type;
	size_t offset; /* bytes from the start of the struct */
	size_t limit;
};

struct pack_table {
	const struct pack_field *fields;
	size_t count;
};

#define PACK_U64_OF(type, member)                                              \
	{                                                                      \
		PACK_U64, offsetof(type, member), 0                            \
	}
#define PACK_U32_OF(type, member)                                              \
	{                                                                      \
		PACK_U32, offsetof(type, member), 0                            \
	}
#define PACK_BOOL_OF(type, member)                                             \
	{                                                                      \
		PACK_BOOL, offsetof(type, member), 0                           \
	}
#define PACK_ENUM_OF(type, member, end)                                        \
	{                                                                      \
		PACK_ENUM, offsetof(type, member), end                         \
	}
#define PACK_STR_OF(type, member)                                              \
	{                                                                      \
		PACK_STR, offsetof(type, member), sizeof(((type *)0)->member)  \
	}
#define PACK_TABLE(fields)                                                     \
	{                                                                      \
		fields, sizeof(fields) / sizeof(*(fields))                     \
	}

/** Packs the fields of @obj as one array, in the table's order. */
void pack_struct(msgpack_packer *pk, const void *obj,
		 const struct pack_table *t);
/**
 * Fills @obj; false if @o is no array or a field is missing or invalid, then
 * with part of the fields. Items after the table's last field are ignored.
 */
bool unpack_struct(const msgpack_object *o, void *obj,
		   const struct pack_table *t);

void pack_str(msgpack_packer *pk, const char *s);
void pack_bin(msgpack_packer *pk, const void *data, size_t len);

/** Item @i, from 0; NULL if @o is NULL, no array or too short. */
const msgpack_object *unpack_at(const msgpack_object *o, size_t i);
/** False if @o is NULL or not a non-negative integer. */
bool unpack_u64(const msgpack_object *o, uint64_t *v);
/**
 * Returns a NUL-terminated copy, which the caller frees; NULL if @o is NULL, no
 * string or contains a NUL byte.
 */
char *unpack_str(const msgpack_object *o);

#endif
