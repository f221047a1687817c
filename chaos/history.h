/** Checks a run: what callers were told against what upstreams ran. */
#ifndef JD_CHAOS_HISTORY_H
#define JD_CHAOS_HISTORY_H

#include "chaos/load.h"

struct history_verdict {
	uint64_t ops;
	uint64_t overlap; /* a key ran under an older epoch after a newer */
	uint64_t doubled; /* a non-idempotent request started twice */
	uint64_t crossed; /* an answer that is another's, or not whole */
	uint64_t false_not_run; /* "not run", yet it started */
	uint64_t lost;		/* an assignment went back */
};

/**
 * Reads the upstreams' record at @path and checks it against the load's
 * requests; false when it can't be read.
 */
bool history_check(const struct load *l, const char *path,
		   struct history_verdict *v);

/**
 * When the upstream at @addr last started an order, by the record at @path;
 * 0 if it never did.
 */
uint64_t history_last_start_ns(const char *path, const char *addr);

#endif
