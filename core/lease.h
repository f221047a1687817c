/** A node's right to pass requests to its upstream, until a deadline. */
#ifndef JD_CORE_LEASE_H
#define JD_CORE_LEASE_H

#include "core/types.h"

struct lease {
	uint64_t deadline_ns; /* not valid at or after this */
	uint64_t min_term;    /* answers with a lower term are ignored */
	bool lost;	      /* revoked or given up: never valid again */
};

/** A heartbeat's answer, with what the node's own entry says of the keeper. */
struct lease_answer {
	uint64_t sent_ns;   /* when the node sent the heartbeat */
	incarnation_t from; /* sender of the answer */
	uint64_t term;	    /* in the answer */
	incarnation_t keeper;
	uint64_t keeper_term;
};

void lease_init(struct lease *l);

/** Extends the lease to @lease_ns after @sent_ns, when it was requested. */
void lease_confirm(struct lease *l, uint64_t sent_ns, uint64_t lease_ns);

/** Extends the lease; false when the answer's sender or term is not valid. */
bool lease_on_answer(struct lease *l, const struct lease_answer *a,
		     uint64_t lease_ns);

/** Ignores answers of @term from now on: the node asks for a new keeper. */
void lease_leave_keeper(struct lease *l, uint64_t term);

/** True while requests may be passed on. */
bool lease_valid(const struct lease *l, uint64_t now_ns);

#endif
