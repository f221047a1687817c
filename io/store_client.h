/** Calls to the platform's store in HTTP and JSON, without blocking. */
#ifndef JD_IO_STORE_CLIENT_H
#define JD_IO_STORE_CLIENT_H

#include <event2/event.h>

#include "core/action.h"
#include "core/event.h"

struct store_client;

/** Called at the end of each call; documents left in @ev->docs are freed. */
typedef void (*store_done_fn)(void *arg, struct ev_store *ev);

/** Calls @done at the end of each call; @addr is ip:port. */
struct store_client *store_client_new(struct event_base *base, const char *addr,
				      store_done_fn done, void *arg);
void store_client_delete(struct store_client *s);

/** Starts one call; takes ownership of @call->doc. */
void store_client_call(struct store_client *s, struct act_store *call);

/** Writes the document's key in the store to @key, of @cap bytes. */
void store_key(const struct doc_key *dk, char *key, size_t cap);
/** The reverse of store_key(); false if @key is not the key of a document. */
bool store_key_parse(const char *key, struct doc_key *dk);

/** Prefix of the keys that STORE_WATCH reports changes of. */
#define STORE_WATCH_PREFIX "d/"

#endif
