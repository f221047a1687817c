/** Rate limit of log lines, by the name of their event. */
#ifndef JD_CORE_LOG_LIMIT_H
#define JD_CORE_LOG_LIMIT_H

#include "core/types.h"

#define LOG_LIMIT_SLOTS	      64
/** Lines of one event that may be written in each interval. */
#define LOG_LIMIT_BURST	      20
#define LOG_LIMIT_INTERVAL_NS (10 * NS_PER_S)

struct log_limit_slot {
	char name[JD_NAME_MAX];
	uint64_t interval_end_ns;
	uint32_t admitted;   /* lines in the interval */
	uint64_t suppressed; /* lines since the last one admitted */
};

/** Once all slots are taken, further events share them by hash. */
struct log_limit {
	struct log_limit_slot slots[LOG_LIMIT_SLOTS];
};

/**
 * True when @line, which starts with event=NAME, may be written. Sets
 * @suppressed to the number of lines of its slot suppressed since the last one
 * admitted; 0 when @line is suppressed itself.
 */
bool log_limit_admit(struct log_limit *l, const char *line, uint64_t now_ns,
		     uint64_t *suppressed);

#endif
