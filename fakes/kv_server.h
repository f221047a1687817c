/**
 * Fake store of a leased fleet, in place of the platform's metadata store:
 * items with revisions, leases and watches over HTTP. It simulates the faults
 * that the documentation of that store allows.
 */
#ifndef JD_FAKES_KV_SERVER_H
#define JD_FAKES_KV_SERVER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

struct kv_server;

/** The fault that the server simulates. */
enum kv_fault {
	KV_FAULT_NONE,
	KV_FAULT_BUSY,		/* 503; the call has no effect */
	KV_FAULT_TOO_MANY,	/* 429; the call has no effect */
	KV_FAULT_SILENT,	/* no answer; the call has no effect */
	KV_FAULT_LOSES_ANSWERS, /* POST calls take effect, no answer */
};

struct kv_server_opts {
	struct event_base *base;
	const char *addr; /* IP:port to listen on */
	uint32_t page;	  /* items on one page of a range; 0: 500 */
	uint32_t copies;  /* kept for kv_server_restore(); 0: none */
	uint32_t copy_ms; /* between two copies */
};

/** NULL if the address is invalid or can't be bound. */
struct kv_server *kv_server_new(const struct kv_server_opts *o);
void kv_server_delete(struct kv_server *s);

void kv_server_set_fault(struct kv_server *s, enum kv_fault fault);
/** While away it answers no call and runs none, whatever the fault is. */
void kv_server_set_away(struct kv_server *s, bool away);
/** Drops the history: new watches from an earlier revision get 410. */
void kv_server_compact(struct kv_server *s);

/**
 * Returns to the newest copy that is at least @age_ns old, or to the oldest:
 * items, leases with what they had left, and the counters of revisions and
 * leases, whose numbers are then given out again. Watches are cut, and the era
 * that all answers state rises. False if there is no copy.
 */
bool kv_server_restore(struct kv_server *s, uint64_t age_ns);
/** Writes what kv_server_restore() lost of the operators' writes again. */
void kv_server_write_again(struct kv_server *s);

/** Writes @value, plain text, without a lease, as an operator does. */
void kv_server_put(struct kv_server *s, const char *key, const char *value);
/** Writes @value, which is in base64 already, without a lease. */
void kv_server_put_base64(struct kv_server *s, const char *key,
			  const char *value);
void kv_server_remove(struct kv_server *s, const char *key);

/** Number of calls received so far, failed ones included. */
uint64_t kv_server_calls(const struct kv_server *s);
bool kv_server_has(const struct kv_server *s, const char *key);
uint64_t kv_server_era(const struct kv_server *s);

#endif
