/** A document of the platform's store, as a tagged union. */
#ifndef JD_CORE_DOC_H
#define JD_CORE_DOC_H

#include "core/list.h"
#include "core/manifest.h"
#include "core/roster.h"
#include "core/shard_map.h"
#include "core/types.h"

enum doc_kind {
	DOC_MANIFEST, /* one per fleet: the operators' configuration */
	DOC_ROSTER,   /* one per data centre: its nodes */
	DOC_MAP,      /* one per keyed route: its shards' owners */
	DOC_CONTACT,  /* one per keeper: shows that it reaches the store */
	DOC_PLANNER,  /* one per fleet, leased: the node that is planner */
	DOC_KIND_COUNT,
};

struct doc_key {
	enum doc_kind kind;
	/* Data centre, route or incarnation (hex); empty if one per fleet. */
	char name[JD_NAME_MAX];
};

/**
 * A keeper's contact record. Each renewal raises the count, which shows that
 * the keeper reaches the store.
 */
struct contact {
	incarnation_t node;
	uint64_t count;
};

/**
 * A role that one node of the fleet holds at a time, under a lease in the
 * store. The term rises with each new holder.
 */
struct role {
	incarnation_t holder; /* 0: none */
	uint64_t term;
};

struct doc {
	struct list link;
	struct doc_key key;
	revision_t revision; /* of the write that made it; 0: never written */
	union {
		struct manifest *manifest;
		struct roster *roster;
		struct shard_map *map;
		struct contact contact;
		struct role planner;
	} u;
};

/** Creates an absent document; it owns what is later set in @u. */
struct doc *doc_new(enum doc_kind kind, const char *name);
void doc_delete(struct doc *d);

/** Deletes all documents of the list @docs and leaves it empty. */
void docs_delete(struct list *docs);

/** A deep copy, owned by the caller and in no list. */
struct doc *doc_copy(const struct doc *d);

/** True when @d has no content: not written yet, removed or expired. */
bool doc_absent(const struct doc *d);

bool doc_key_equal(const struct doc_key *a, const struct doc_key *b);

#endif
