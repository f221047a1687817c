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

static void compare(struct map_watch *w, const struct shard_map *a,
		    const struct shard_map *b)
{
	for (uint32_t i = 0; i < a->count && i < b->count; i++) {
		const struct shard *x = &a->shards[i];
		const struct shard *y = &b->shards[i];

		if (y->epoch > x->epoch ||
		    (y->epoch == x->epoch && y->owner == x->owner))
			continue;
		w->lost++;
		fprintf(stderr, "chaos: lost shard=%u epoch=%lu->%lu\n", i,
			(unsigned long)x->epoch, (unsigned long)y->epoch);
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
