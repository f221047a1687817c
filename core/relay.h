/**
 * Who follows the store. Each watch that ends is a call, so in a large region
 * a few nodes watch and tell the others what has changed; when they fall
 * silent, or the store fails them, the next ones in line take over.
 */
#ifndef JD_CORE_RELAY_H
#define JD_CORE_RELAY_H

#include "core/mesh_ctx.h"

/** True in a region so small that each node watches. */
bool relay_all_watch(const struct mesh_ctx *c);

/** True when this node is to watch the store itself. */
bool relay_is_watcher(const struct mesh_ctx *c);

/**
 * Tells the nodes of the region that don't watch what a watch has brought;
 * @from: complete for those who know all up to there.
 */
void relay_forward_changes(struct mesh_ctx *c, revision_t from,
			   const struct ev_store_end *e);

#endif
