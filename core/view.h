/** A node's copy of the store's documents; revisions in it never fall. */
#ifndef JD_CORE_VIEW_H
#define JD_CORE_VIEW_H

#include "core/doc.h"
#include "core/message.h"

#define VIEW_BUCKETS 1024

struct view {
	revision_t revision;  /* complete up to here */
	revision_t newest;    /* highest of the held documents */
	bool needs_documents; /* a delta of the last sync did not apply */
	struct list docs[DOC_KIND_COUNT];  /* of struct doc, one a key */
	struct list members[VIEW_BUCKETS]; /* of struct member, hashed by inc */
	struct list deltas;   /* of struct doc_delta, log of the last changes */
	uint32_t deltas_size; /* sum of doc_delta_size() over @deltas */
};

void view_init(struct view *v);
void view_done(struct view *v);

/**
 * Replaces the held document by @d if that is newer, else frees @d. True if it
 * was newer.
 */
bool view_apply(struct view *v, struct doc *d);

/** Applies each of @docs and empties the list; true if any was newer. */
bool view_apply_all(struct view *v, struct list *docs);

/**
 * Applies @docs, which are all documents written in (from, to]: the view is
 * complete up to @to if it was up to @from.
 */
void view_sync(struct view *v, revision_t from, revision_t to,
	       struct list *docs);

/**
 * Applies @docs, which are all documents of the store at revision @to. Removed
 * ones are not among them: held documents that @docs lacks become absent.
 */
void view_snapshot(struct view *v, revision_t to, struct list *docs);

/** The held document, also an absent one; NULL if never seen. */
const struct doc *view_doc(const struct view *v, enum doc_kind kind,
			   const char *name);

/** NULL when the document is absent or was never seen. */
const struct manifest *view_manifest(const struct view *v);
const struct shard_map *view_map(const struct view *v, const char *route);
const struct roster *view_roster(const struct view *v, const char *dc);
/** Holder 0 when there is no planner. */
struct role view_planner(const struct view *v);

/** The entry of @inc, and its roster in @r unless that is NULL; or NULL. */
const struct member *view_member(const struct view *v, incarnation_t inc,
				 const struct roster **r);

/**
 * Applies a sync from another node and empties its documents. A delta that does
 * not apply to the held document is ignored; then the view's revision does not
 * rise, and the next heartbeat reports that to the keeper.
 */
void view_apply_sync(struct view *v, struct msg_sync *sync);

/** Appends copies of the documents newer than @from, by rising revision. */
void view_copy_newer(const struct view *v, revision_t from, struct list *docs);

/**
 * Fills @sync for a node whose view is complete up to @from: deltas where the
 * log of changes reaches back to @from, else complete documents.
 */
void view_fill_sync(const struct view *v, revision_t from,
		    struct msg_sync *sync);

/**
 * The next present document of @kind after @pos (NULL to start); NULL at the
 * end.
 */
const struct doc *view_next(const struct view *v, enum doc_kind kind,
			    const struct doc *pos);

#endif
