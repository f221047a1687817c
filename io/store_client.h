/** Calls to the platform's store, in HTTP and JSON, on the loop. */
#ifndef JD_IO_STORE_CLIENT_H
#define JD_IO_STORE_CLIENT_H

#include <event2/event.h>

#include "core/action.h"
#include "core/event.h"

struct store_client;

/** Gets the end of each call; what is left in @ev->docs is freed. */
typedef void (*store_done_fn)(void *arg, struct ev_store *ev);

struct store_client *store_client_new(struct event_base *base, const char *addr,
				      store_done_fn done, void *arg);
void store_client_delete(struct store_client *s);

/** Starts one call; takes @call->doc. */
void store_client_call(struct store_client *s, struct act_store *call);

/** The store's key of a document; @cap bytes at @key. */
void store_key(const struct doc_key *dk, char *key, size_t cap);
/** False when @key is no document's. */
bool store_key_parse(const char *key, struct doc_key *dk);

/** Prefix of the documents that a watch shows. */
#define STORE_WATCH_PREFIX "d/"

#endif
