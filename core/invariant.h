/** Assertions that are on in every build, with the module's state. */
#ifndef JD_CORE_INVARIANT_H
#define JD_CORE_INVARIANT_H

/**
 * Logs @cond and the state, then aborts, if @cond is false. The arguments are
 * a printf format of the module's state as key=value pairs, and its values.
 */
#define JD_INVARIANT(cond, ...)                                                \
	do {                                                                   \
		if (__builtin_expect(!(cond), 0))                              \
			invariant_fail(#cond, __FILE__, __LINE__,              \
				       __VA_ARGS__);                           \
	} while (0)

/** Receives the formatted log line before the abort; set once by main(). */
typedef void (*invariant_sink_fn)(const char *line);

void invariant_set_sink(invariant_sink_fn sink);

void invariant_fail(const char *cond, const char *file, int line,
		    const char *fmt, ...)
	__attribute__((noreturn, format(printf, 4, 5)));

#endif
