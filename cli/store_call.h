/** The store's documents, for the command line. */
#ifndef JD_CLI_STORE_CALL_H
#define JD_CLI_STORE_CALL_H

#include "core/doc.h"
#include "core/status.h"
#include "core/view.h"

/** The document of @key; absent ones have no content. NULL on failure. */
struct doc *store_call_get(const char *addr, const struct doc_key *key,
			   struct status *st);

/** Reads all documents that nodes watch into @v. */
enum status_code store_call_read_all(const char *addr, struct view *v,
				     struct status *st);

/**
 * Writes @d on the revision it carries; gives it the new one. CONFLICT when
 * the store has a newer one, UNKNOWN when there is no answer.
 */
enum status_code store_call_cas(const char *addr, struct doc *d,
				struct status *st);

#endif
