/** What a node knows of the store's documents; nothing in it goes back. */
#ifndef JD_CORE_VIEW_H
#define JD_CORE_VIEW_H

#include "core/doc.h"
#include "core/message.h"

#define VIEW_BUCKETS 1024

struct view {
	revision_t revision; /* every document up to here is known */
	revision_t newest;   /* of all held documents */
	bool missed;	     /* a delta did not fit and nothing came since */
	struct list docs[DOC_KIND_COUNT];  /* of struct doc, the newest known */
	struct list members[VIEW_BUCKETS]; /* of struct member, by inc */
	struct list deltas;   /* of struct doc_delta, the latest ones */
	uint32_t deltas_size; /* what they name, all together */
};

void view_init(struct view *v);
void view_done(struct view *v);

/** Takes @d if it is newer than the one held, else frees it. */
bool view_apply(struct view *v, struct doc *d);

/** The same for each of @docs, which ends empty; true if any was newer. */
bool view_apply_all(struct view *v, struct list *docs);

/**
 * Takes all of @docs. They are all documents written in (from, to], so the
 * view is complete up to @to if it was up to @from.
 */
void view_sync(struct view *v, revision_t from, revision_t to,
	       struct list *docs);

/**
 * Takes all documents that the store has at @to. It names no removed ones:
 * what is held and not among them is gone.
 */
void view_snapshot(struct view *v, revision_t to, struct list *docs);

/** The held document, also an absent one; NULL if never seen. */
const struct doc *view_doc(const struct view *v, enum doc_kind kind,
			   const char *name);

/** NULL where there is none (yet). */
const struct manifest *view_manifest(const struct view *v);
const struct shard_map *view_map(const struct view *v, const char *route);
const struct roster *view_roster(const struct view *v, const char *dc);
struct role view_planner(const struct view *v);

/** A node's entry and its roster (@r may be NULL); NULL for none. */
const struct member *view_member(const struct view *v, incarnation_t inc,
				 const struct roster **r);

/**
 * Takes what another node sent. A delta whose base is not the held revision
 * is dropped; then the view stays as complete as it was, and the sender
 * learns so from the next heartbeat.
 */
void view_take(struct view *v, struct msg_sync *sync);

/** Copies of the documents newer than @from, by rising revision. */
void view_newer(const struct view *v, revision_t from, struct list *docs);

/**
 * Fills @sync for a node that knows all up to @from: deltas where the log
 * of changes reaches back that far, else whole documents.
 */
void view_changes(const struct view *v, revision_t from, struct msg_sync *sync);

/** Walks the documents of @kind: the first after @pos (NULL to start), NULL at
 * the end. */
const struct doc *view_next(const struct view *v, enum doc_kind kind,
			    const struct doc *pos);

#endif
