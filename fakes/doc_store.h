/** The platform's store as seen through the store client, in memory. */
#ifndef JD_FAKES_DOC_STORE_H
#define JD_FAKES_DOC_STORE_H

#include "core/action.h"
#include "core/event.h"

/** A document as bytes, as the store keeps it. */
struct doc_item {
	struct list link;
	struct doc_key key;
	revision_t revision;
	unsigned char *data; /* NULL: removed */
	size_t len;	     /* bytes */
	uint64_t lapse_ns;   /* 0: never */
};

struct doc_store {
	struct list items; /* of struct doc_item, by rising revision */
	revision_t now;
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t conflicts;
};

void doc_store_init(struct doc_store *s);
void doc_store_done(struct doc_store *s);

/** NULL for a key never written. */
const struct doc_item *doc_store_find(const struct doc_store *s,
				      const struct doc_key *key);

/** The item's document; doc_delete() it. */
struct doc *doc_item_decode(const struct doc_item *it);

/**
 * Runs the call @a at @now_ns and fills @ev. Takes a->doc of a write that
 * succeeds. A watch is answered with what is newer, maybe nothing.
 */
void doc_store_call(struct doc_store *s, struct act_store *a, uint64_t now_ns,
		    struct ev_store *ev);

/** True when a watch on @revision has something to tell. */
bool doc_store_newer(const struct doc_store *s, revision_t revision);

/** Removes the documents whose lease is over. */
void doc_store_lapse(struct doc_store *s, uint64_t now_ns);

#endif
