/** Rate limit of repeated log lines, by the name of their event. */
#ifndef JD_CORE_LOG_LIMIT_H
#define JD_CORE_LOG_LIMIT_H

#include "core/types.h"

#define LOG_LIMIT_SLOTS	      64
/** Lines of one event let through in each interval. */
#define LOG_LIMIT_BURST	      20
#define LOG_LIMIT_INTERVAL_NS (10 * NS_PER_S)

struct log_limit_slot {
	char name[JD_NAME_MAX];
	uint64_t until_ns; /* end of the interval */
	uint32_t admitted; /* within it */
	uint64_t suppressed;
};

/** Events beyond the slots share one by their hash. */
struct log_limit {
	struct log_limit_slot slots[LOG_LIMIT_SLOTS];
};

/**
 * True when the line (it starts with event=NAME) may be written;
 * @suppressed is how many of its event were not since the last that was.
 */
bool log_limit_admit(struct log_limit *l, const char *line, uint64_t now_ns,
		     uint64_t *suppressed);

#endif
