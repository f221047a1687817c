#include "wire/delta_codec.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "wire/doc_codec.h"
#include "wire/pack.h"
#include "wire/shard_codec.h"

static const struct pack_field header_fields[] = {
	PACK_ENUM_OF(struct doc_delta, key.kind, DOC_KIND_COUNT),
	PACK_STR_OF(struct doc_delta, key.name),
	PACK_U64_OF(struct doc_delta, base),
	PACK_U64_OF(struct doc_delta, revision),
};
static const struct pack_table header_table = PACK_TABLE(header_fields);

static uint32_t list_length(const struct list *l)
{
	uint32_t n = 0;

	for (const struct list *p = l->next; p != l; p = p->next)
		n++;
	return n;
}

/*
 * An edit is four numbers of a flat array: the shard's index and the three of
 * pack_shard(). The incarnation table stands first but is complete only after
 * the edits, so these are packed into a buffer of their own.
 */
static void pack_map_edits(msgpack_packer *pk, const struct map_edits *e)
{
	struct incarnation_table incs = {0};
	msgpack_sbuffer body;
	msgpack_packer bpk;

	msgpack_sbuffer_init(&body);
	msgpack_packer_init(&bpk, &body, msgpack_sbuffer_write);
	msgpack_pack_array(&bpk, (size_t)e->count * 4);
	for (uint32_t i = 0; i < e->count; i++) {
		msgpack_pack_uint32(&bpk, e->items[i].index);
		pack_shard(&bpk, &e->items[i].shard, &incs);
	}
	if (e->pinned_changed)
		pack_pinned(&bpk, &e->pinned, &incs);
	else
		msgpack_pack_nil(&bpk);
	msgpack_pack_array(pk, 3);
	pack_incarnations(pk, &incs);
	msgpack_sbuffer_write(pk->data, body.data, body.size);
	msgpack_sbuffer_destroy(&body);
	free(incs.items);
}

static bool unpack_edit(const msgpack_object *incs, const msgpack_object *o,
			size_t at, struct shard_edit *e)
{
	uint64_t index;

	if (!unpack_u64(unpack_at(o, at), &index) || index > UINT32_MAX)
		return false;
	e->index = (uint32_t)index;
	return unpack_shard(incs, o, at + 1, &e->shard);
}

static bool unpack_map_edits(const msgpack_object *o, struct map_edits *e)
{
	const msgpack_object *incs = unpack_at(o, 0);
	const msgpack_object *edits = unpack_at(o, 1);
	const msgpack_object *pinned = unpack_at(o, 2);

	if (!edits || edits->type != MSGPACK_OBJECT_ARRAY || !pinned ||
	    edits->via.array.size % 4)
		return false;
	e->count = edits->via.array.size / 4;
	e->items = mem_zalloc(e->count, sizeof(*e->items));
	for (uint32_t i = 0; i < e->count; i++)
		if (!unpack_edit(incs, edits, (size_t)i * 4, &e->items[i]))
			return false;
	e->pinned_changed = pinned->type != MSGPACK_OBJECT_NIL;
	return !e->pinned_changed || unpack_pinned(incs, pinned, &e->pinned);
}

static void pack_roster_edits(msgpack_packer *pk, const struct roster_edits *e)
{
	const struct member *m;

	msgpack_pack_array(pk, 2);
	msgpack_pack_array(pk, e->removed_count);
	for (uint32_t i = 0; i < e->removed_count; i++)
		msgpack_pack_uint64(pk, e->removed[i]);
	msgpack_pack_array(pk, list_length(&e->changed));
	list_for_each_entry(m, &e->changed, link)
		pack_struct(pk, m, &member_table);
}

static bool unpack_removed(const msgpack_object *o, struct roster_edits *e)
{
	if (!o || o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	e->removed_count = o->via.array.size;
	e->removed = mem_zalloc(e->removed_count, sizeof(*e->removed));
	for (uint32_t i = 0; i < e->removed_count; i++)
		if (!unpack_u64(unpack_at(o, i), &e->removed[i]))
			return false;
	return true;
}

static bool unpack_roster_edits(const msgpack_object *o, struct roster_edits *e)
{
	const msgpack_object *changed = unpack_at(o, 1);
	const msgpack_object *it;

	if (!unpack_removed(unpack_at(o, 0), e) || !changed ||
	    changed->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (size_t i = 0; (it = unpack_at(changed, i)); i++) {
		struct member *m = mem_new(struct member);

		list_init(&m->index_link);
		list_push_back(&e->changed, &m->link);
		if (!unpack_struct(it, m, &member_table))
			return false;
	}
	return true;
}

static void pack_delta(msgpack_packer *pk, const struct doc_delta *d)
{
	msgpack_pack_array(pk, 2);
	pack_struct(pk, d, &header_table);
	if (d->key.kind == DOC_MAP)
		pack_map_edits(pk, &d->u.map);
	else
		pack_roster_edits(pk, &d->u.roster);
}

static struct doc_delta *unpack_delta(const msgpack_object *o)
{
	struct doc_delta header = {0};
	const msgpack_object *body = unpack_at(o, 1);
	struct doc_delta *d;
	bool ok;

	if (!unpack_struct(unpack_at(o, 0), &header, &header_table) ||
	    (header.key.kind != DOC_MAP && header.key.kind != DOC_ROSTER))
		return NULL;
	d = doc_delta_new(&header.key);
	d->base = header.base;
	d->revision = header.revision;
	ok = d->key.kind == DOC_MAP ? unpack_map_edits(body, &d->u.map)
				    : unpack_roster_edits(body, &d->u.roster);
	if (ok)
		return d;
	doc_delta_delete(d);
	return NULL;
}

void pack_deltas(msgpack_packer *pk, const struct list *deltas)
{
	const struct doc_delta *d;

	msgpack_pack_array(pk, list_length(deltas));
	list_for_each_entry(d, deltas, link)
		pack_delta(pk, d);
}

bool unpack_deltas(const msgpack_object *o, struct list *deltas)
{
	const msgpack_object *it;

	if (!o || o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (size_t i = 0; (it = unpack_at(o, i)); i++) {
		struct doc_delta *d = unpack_delta(it);

		if (!d)
			return false;
		list_push_back(deltas, &d->link);
	}
	return true;
}
