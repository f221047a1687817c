/** The log: one line of key=value pairs for each event. */
#ifndef JD_IO_LOG_H
#define JD_IO_LOG_H

#include <stdio.h>

#include "core/action.h"

/** Drops lines below @level; each line carries @name as its node. */
void log_init(enum log_level level, const char *name);

/** Sends further lines to @out instead of standard error. */
void log_set_output(FILE *out);

/**
 * Writes @line after the time, the level and the node's name. Lines of one
 * event are rate limited; suppressed=N counts those dropped since the last
 * one written.
 */
void log_write(enum log_level level, const char *line);

/** Formats a line, which starts with event=NAME, and writes it. */
void log_event(enum log_level level, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** Logs a failed invariant; to be passed to invariant_set_sink(). */
void log_invariant(const char *line);

/** False when @name is not a log level. */
bool log_level_parse(const char *name, enum log_level *level);

#endif
