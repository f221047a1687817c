/** The store stand-in's data: keys, revisions, leases; no sockets. */
#ifndef JD_FAKES_STORE_STATE_H
#define JD_FAKES_STORE_STATE_H

#include "core/list.h"
#include "core/types.h"

struct store_item {
	struct list link; /* by rising revision */
	char *key;
	char *value; /* NULL once removed */
	revision_t revision;
	uint64_t lapse_ns; /* 0: never */
};

struct store_state {
	struct list items; /* of struct store_item */
	revision_t now;
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
};

enum store_result { STORE_WRITTEN, STORE_NEWER };

void store_state_init(struct store_state *s);
void store_state_done(struct store_state *s);

/** The item of @key, also a removed one; NULL if never written. */
struct store_item *store_state_find(struct store_state *s, const char *key);

/** Writes if the item's revision is @expected, 0 for absent. */
enum store_result store_state_cas(struct store_state *s, const char *key,
				  revision_t expected, const char *value,
				  uint64_t lapse_ns);

/** Puts the lapse of a leased item off. */
enum store_result store_state_renew(struct store_state *s, const char *key,
				    revision_t expected, uint64_t lapse_ns);

/** Removes items whose lease has lapsed; true if there was one. */
bool store_state_lapse(struct store_state *s, uint64_t now_ns);

/** Lapses all leases below @prefix at once. */
void store_state_lapse_all(struct store_state *s, const char *prefix);

#endif
