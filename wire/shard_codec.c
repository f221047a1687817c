#include "wire/shard_codec.h"

#include <stdlib.h>

#include "core/mem.h"
#include "wire/pack.h"

static uint32_t names_index(struct names *n, incarnation_t inc)
{
	uint32_t i = n->count;

	while (i-- > 0)
		if (n->items[i] == inc)
			return i;
	n->items = mem_realloc(n->items, n->count + 1, sizeof(*n->items));
	n->items[n->count] = inc;
	return n->count++;
}

void pack_names(msgpack_packer *pk, const struct names *n)
{
	msgpack_pack_array(pk, n->count);
	for (uint32_t i = 0; i < n->count; i++)
		msgpack_pack_uint64(pk, n->items[i]);
}

void pack_shard(msgpack_packer *pk, const struct shard *s, struct names *n)
{
	msgpack_pack_uint32(pk, names_index(n, s->owner));
	msgpack_pack_uint32(pk, names_index(n, s->target));
	msgpack_pack_uint64(pk, s->epoch);
}

static bool unpack_name(const msgpack_object *names, const msgpack_object *o,
			incarnation_t *inc)
{
	uint64_t i;

	return unpack_u64(o, &i) && unpack_u64(unpack_at(names, i), inc);
}

/* The shard whose three numbers start at @at of the array @o. */
bool unpack_shard(const msgpack_object *names, const msgpack_object *o,
		  size_t at, struct shard *s)
{
	return unpack_name(names, unpack_at(o, at), &s->owner) &&
	       unpack_name(names, unpack_at(o, at + 1), &s->target) &&
	       unpack_u64(unpack_at(o, at + 2), &s->epoch);
}

static bool unpack_pin(const msgpack_object *names, const msgpack_object *o,
		       struct list *pinned)
{
	struct pinned_key *p = mem_new(struct pinned_key);
	char *key = unpack_str(unpack_at(o, 0));

	list_push_back(pinned, &p->link);
	if (!key)
		return false;
	mem_copy_str(p->key, key, sizeof(p->key));
	free(key);
	return unpack_shard(names, o, 1, &p->shard);
}

void pack_pinned(msgpack_packer *pk, const struct list *pinned, struct names *n)
{
	const struct pinned_key *p;
	size_t count = 0;

	list_for_each_entry(p, pinned, link)
		count++;
	msgpack_pack_array(pk, count);
	list_for_each_entry(p, pinned, link) {
		msgpack_pack_array(pk, 4);
		pack_str(pk, p->key);
		pack_shard(pk, &p->shard, n);
	}
}

bool unpack_pinned(const msgpack_object *names, const msgpack_object *o,
		   struct list *pinned)
{
	const msgpack_object *it;

	if (!o || o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (size_t i = 0; (it = unpack_at(o, i)); i++)
		if (!unpack_pin(names, it, pinned))
			return false;
	return true;
}
