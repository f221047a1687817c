/** The nodes of one data centre, as the store keeps them. */
#ifndef JD_CORE_ROSTER_H
#define JD_CORE_ROSTER_H

#include "core/list.h"
#include "core/types.h"

enum member_state {
	MEMBER_UP,
	MEMBER_LEAVING, /* drains: owns nothing new */
	MEMBER_REVOKED, /* its lease is not confirmed any more */
};

/** One node's entry. */
struct member {
	struct list link;
	char name[JD_NAME_MAX];
	incarnation_t inc;
	char service[JD_NAME_MAX];   /* of the upstream beside it */
	char peer_addr[JD_ADDR_MAX]; /* for other nodes */
	char http_addr[JD_ADDR_MAX]; /* for callers */
	enum member_state state;
	incarnation_t keeper;	/* who confirms its lease; 0 for the store */
	uint64_t term;		/* rises with each change of keeper */
	struct roster *roster;	/* the one it is listed in */
	struct list index_link; /* in the view's bucket; else an empty list */
	uint32_t charges;	/* entries naming it keeper; set by the view */
	incarnation_t
		former_keeper; /* former keeper that may still answer; or 0 */
};

struct roster {
	char dc[JD_NAME_MAX];
	char region[JD_NAME_MAX];
	struct list members; /* of struct member */
};

struct roster *roster_new(const char *dc, const char *region);
void roster_delete(struct roster *r);

/** The entry of @inc; NULL for none. */
struct member *roster_find(const struct roster *r, incarnation_t inc);
struct member *roster_find_name(const struct roster *r, const char *name);
struct member *roster_add(struct roster *r, const char *name,
			  incarnation_t inc);
/** Copies all but its place in lists from @from. */
void member_set(struct member *m, const struct member *from);
void roster_remove(struct roster *r, struct member *m);

/** A deep copy; roster_delete() it. */
struct roster *roster_copy(const struct roster *r);

#endif
