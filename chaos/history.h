/**
 * Checks the history of a run: the outcomes that callers received against the
 * upstreams' record of the requests that they started.
 */
#ifndef JD_CHAOS_HISTORY_H
#define JD_CHAOS_HISTORY_H

#include "chaos/load.h"

struct history_verdict {
	uint64_t ops; /* requests checked */
	/* Violations: */
	uint64_t overlap;	/* started under a lower epoch than an earlier
				   request of the same key */
	uint64_t doubled;	/* non-idempotent, started more than once */
	uint64_t crossed;	/* "done", but never started, or the answer is
				   incomplete or belongs to another request */
	uint64_t false_not_run; /* "not_run", but started */
	uint64_t lost;		/* map_watch.lost; filled by the caller */
};

/**
 * Reads the upstreams' record at @path, checks the requests of @l against it
 * and adds to the counts of @v. Prints a line for each violation. Returns false
 * when the record can't be read.
 */
bool history_check(const struct load *l, const char *path,
		   struct history_verdict *v);

/**
 * The last time that the upstream at @addr started a request, by the record at
 * @path; 0 when it started none or the record can't be read.
 */
uint64_t history_last_start_ns(const char *path, const char *addr);

#endif
