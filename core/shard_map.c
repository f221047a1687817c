#include "core/shard_map.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

struct shard_map *shard_map_new(const char *route, uint32_t count)
{
	struct shard_map *m = mem_new(struct shard_map);

	mem_copy_str(m->route, route, sizeof(m->route));
	m->count = count;
	m->shards = mem_zalloc(count, sizeof(*m->shards));
	list_init(&m->pinned);
	return m;
}

void shard_map_free_pinned(struct list *pinned)
{
	struct pinned_key *p, *tmp;

	list_for_each_entry_safe(p, tmp, pinned, link)
		free(p);
	list_init(pinned);
}

void shard_map_copy_pinned(struct list *to, const struct list *from)
{
	const struct pinned_key *p;

	list_for_each_entry(p, from, link) {
		struct pinned_key *q = mem_new(struct pinned_key);

		*q = *p;
		list_push_back(to, &q->link);
	}
}

void shard_map_delete(struct shard_map *m)
{
	if (!m)
		return;
	shard_map_free_pinned(&m->pinned);
	free(m->shards);
	free(m);
}

struct shard_map *shard_map_copy(const struct shard_map *m)
{
	struct shard_map *c = shard_map_new(m->route, m->count);

	memcpy(c->shards, m->shards, m->count * sizeof(*m->shards));
	shard_map_copy_pinned(&c->pinned, &m->pinned);
	return c;
}

uint32_t shard_map_index(const struct shard_map *m, const void *key, size_t len)
{
	return (uint32_t)(XXH3_64bits(key, len) % m->count);
}

struct shard *shard_map_find(const struct shard_map *m, const char *key)
{
	struct pinned_key *p;

	list_for_each_entry(p, &m->pinned, link)
		if (!strcmp(p->key, key))
			return &p->shard;
	return &m->shards[shard_map_index(m, key, strlen(key))];
}

void shard_assign(struct shard *s, incarnation_t owner)
{
	s->owner = owner;
	s->target = 0;
	s->epoch++;
}
