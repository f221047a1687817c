/**
 * Slots that a gate keeps free for the calls of runs that have started. A run
 * holds its own slot while it waits for its call, so a call that has to wait
 * for long requests costs room twice.
 */
#ifndef JD_CORE_LOAD_CALL_ROOM_H
#define JD_CORE_LOAD_CALL_ROOM_H

#include "core/types.h"

struct call_room {
	uint32_t running; /* calls at the upstream now */
	double mean;	  /* moving average of @running */
	uint64_t noted_ns;
};

/** Notes that the number of running calls changes to @running. */
void call_room_note(struct call_room *r, uint32_t running, uint64_t now_ns);

/** Of @limit slots, those that other requests have to leave free now. */
uint32_t call_room_free(const struct call_room *r, uint32_t limit,
			uint64_t now_ns);

#endif
