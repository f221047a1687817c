/** The store stand-in behind the core's own calls: no sockets, no JSON. */
#ifndef JD_FAKES_DOC_STORE_H
#define JD_FAKES_DOC_STORE_H

#include "core/action.h"
#include "core/event.h"
#include "fakes/store_state.h"

struct doc_store {
	struct store_state state;
};

void doc_store_init(struct doc_store *s);
void doc_store_done(struct doc_store *s);

/** True when a watch from @since would end at once. */
bool doc_store_has_changes(const struct doc_store *s, revision_t since);

/** Takes effect now; fills @ev, whose documents the caller owns. */
void doc_store_call(struct doc_store *s, const struct act_store *a,
		    uint64_t now_ns, struct ev_store *ev);

/** A copy of the document, absent ones too; NULL if never written. */
struct doc *doc_store_read(struct doc_store *s, enum doc_kind kind,
			   const char *name);

#endif
