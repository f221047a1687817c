/** Reads the shard map again and again: no assignment may go back. */
#ifndef JD_CHAOS_MAP_WATCH_H
#define JD_CHAOS_MAP_WATCH_H

#include "core/doc.h"

struct map_watch {
	struct doc *last; /* NULL until the first read */
	uint64_t reads;
	uint64_t lost;
};

void map_watch_init(struct map_watch *w);
void map_watch_done(struct map_watch *w);

/** Compares the store's map of @route with the last one read. */
void map_watch_read(struct map_watch *w, const char *store_addr,
		    const char *route);

#endif
