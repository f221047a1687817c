/** Why a request did not end in an answer of its upstream. */
#ifndef JD_CORE_REFUSAL_H
#define JD_CORE_REFUSAL_H

#include <stdbool.h>

enum refusal {
	REFUSAL_NONE,
	REFUSAL_BAD_REQUEST,
	REFUSAL_NO_ROUTE,
	REFUSAL_NO_KEY,
	REFUSAL_BAD_DEADLINE,	 /* the header is no number in range */
	REFUSAL_NO_ORGANISATION, /* the manifest does not have it */
	REFUSAL_TOO_LARGE,
	REFUSAL_HOME_REGION, /* may not be served from here */
	REFUSAL_NO_MANIFEST, /* nothing accepted yet */
	REFUSAL_NO_OWNER,    /* nobody owns the key at the moment */
	REFUSAL_NOT_OWNER,   /* this node does not (any more) */
	REFUSAL_MOVING,	     /* the key is being handed over */
	REFUSAL_NO_LEASE,    /* the owner may not pass it on */
	REFUSAL_QUEUE_FULL,
	REFUSAL_DEADLINE,	  /* it passed before anything ran */
	REFUSAL_PEER_DOWN,	  /* the owner is not connected: not sent */
	REFUSAL_UPSTREAM_DOWN,	  /* no connection: no byte was written */
	REFUSAL_UPSTREAM_SHED,	  /* the upstream says it did not run it */
	REFUSAL_LEAVING,	  /* the node drains */
	REFUSAL_CONNECTION_LOST,  /* after a byte was written */
	REFUSAL_NO_ANSWER,	  /* none within the deadline */
	REFUSAL_ANSWER_TOO_LARGE, /* it ran */
	REFUSAL_COUNT,
};

struct refusal_info {
	const char *name;
	int http_code;
	bool retry; /* another attempt may end differently */
};

const struct refusal_info *refusal_find(enum refusal r);

#endif
