/**
 * In-memory store that runs the core's store calls (struct act_store)
 * directly, without sockets or JSON.
 */
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

/** True if a watched document changed after revision @since. */
bool doc_store_has_changes(const struct doc_store *s, revision_t since);

/**
 * Runs the call @a at @now_ns and fills @ev. The caller keeps @a->doc and
 * frees @ev->docs.
 */
void doc_store_call(struct doc_store *s, const struct act_store *a,
		    uint64_t now_ns, struct ev_store *ev);

/**
 * Returns a copy of the document, which the caller frees, without content if
 * it was removed; NULL if it was never written.
 */
struct doc *doc_store_read(struct doc_store *s, enum doc_kind kind,
			   const char *name);

#endif
