/** A node's right to pass requests to its upstream, until a deadline. */
#ifndef JD_CORE_LEASE_H
#define JD_CORE_LEASE_H

#include "core/types.h"

struct lease {
	uint64_t deadline_ns;
	uint64_t min_term; /* answers of an older keeper's term don't count */
	bool lost;	   /* revoked: this incarnation never serves again */
};

/** What a keeper's answer says and what the node knows of its keeper. */
struct lease_answer {
	uint64_t sent_ns; /* when the node sent the request for it */
	incarnation_t from;
	uint64_t term;
	incarnation_t keeper;
	uint64_t keeper_term;
};

void lease_init(struct lease *l);

/** A confirmation requested at @sent_ns extends the lease from there. */
void lease_confirm(struct lease *l, uint64_t sent_ns, uint64_t lease_ns);

/** Takes a keeper's answer; false when it doesn't count. */
bool lease_on_answer(struct lease *l, const struct lease_answer *a,
		     uint64_t lease_ns);

/** From the sending of a request for a new keeper on, @term is too old. */
void lease_leave_keeper(struct lease *l, uint64_t term);

/** True while requests may be passed on. */
bool lease_valid(const struct lease *l, uint64_t now_ns);

#endif
