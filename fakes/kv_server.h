/**
 * Stand-in of the platform's metadata store: items with revisions, leases
 * and watches over HTTP, with the faults that its pages allow.
 */
#ifndef JD_FAKES_KV_SERVER_H
#define JD_FAKES_KV_SERVER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

struct kv_server;

/** How it treats the next calls. */
enum kv_fault {
	KV_FAULT_NONE,
	KV_FAULT_BUSY,		/* 503: nothing was done */
	KV_FAULT_TOO_MANY,	/* 429 */
	KV_FAULT_SILENT,	/* no answer, nothing is done */
	KV_FAULT_LOSES_ANSWERS, /* writes are done, their answers are lost */
};

struct kv_server_opts {
	struct event_base *base;
	const char *addr;
	uint32_t page; /* items of one page of a range */
};

/** NULL when the address can't be bound. */
struct kv_server *kv_server_new(const struct kv_server_opts *o);
void kv_server_delete(struct kv_server *s);

void kv_server_set_fault(struct kv_server *s, enum kv_fault mood);
/** Forgets what changed: watches from before end with 410. */
void kv_server_compact(struct kv_server *s);

/** Writes as the operator does; @value is plain text. */
void kv_server_put(struct kv_server *s, const char *key, const char *value);
/** The same with a value that is base64 already. */
void kv_server_put_base64(struct kv_server *s, const char *key,
			  const char *value);
void kv_server_remove(struct kv_server *s, const char *key);

/** Calls answered or refused so far. */
uint64_t kv_server_calls(const struct kv_server *s);
bool kv_server_has(const struct kv_server *s, const char *key);

#endif
