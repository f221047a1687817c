/** A roster: the list of one data centre's nodes that the store holds. */
#ifndef JD_CORE_ROSTER_H
#define JD_CORE_ROSTER_H

#include "core/list.h"
#include "core/types.h"

enum member_state {
	MEMBER_UP,
	MEMBER_LEAVING, /* draining: gets no more shards */
	MEMBER_REVOKED, /* its lease is no longer confirmed */
};

/** The entry of one node. */
struct member {
	struct list link;
	char name[JD_NAME_MAX];
	incarnation_t inc;
	char service[JD_NAME_MAX];   /* of the node's own upstream */
	char peer_addr[JD_ADDR_MAX]; /* where other nodes connect */
	char http_addr[JD_ADDR_MAX]; /* where callers connect */
	enum member_state state;
	incarnation_t keeper;	/* confirms its lease; 0: the store does */
	uint64_t term;		/* incremented with each change of keeper */
	struct roster *roster;	/* that lists the entry */
	struct list index_link; /* in view.members; empty when in no view */
	uint32_t kept_count;	/* number of nodes it keeps; set by the view */
	incarnation_t former_keeper; /* may still confirm its lease; 0: none */
};

struct roster {
	char dc[JD_NAME_MAX];
	char region[JD_NAME_MAX];
	struct list members; /* of struct member */
};

struct roster *roster_new(const char *dc, const char *region);
void roster_delete(struct roster *r);

/** The entry of incarnation @inc; NULL for none. */
struct member *roster_find(const struct roster *r, incarnation_t inc);

/** The first entry of @name; NULL for none. */
struct member *roster_find_name(const struct roster *r, const char *name);

/** Appends an entry, which the roster owns. */
struct member *roster_add(struct roster *r, const char *name,
			  incarnation_t inc);

/** Copies all of @from except its roster and its links in lists. */
void member_set(struct member *m, const struct member *from);

/** Removes and frees @m. */
void roster_remove(struct roster *r, struct member *m);

/** A deep copy; free it with roster_delete(). */
struct roster *roster_copy(const struct roster *r);

#endif
