/**
 * Compares successive reads of a shard map: the epoch of a shard never
 * decreases, and its owner changes only with a higher epoch.
 */
#ifndef JD_CHAOS_MAP_WATCH_H
#define JD_CHAOS_MAP_WATCH_H

#include "core/doc.h"

struct map_watch {
	struct doc *last; /* NULL until the first read */
	uint64_t reads;	  /* reads that returned a map */
	uint64_t lost;	  /* assignments undone between two reads */
};

void map_watch_init(struct map_watch *w);
void map_watch_done(struct map_watch *w);

/**
 * Reads the map of @route from the store and compares it with the last one
 * read. Blocks; skipped while the store doesn't answer or has no map.
 */
void map_watch_read(struct map_watch *w, const char *store_addr,
		    const char *route);

#endif
