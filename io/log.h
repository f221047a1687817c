/** One line of key=value pairs an event, on standard error. */
#ifndef JD_IO_LOG_H
#define JD_IO_LOG_H

#include <stdio.h>

#include "core/action.h"

/** Lines below @min are left out; @name goes into each line. */
void log_init(enum log_level min, const char *name);

/** Lines go to @out from now on; standard error before. */
void log_set_output(FILE *out);

/**
 * Writes time, level and name before @line. Repeats of one event are
 * limited; suppressed=N says how many were left out.
 */
void log_write(enum log_level level, const char *line);

void log_event(enum log_level level, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** For invariant_set_sink(). */
void log_invariant(const char *line);

/** False for a name that is no level. */
bool log_level_parse(const char *name, enum log_level *level);

#endif
