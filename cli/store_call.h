/** Blocking reads and writes of the store's documents, for the command line. */
#ifndef JD_CLI_STORE_CALL_H
#define JD_CLI_STORE_CALL_H

#include "core/doc.h"
#include "core/status.h"
#include "core/view.h"

/**
 * Reads the document of @key; an absent one has no content. NULL on failure,
 * which @st explains. doc_delete() it.
 */
struct doc *store_call_get(const char *addr, const struct doc_key *key,
			   struct status *st);

/** Reads all documents that nodes watch into @v. Returns the code of @st. */
enum status_code store_call_read_all(const char *addr, struct view *v,
				     struct status *st);

/**
 * Writes @d if the store still has d->revision, and sets that to the new
 * revision. CONFLICT if the store has a newer revision, UNKNOWN without an
 * answer. The caller still owns @d.
 */
enum status_code store_call_cas(const char *addr, struct doc *d,
				struct status *st);

#endif
