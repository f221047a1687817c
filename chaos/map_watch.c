#include "chaos/map_watch.h"

#include <stdio.h>

#include "cli/store_call.h"
#include "core/mem.h"

void map_watch_init(struct map_watch *w)
{
	w->last = NULL;
	w->reads = 0;
	w->lost = 0;
}

void map_watch_done(struct map_watch *w)
{
	doc_delete(w->last);
}

static void compare(struct map_watch *w, const struct shard_map *prev,
		    const struct shard_map *next)
{
	for (uint32_t i = 0; i < prev->count && i < next->count; i++) {
		const struct shard *a = &prev->shards[i];
		const struct shard *b = &next->shards[i];

		if (b->epoch > a->epoch ||
		    (b->epoch == a->epoch && b->owner == a->owner))
			continue;
		w->lost++;
		fprintf(stderr, "chaos: lost shard=%u epoch=%lu->%lu\n", i,
			(unsigned long)a->epoch, (unsigned long)b->epoch);
	}
}

void map_watch_read(struct map_watch *w, const char *store_addr,
		    const char *route)
{
	struct doc_key key = {.kind = DOC_MAP};
	struct status st;
	struct doc *d;

	mem_copy_str(key.name, route, sizeof(key.name));
	d = store_call_get(store_addr, &key, &st);
	if (!d || !d->u.map) {
		doc_delete(d);
		return;
	}
	w->reads++;
	if (w->last)
		compare(w, w->last->u.map, d->u.map);
	doc_delete(w->last);
	w->last = d;
}
