/** Deltas: the changes of a document between two of its revisions. */
#ifndef JD_CORE_DOC_DELTA_H
#define JD_CORE_DOC_DELTA_H

#include "core/doc.h"

/** The new state of the shard at @index. */
struct shard_edit {
	uint32_t index;
	struct shard shard;
};

struct map_edits {
	uint32_t count;
	struct shard_edit *items;
	bool pinned_changed; /* then @pinned replaces all pinned keys */
	struct list pinned;  /* of struct pinned_key */
};

/** Entries are removed first; then @changed are updated or appended. */
struct roster_edits {
	uint32_t removed_count;
	incarnation_t *removed;
	struct list changed; /* of struct member */
};

/** A delta of a roster or a map; other kinds have none. */
struct doc_delta {
	struct list link;
	struct doc_key key;
	revision_t base;     /* the only revision that it applies to */
	revision_t revision; /* of the document after it */
	union {
		struct map_edits map;
		struct roster_edits roster;
	} u;
};

/** Creates a delta without changes. */
struct doc_delta *doc_delta_new(const struct doc_key *key);

/** Unlinks @d from its list and frees it. */
void doc_delta_delete(struct doc_delta *d);
void doc_deltas_delete(struct list *deltas);

/** A deep copy, in no list. */
struct doc_delta *doc_delta_copy(const struct doc_delta *d);

/**
 * The delta that turns @a into @b, owned by the caller. NULL when either is
 * absent, when the kind has no deltas, or when so much changed that the
 * complete document is the better choice.
 */
struct doc_delta *doc_delta_between(const struct doc *a, const struct doc *b);

/**
 * Applies @d to @doc. Returns false and leaves @doc unchanged when @doc is
 * another document or at another revision than @d's base, or when @d names a
 * shard that the map lacks.
 */
bool doc_delta_apply(const struct doc_delta *d, struct doc *doc);

/** Size for the bound on kept deltas: 1 plus the entries that @d names. */
uint32_t doc_delta_size(const struct doc_delta *d);

#endif
