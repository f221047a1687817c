/**
 * Selects the nodes that watch the store. Each watch that ends is a call to
 * the store, so in a large region only a few nodes watch and forward the
 * changes to the others. If a watcher falls silent, or the store fails its
 * calls, the next node in the order of names takes over.
 */
#ifndef JD_CORE_RELAY_H
#define JD_CORE_RELAY_H

#include "core/mesh_ctx.h"

/** True if the region is so small that every node watches. */
bool relay_all_watch(const struct mesh_ctx *c);

/** True if this node has to watch the store itself. */
bool relay_is_watcher(const struct mesh_ctx *c);

/**
 * Forwards the records of a finished watch to the nodes of the region that
 * don't watch. @from: the revision after which the records are complete.
 */
void relay_forward_changes(struct mesh_ctx *c, revision_t from,
			   const struct ev_store_end *e);

#endif
