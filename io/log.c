#include "io/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "core/log_limit.h"
#include "core/mem.h"
#include "core/name.h"
#include "core/text.h"
#include "io/clock.h"

#define LINE_MAX_BYTES 1024

static const char *const level_names[] = {
	[LOG_DEBUG] = "debug",
	[LOG_INFO] = "info",
	[LOG_WARN] = "warn",
	[LOG_ERROR] = "error",
};

static enum log_level min_level = LOG_INFO;
static char node_name[JD_NODE_NAME_MAX] = "-";
static struct log_limit log_limit;

static FILE *log_out; /* NULL: standard error */

void log_set_output(FILE *out)
{
	log_out = out;
}

void log_init(enum log_level level, const char *name)
{
	min_level = level;
	name_copy(node_name, name, sizeof(node_name));
}

/* Replaces control characters by '?': logged input must not forge lines. */
static void copy_printable(char *dst, const char *src, size_t cap)
{
	mem_copy_str(dst, src, cap);
	for (; *dst; dst++)
		if ((unsigned char)*dst < ' ' || *dst == 0x7f)
			*dst = '?';
}

void log_write(enum log_level level, const char *line)
{
	char text[LINE_MAX_BYTES];
	char suppressed_note[48] = "";
	uint64_t suppressed;
	struct timespec ts;
	struct tm tm;
	char when[32];

	if (level < min_level)
		return;
	if (!log_limit_admit(&log_limit, line, clock_now_ns(), &suppressed))
		return;
	if (suppressed)
		text_format(suppressed_note, sizeof(suppressed_note),
			    " suppressed=%lu", (unsigned long)suppressed);
	copy_printable(text, line, sizeof(text));
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(log_out ? log_out : stderr,
		"time=%s.%03ldZ level=%s node=%s %s%s\n", when,
		ts.tv_nsec / 1000000, level_names[level], node_name, text,
		suppressed_note);
	fflush(log_out ? log_out : stderr);
}

void log_event(enum log_level level, const char *fmt, ...)
{
	char line[LINE_MAX_BYTES];
	va_list ap;

	va_start(ap, fmt);
	text_vformat(line, sizeof(line), fmt, ap);
	va_end(ap);
	log_write(level, line);
}

void log_invariant(const char *line)
{
	log_write(LOG_ERROR, line);
}

bool log_level_parse(const char *name, enum log_level *level)
{
	for (int i = LOG_DEBUG; i <= LOG_ERROR; i++) {
		if (strcmp(level_names[i], name) != 0)
			continue;
		*level = i;
		return true;
	}
	return false;
}
