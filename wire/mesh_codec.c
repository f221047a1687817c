#include "wire/mesh_codec.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/keymap_delta.h"
#include "core/mem.h"
#include "wire/manifest_codec.h"
#include "wire/pack.h"

/* Limit of distinct holders in a keymap; keymaps with more are rejected. */
#define HOLDERS_MAX    4096
/* Of the index of a keymap's holders. */
#define HOLDER_BUCKETS 512
/* Several times what a card has; other builds may add fields. */
#define CARD_MAX_BYTES 4096
/* A keymap with a higher fence is rejected: the next ones could wrap. */
#define FENCE_MAX      ((UINT64_C(1) << 62) - 1)

static const struct pack_field card_fields[] = {
	PACK_STR_OF(struct node_card, node),
	PACK_STR_OF(struct node_card, peer_addr),
	PACK_STR_OF(struct node_card, dc),
	PACK_STR_OF(struct node_card, region),
	PACK_U64_OF(struct node_card, boot),
	PACK_STR_OF(struct node_card, service),
	PACK_STR_OF(struct node_card, upstream.node),
	PACK_STR_OF(struct node_card, upstream.instance),
	PACK_U64_OF(struct node_card, upstream.born),
	PACK_U32_OF(struct node_card, slots),
	PACK_BOOL_OF(struct node_card, draining),
};
static const struct pack_table card_table = PACK_TABLE(card_fields);

static const struct pack_field holder_fields[] = {
	PACK_STR_OF(struct holder_id, node),
	PACK_STR_OF(struct holder_id, instance),
	PACK_U64_OF(struct holder_id, born),
};
static const struct pack_table holder_table = PACK_TABLE(holder_fields);

/* An encoded row; owner is an index into the keymap's list of holders. */
struct packed_row {
	uint32_t from;
	uint32_t to;
	uint64_t fence;
	uint32_t owner;
	char handover[KEYMAP_HANDOVER_MAX];
	char target[JD_NODE_NAME_MAX];
};

static const struct pack_field row_fields[] = {
	PACK_U32_OF(struct packed_row, from),
	PACK_U32_OF(struct packed_row, to),
	PACK_U64_OF(struct packed_row, fence),
	PACK_U32_OF(struct packed_row, owner),
	PACK_STR_OF(struct packed_row, handover),
	PACK_STR_OF(struct packed_row, target),
};
static const struct pack_table row_table = PACK_TABLE(row_fields);

static void release_buffer(msgpack_sbuffer *sb, struct wire_buf *out)
{
	out->len = sb->size;
	out->data = (unsigned char *)msgpack_sbuffer_release(sb);
}

void mesh_encode_card(const struct node_card *card, struct wire_buf *out)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	pack_struct(&pk, card, &card_table);
	release_buffer(&sb, out);
}

bool mesh_decode_card(const void *data, size_t len, struct node_card *card)
{
	msgpack_unpacked u;
	bool ok;

	msgpack_unpacked_init(&u);
	ok = len <= CARD_MAX_BYTES && unpack_bytes(&u, data, len) &&
	     unpack_struct(&u.data, card, &card_table);
	msgpack_unpacked_destroy(&u);
	return ok;
}

/* An owner in a keymap that is being encoded. */
struct packed_holder {
	struct list link;
	struct list in_bucket;
	const struct holder_id *id;
	uint32_t index; /* in the keymap's list of holders */
};

/* The owners of a keymap, in the order of their first rows. */
struct holder_index {
	struct list all; /* of struct packed_holder */
	struct list buckets[HOLDER_BUCKETS];
	uint32_t count;
};

static void holder_index_init(struct holder_index *x)
{
	list_init(&x->all);
	for (int i = 0; i < HOLDER_BUCKETS; i++)
		list_init(&x->buckets[i]);
	x->count = 0;
}

static void holder_index_done(struct holder_index *x)
{
	struct packed_holder *h, *tmp;

	list_for_each_entry_safe(h, tmp, &x->all, link)
		free(h);
}

/* Adds @id if it is new. */
static uint32_t holder_index_of(struct holder_index *x,
				const struct holder_id *id)
{
	uint32_t hash = XXH32(id->node, strlen(id->node), (uint32_t)id->born);
	struct list *bucket = &x->buckets[hash % HOLDER_BUCKETS];
	struct packed_holder *h;

	list_for_each_entry(h, bucket, in_bucket)
		if (holder_equal(h->id, id))
			return h->index;
	h = mem_new(struct packed_holder);
	h->id = id;
	h->index = x->count++;
	list_push_back(&x->all, &h->link);
	list_push_back(bucket, &h->in_bucket);
	return h->index;
}

static void pack_row(msgpack_packer *pk, const struct keyrow *r, uint32_t owner)
{
	struct packed_row p = {.from = r->from,
			       .to = r->to,
			       .fence = r->fence,
			       .owner = owner};

	mem_copy_str(p.handover, r->handover, sizeof(p.handover));
	mem_copy_str(p.target, r->target, sizeof(p.target));
	pack_struct(pk, &p, &row_table);
}

void mesh_encode_keymap(const struct keymap *map, struct wire_buf *out)
{
	struct holder_index x;
	const struct packed_holder *h;
	const struct keyrow *r;
	size_t rows = 0;
	msgpack_sbuffer sb;
	msgpack_packer pk;

	holder_index_init(&x);
	list_for_each_entry(r, &map->rows, link) {
		rows++;
		holder_index_of(&x, &r->owner);
	}
	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint64(&pk, map->fence);
	msgpack_pack_array(&pk, x.count);
	list_for_each_entry(h, &x.all, link)
		pack_struct(&pk, h->id, &holder_table);
	msgpack_pack_array(&pk, rows);
	list_for_each_entry(r, &map->rows, link)
		pack_row(&pk, r, holder_index_of(&x, &r->owner));
	holder_index_done(&x);
	release_buffer(&sb, out);
}

static bool unpack_rows(const msgpack_object *o, const struct holder_id *ids,
			uint32_t count, struct keymap *map)
{
	const msgpack_object *it;

	for (size_t i = 0; (it = unpack_at(o, i)); i++) {
		struct packed_row p;
		struct keyrow *r;

		if (!unpack_struct(it, &p, &row_table) || p.owner >= count)
			return false;
		r = keymap_append_row(map, p.from, p.to);
		r->fence = p.fence;
		r->owner = ids[p.owner];
		mem_copy_str(r->handover, p.handover, sizeof(r->handover));
		mem_copy_str(r->target, p.target, sizeof(r->target));
	}
	return true;
}

static bool unpack_keymap(const msgpack_object *o, struct keymap *map)
{
	const msgpack_object *holders = unpack_at(o, 1);
	struct holder_id *ids;
	uint32_t count = 0;
	bool ok;

	if (!unpack_at(o, 0) || !unpack_u64(unpack_at(o, 0), &map->fence) ||
	    map->fence > FENCE_MAX || !holders ||
	    holders->type != MSGPACK_OBJECT_ARRAY ||
	    holders->via.array.size > HOLDERS_MAX || !unpack_at(o, 2))
		return false;
	ids = mem_zalloc(holders->via.array.size + 1, sizeof(*ids));
	ok = true;
	for (; ok && count < holders->via.array.size; count++)
		ok = unpack_struct(unpack_at(holders, count), &ids[count],
				   &holder_table);
	ok = ok && unpack_rows(unpack_at(o, 2), ids, count, map);
	free(ids);
	return ok;
}

/* NULL for bytes that are no rows of a keymap, which may have gaps. */
static struct keymap *decode_rows(const char *service, const void *data,
				  size_t len)
{
	struct keymap *map = keymap_new(service);
	msgpack_unpacked u;
	bool ok;

	msgpack_unpacked_init(&u);
	ok = len <= WIRE_MAX_BYTES && unpack_bytes(&u, data, len) &&
	     unpack_keymap(&u.data, map) && keymap_delta_valid(map);
	msgpack_unpacked_destroy(&u);
	if (ok)
		return map;
	keymap_delete(map);
	return NULL;
}

struct keymap *mesh_decode_keymap(const char *service, const void *data,
				  size_t len)
{
	struct keymap *map = decode_rows(service, data, len);

	if (!map || keymap_valid(map))
		return map;
	keymap_delete(map);
	return NULL;
}

static const struct pack_field record_fields[] = {
	PACK_ENUM_OF(struct record, kind, RECORD_KIND_COUNT),
	PACK_STR_OF(struct record, name),
	PACK_NUMBER_OF(struct record, revision),
	PACK_BOOL_OF(struct record, removed),
	PACK_BOOL_OF(struct record, invalid),
	PACK_ERA_OF(struct record, revision),
	PACK_NUMBER_OF(struct record, keymap_base),
	PACK_ERA_OF(struct record, keymap_base),
	PACK_U64_OF(struct record, keymap_digest),
};
static const struct pack_table record_table =
	PACK_TABLE_WITH_OPTIONAL(record_fields, 4);

static bool has_content(const struct record *r)
{
	return !r->removed && !r->invalid &&
	       (r->kind == RECORD_CARD || r->kind == RECORD_KEYMAP);
}

/* Nodes that know no deltas ignore what follows a manifest's header. */
static void pack_delta(msgpack_packer *pk, const struct record *r)
{
	if (r->kind == RECORD_MANIFEST && r->delta)
		pack_manifest_delta(pk, r->delta);
	else
		msgpack_pack_nil(pk);
}

static void pack_record(msgpack_packer *pk, const struct record *r)
{
	struct wire_buf b;

	msgpack_pack_array(pk, 2);
	pack_struct(pk, r, &record_table);
	if (!has_content(r)) {
		pack_delta(pk, r);
		return;
	}
	if (r->kind == RECORD_CARD)
		mesh_encode_card(&r->u.card, &b);
	else
		mesh_encode_keymap(r->u.keymap, &b);
	pack_bin(pk, b.data, b.len);
	free(b.data);
}

void mesh_pack_records(msgpack_packer *pk, const struct list *records)
{
	const struct record *r;
	size_t count = 0;

	list_for_each_entry(r, records, link)
		count++;
	msgpack_pack_array(pk, count);
	list_for_each_entry(r, records, link)
		pack_record(pk, r);
}

static bool unpack_content(const msgpack_object *o, struct record *r)
{
	if (r->kind == RECORD_MANIFEST && o &&
	    o->type == MSGPACK_OBJECT_ARRAY) {
		/* NULL for one of a later build: the document is read then. */
		r->delta = unpack_manifest_delta(o);
		return true;
	}
	if (!has_content(r))
		return true;
	if (!o || o->type != MSGPACK_OBJECT_BIN)
		return false;
	if (r->kind == RECORD_CARD)
		return mesh_decode_card(o->via.bin.ptr, o->via.bin.size,
					&r->u.card);
	if (r->keymap_base)
		r->u.keymap =
			decode_rows(r->name, o->via.bin.ptr, o->via.bin.size);
	else
		r->u.keymap = mesh_decode_keymap(r->name, o->via.bin.ptr,
						 o->via.bin.size);
	return r->u.keymap != NULL;
}

bool mesh_unpack_records(const msgpack_object *o, struct list *records)
{
	const msgpack_object *it;

	if (!o || o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (size_t i = 0; (it = unpack_at(o, i)); i++) {
		struct record header = {0};
		struct record *r;

		if (!unpack_at(it, 0) ||
		    !unpack_struct(unpack_at(it, 0), &header, &record_table))
			return false;
		r = record_new(header.kind, header.name);
		r->revision = header.revision;
		r->removed = header.removed;
		r->invalid = header.invalid;
		r->keymap_base = header.keymap_base;
		r->keymap_digest = header.keymap_digest;
		list_push_back(records, &r->link);
		if (!unpack_content(unpack_at(it, 1), r))
			return false;
	}
	return true;
}
