/** Shard map of one route: the owner and the epoch of each shard. */
#ifndef JD_CORE_SHARD_MAP_H
#define JD_CORE_SHARD_MAP_H

#include "core/list.h"
#include "core/types.h"

struct shard {
	incarnation_t owner;  /* 0: none yet */
	incarnation_t target; /* next owner, in a planned move; 0: no move */
	epoch_t epoch;	      /* fencing token; rises with each new owner */
};

/** A hot key that has its own owner, apart from its shard. */
struct pinned_key {
	struct list link;
	char key[JD_KEY_MAX];
	struct shard shard; /* owner and epoch of the key */
};

struct shard_map {
	char route[JD_NAME_MAX];
	uint32_t count;
	struct shard *shards;
	struct list pinned; /* of struct pinned_key */
};

/** A map of @count shards without owners, at epoch 0. */
struct shard_map *shard_map_new(const char *route, uint32_t count);
void shard_map_delete(struct shard_map *m);
struct shard_map *shard_map_copy(const struct shard_map *m);

/** Frees all items of a list of struct pinned_key and leaves it empty. */
void shard_map_free_pinned(struct list *pinned);

/** Appends copies of the pinned keys of @from to @to. */
void shard_map_copy_pinned(struct list *to, const struct list *from);

/** Index of the shard that contains @key of @len bytes. */
uint32_t shard_map_index(const struct shard_map *m, const void *key,
			 size_t len);

/** The owner and epoch of @key: those of its pin, or else of its shard. */
struct shard *shard_map_find(const struct shard_map *m, const char *key);

/** Makes @owner the owner of @s under the next epoch; ends a planned move. */
void shard_assign(struct shard *s, incarnation_t owner);

#endif
