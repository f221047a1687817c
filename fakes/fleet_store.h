/**
 * In-memory store of a simulated fleet: documents with revisions and leases,
 * with the calls of the store client.
 */
#ifndef JD_FAKES_FLEET_STORE_H
#define JD_FAKES_FLEET_STORE_H

#include "core/action.h"
#include "core/event.h"

/** A stored document, encoded. */
struct fleet_item {
	struct list link;
	struct doc_key key;
	revision_t revision;
	unsigned char *data; /* NULL: removed */
	size_t len;	     /* bytes */
	uint64_t lapse_ns;   /* end of the lease; 0: no lease */
};

struct fleet_store {
	struct list items; /* of struct fleet_item, ascending by revision */
	revision_t now;	   /* of the last write */
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t conflicts;
};

void fleet_store_init(struct fleet_store *s);
void fleet_store_done(struct fleet_store *s);

/** The item of @key, even a removed one; NULL if it was never written. */
const struct fleet_item *fleet_store_find(const struct fleet_store *s,
					  const struct doc_key *key);

/** Decodes the item's document; the caller frees it with doc_delete(). */
struct doc *fleet_item_decode(const struct fleet_item *it);

/**
 * Runs the call @a at @now_ns and fills @ev, whose documents the caller frees.
 * Takes ownership of @a->doc if a write succeeds. A watch ends at once with the
 * changes after its revision, possibly none.
 */
void fleet_store_call(struct fleet_store *s, struct act_store *a,
		      uint64_t now_ns, struct ev_store *ev);

/** True if a watch from @revision has changes to report. */
bool fleet_store_has_changes(const struct fleet_store *s, revision_t revision);

/** Removes the documents whose lease has lapsed. */
void fleet_store_lapse(struct fleet_store *s, uint64_t now_ns);

#endif
