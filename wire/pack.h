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
	PACK_ENUM,   /* an int; limit is the first invalid value */
	PACK_STR,    /* a char array; limit is its size in bytes */
	PACK_TEXT,   /* a char *, which the struct owns; NULL is packed as "" */
	PACK_NUMBER, /* a revision_t without its era */
	PACK_ERA,    /* the era of a revision_t; follows its PACK_NUMBER */
};

struct pack_field {
	enum pack_type type;
	size_t offset; /* bytes from the start of the struct */
	size_t limit;
};

struct pack_table {
	const struct pack_field *fields;
	size_t count;
	/* The fields after these were added later: they may be missing. */
	size_t required;
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
#define PACK_TEXT_OF(type, member)                                             \
	{                                                                      \
		PACK_TEXT, offsetof(type, member), 0                           \
	}
/* Two fields of one revision: other builds know only its number. */
#define PACK_NUMBER_OF(type, member)                                           \
	{                                                                      \
		PACK_NUMBER, offsetof(type, member), 0                         \
	}
#define PACK_ERA_OF(type, member)                                              \
	{                                                                      \
		PACK_ERA, offsetof(type, member), 0                            \
	}
#define PACK_TABLE(fields) PACK_TABLE_WITH_OPTIONAL(fields, 0)
/* The last @n fields are optional. */
#define PACK_TABLE_WITH_OPTIONAL(fields, n)                                    \
	{                                                                      \
		fields, sizeof(fields) / sizeof(*(fields)),                    \
			sizeof(fields) / sizeof(*(fields)) - (n)               \
	}

/**
 * Unpacks the value at the start of @data; false if it is malformed, or
 * declares more items or bytes than follow, for which nothing is allocated. The
 * caller destroys @u, which it has initialised, in either case.
 */
bool unpack_bytes(msgpack_unpacked *u, const void *data, size_t len);

/** Packs the fields of @obj as one array, in the table's order. */
void pack_struct(msgpack_packer *pk, const void *obj,
		 const struct pack_table *t);
/**
 * Fills @obj; false if @o is no array or a field is missing or invalid, then
 * with part of the fields. Optional fields that are missing stay as they are in
 * @obj. Items after the table's last field are ignored.
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
