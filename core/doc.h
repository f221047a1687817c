/** The documents in the platform's store, as a tagged union. */
#ifndef JD_CORE_DOC_H
#define JD_CORE_DOC_H

#include "core/list.h"
#include "core/manifest.h"
#include "core/roster.h"
#include "core/shard_map.h"
#include "core/types.h"

enum doc_kind {
	DOC_MANIFEST, /* one; the operators' configuration */
	DOC_ROSTER,   /* one a data centre */
	DOC_MAP,      /* one a keyed route */
	DOC_CONTACT,  /* one a keeper: its last sign of contact */
	DOC_PLANNER,  /* one; leased, who holds the planner's role */
	DOC_KIND_COUNT,
};

struct doc_key {
	enum doc_kind kind;
	char name[JD_NAME_MAX]; /* data centre, route or hex incarnation */
};

/** A keeper's contact: the count rises with each renewal. */
struct contact {
	incarnation_t node;
	uint64_t count;
};

/** Holder of a fleet-wide role; the term rises with each new holder. */
struct role {
	incarnation_t holder;
	uint64_t term;
};

struct doc {
	struct list link;
	struct doc_key key;
	revision_t revision; /* of the write that made it; 0: absent */
	union {
		struct manifest *manifest;
		struct roster *roster;
		struct shard_map *map;
		struct contact contact;
		struct role planner;
	} u;
};

/** An empty document of that key; owns what @u points to. */
struct doc *doc_new(enum doc_kind kind, const char *name);
void doc_delete(struct doc *d);
void docs_delete(struct list *docs);
struct doc *doc_copy(const struct doc *d);

/** True for a document that was removed or has lapsed. */
bool doc_absent(const struct doc *d);

bool doc_key_equal(const struct doc_key *a, const struct doc_key *b);

#endif
