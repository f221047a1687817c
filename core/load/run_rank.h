/**
 * The rank of the run that a call works for. An upstream's call arrives at the
 * entry on its own VM and expires no later than the run that makes it, so the
 * entry finds the run among those of its own gate.
 */
#ifndef JD_CORE_LOAD_RUN_RANK_H
#define JD_CORE_LOAD_RUN_RANK_H

#include "core/gatekeeper.h"

/**
 * The attempt at @g that has made a call with @deadline_ns: the one that
 * expires at the same time, else the most urgent that expires later. NULL: none
 * can have made it.
 */
const struct gate_attempt *run_rank_find(const struct gatekeeper *g,
					 uint64_t deadline_ns);

#endif
