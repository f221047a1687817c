/**
 * Data of the fake store: items with revisions and leases. It has no sockets;
 * the caller passes the time.
 */
#ifndef JD_FAKES_STORE_STATE_H
#define JD_FAKES_STORE_STATE_H

#include "core/list.h"
#include "core/types.h"

struct store_item {
	struct list link; /* ascending by revision */
	char *key;
	char *value; /* NULL once removed */
	revision_t revision;
	uint64_t lapse_ns; /* end of the lease; 0: no lease */
};

struct store_state {
	struct list items; /* of struct store_item */
	revision_t now;	   /* of the last write */
	/* Calls, counted by the owner of the state. */
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
};

enum store_result { STORE_WRITTEN, STORE_REVISION_MISMATCH };

void store_state_init(struct store_state *s);
void store_state_done(struct store_state *s);

/** The item of @key, even a removed one; NULL if it was never written. */
struct store_item *store_state_find(struct store_state *s, const char *key);

/**
 * Writes @value, or removes the item if it is NULL, provided that the item's
 * revision is @expected; 0 expects that there is none. The lease ends at
 * @lapse_ns; 0: no lease.
 */
enum store_result store_state_cas(struct store_state *s, const char *key,
				  revision_t expected, const char *value,
				  uint64_t lapse_ns);

/** Extends the lease of an existing item to @lapse_ns; keeps its revision. */
enum store_result store_state_renew(struct store_state *s, const char *key,
				    revision_t expected, uint64_t lapse_ns);

/** Removes items whose lease has lapsed; true if there were any. */
bool store_state_lapse(struct store_state *s, uint64_t now_ns);

/** Makes all leases under @prefix lapse at the next store_state_lapse(). */
void store_state_lapse_all(struct store_state *s, const char *prefix);

#endif
