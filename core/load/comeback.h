/**
 * Callers that were refused and come back. A request does not say that it is a
 * second attempt, but its caller has less time left than those of its route
 * usually start with: from that an entry tells how long it has waited already.
 */
#ifndef JD_CORE_LOAD_COMEBACK_H
#define JD_CORE_LOAD_COMEBACK_H

#include "core/list.h"
#include "core/rng.h"
#include "core/types.h"

#define COMEBACK_SAMPLES 64

/** Time that callers of one route had left, on their latest requests. */
struct comeback_route {
	struct list link;
	char route[JD_NAME_MAX];
	uint64_t left_ns[COMEBACK_SAMPLES];
	uint32_t count; /* of all so far */
	/* Of first attempts; 0: not known yet. */
	uint64_t start_min_ns;
	uint64_t start_mean_ns;
};

struct comebacks {
	struct list routes; /* of struct comeback_route */
	uint64_t recognised;
};

void comebacks_init(struct comebacks *cb);
void comebacks_done(struct comebacks *cb);

/**
 * Notes a request on @route whose caller has @left_ns. Returns how long ago its
 * first attempt began, in ns; 0 for a first attempt or if that is not clear.
 */
uint64_t comeback_waited_ns(struct comebacks *cb, const char *route,
			    uint64_t left_ns);

struct retry_after_opts {
	uint64_t room_ns; /* expected time until there is room */
	uint64_t left_ns; /* to the caller's deadline */
	uint64_t min_ns;
	struct rng *rng;
};

/**
 * Retry-After in ns: about when room is expected, different for those that are
 * refused together, and at most what callers wait for.
 */
uint64_t comeback_retry_after_ns(const struct retry_after_opts *o);

#endif
