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

/**
 * True when the manifest in force is the newest one, as far as anyone can
 * tell: no newer one is known, and it would be, because this node's own watch
 * is served by the store or a watcher has reported lately.
 */
bool relay_manifest_current(const struct mesh_ctx *c);

/** Notes that the node @from has the manifest of which it sent a delta. */
void relay_note_sender(struct mesh_ctx *c, uint64_t from,
		       const struct msg_changes *m);

/** A live node that has the newest manifest known; NULL if there is none. */
const struct dir_node *relay_manifest_source(struct mesh_ctx *c);

/** Asks @n for its manifest. */
void relay_ask_manifest(struct mesh_ctx *c, const struct dir_node *n);

/**
 * Sends the manifest in force to the node @to, if that has an older one. Does
 * nothing if another node got it just before: the node then asks another.
 */
void relay_send_manifest(struct mesh_ctx *c, uint64_t to,
			 const struct msg_manifest_get *get);

#endif
