/** What changed in a document between two of its revisions. */
#ifndef JD_CORE_DOC_DELTA_H
#define JD_CORE_DOC_DELTA_H

#include "core/doc.h"

struct shard_edit {
	uint32_t index;
	struct shard shard;
};

struct map_edits {
	uint32_t count;
	struct shard_edit *items;
	bool pinned_changed; /* the pinned keys changed: all of them follow */
	struct list pinned;  /* of struct pinned_key */
};

struct roster_edits {
	uint32_t removed_count;
	incarnation_t *removed;
	struct list changed; /* of struct member; new ones go to the end */
};

/** Only rosters and maps have deltas. */
struct doc_delta {
	struct list link;
	struct doc_key key;
	revision_t base; /* applies to exactly this revision */
	revision_t revision;
	union {
		struct map_edits map;
		struct roster_edits roster;
	} u;
};

struct doc_delta *doc_delta_new(const struct doc_key *key);
void doc_delta_delete(struct doc_delta *d);
void doc_deltas_delete(struct list *deltas);
struct doc_delta *doc_delta_copy(const struct doc_delta *d);

/**
 * What leads from @a to @b; NULL when the whole document is the better
 * choice or the kind has no deltas.
 */
struct doc_delta *doc_delta_between(const struct doc *a, const struct doc *b);

/** Changes @doc; false, and nothing changed, when it is at no such base. */
bool doc_delta_apply(const struct doc_delta *d, struct doc *doc);

/** How many shards, keys and members it names. */
uint32_t doc_delta_size(const struct doc_delta *d);

#endif
