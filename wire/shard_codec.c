#include "wire/shard_codec.h"

#include <stdlib.h>

#include "core/mem.h"
#include "wire/pack.h"

static uint32_t incarnation_index(struct incarnation_table *t,
				  incarnation_t inc)
{
	uint32_t i = t->count;

	while (i-- > 0)
		if (t->items[i] == inc)
			return i;
	t->items = mem_realloc(t->items, t->count + 1, sizeof(*t->items));
	t->items[t->count] = inc;
	return t->count++;
}

void pack_incarnations(msgpack_packer *pk, const struct incarnation_table *t)
{
	msgpack_pack_array(pk, t->count);
	for (uint32_t i = 0; i < t->count; i++)
		msgpack_pack_uint64(pk, t->items[i]);
}

void pack_shard(msgpack_packer *pk, const struct shard *s,
		struct incarnation_table *t)
{
	msgpack_pack_uint32(pk, incarnation_index(t, s->owner));
	msgpack_pack_uint32(pk, incarnation_index(t, s->target));
	msgpack_pack_uint64(pk, s->epoch);
}

static bool unpack_incarnation(const msgpack_object *incs,
			       const msgpack_object *o, incarnation_t *inc)
{
	uint64_t i;

	return unpack_u64(o, &i) && unpack_u64(unpack_at(incs, i), inc);
}

bool unpack_shard(const msgpack_object *incs, const msgpack_object *o,
		  size_t at, struct shard *s)
{
	return unpack_incarnation(incs, unpack_at(o, at), &s->owner) &&
	       unpack_incarnation(incs, unpack_at(o, at + 1), &s->target) &&
	       unpack_u64(unpack_at(o, at + 2), &s->epoch);
}

static bool unpack_pinned_key(const msgpack_object *incs,
			      const msgpack_object *o, struct list *pinned)
{
	struct pinned_key *p = mem_new(struct pinned_key);
	char *key = unpack_str(unpack_at(o, 0));

	list_push_back(pinned, &p->link);
	if (!key)
		return false;
	mem_copy_str(p->key, key, sizeof(p->key));
	free(key);
	return unpack_shard(incs, o, 1, &p->shard);
}

void pack_pinned(msgpack_packer *pk, const struct list *pinned,
		 struct incarnation_table *t)
{
	const struct pinned_key *p;
	size_t count = 0;

	list_for_each_entry(p, pinned, link)
		count++;
	msgpack_pack_array(pk, count);
	list_for_each_entry(p, pinned, link) {
		msgpack_pack_array(pk, 4);
		pack_str(pk, p->key);
		pack_shard(pk, &p->shard, t);
	}
}

bool unpack_pinned(const msgpack_object *incs, const msgpack_object *o,
		   struct list *pinned)
{
	const msgpack_object *it;

	if (!o || o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (size_t i = 0; (it = unpack_at(o, i)); i++)
		if (!unpack_pinned_key(incs, it, pinned))
			return false;
	return true;
}
