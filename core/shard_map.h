/** Who owns each shard of one route, and under which epoch. */
#ifndef JD_CORE_SHARD_MAP_H
#define JD_CORE_SHARD_MAP_H

#include "core/list.h"
#include "core/types.h"

struct shard {
	incarnation_t owner;  /* 0: nobody yet */
	incarnation_t target; /* of a planned move; 0 for none */
	epoch_t epoch;	      /* the fencing token; rises with each owner */
};

/** A hot key with an owner of its own, apart from its shard. */
struct pinned_key {
	struct list link;
	char key[JD_KEY_MAX];
	struct shard shard;
};

struct shard_map {
	char route[JD_NAME_MAX];
	uint32_t count;
	struct shard *shards;
	struct list pinned; /* of struct pinned_key */
};

struct shard_map *shard_map_new(const char *route, uint32_t count);
void shard_map_delete(struct shard_map *m);
struct shard_map *shard_map_copy(const struct shard_map *m);

/** Frees all of a list of struct pinned_key, or copies it to an empty one. */
void shard_map_free_pinned(struct list *pinned);
void shard_map_copy_pinned(struct list *to, const struct list *from);

/** Index of the shard that @key of @len bytes falls into. */
uint32_t shard_map_index(const struct shard_map *m, const void *key,
			 size_t len);

/** The pinned key's own shard or the one the key falls into. */
struct shard *shard_map_find(const struct shard_map *m, const char *key);

/** Gives @s to @owner: the epoch rises, a planned move ends. */
void shard_assign(struct shard *s, incarnation_t owner);

#endif
