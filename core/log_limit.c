#include "core/log_limit.h"

#include <string.h>
#include <xxhash.h>

#define EVENT_KEY "event="

static void event_name(const char *line, char name[JD_NAME_MAX])
{
	size_t len;

	if (!strncmp(line, EVENT_KEY, strlen(EVENT_KEY)))
		line += strlen(EVENT_KEY);
	len = strcspn(line, " ");
	if (len >= JD_NAME_MAX)
		len = JD_NAME_MAX - 1;
	memcpy(name, line, len);
	name[len] = '\0';
}

/* The event's slot, or a free one, or a shared one when all are taken. */
static struct log_limit_slot *slot_get(struct log_limit *l, const char *name)
{
	uint64_t h = XXH64(name, strlen(name), 0);
	struct log_limit_slot *s;

	for (uint64_t i = 0; i < LOG_LIMIT_SLOTS; i++) {
		s = &l->slots[(h + i) % LOG_LIMIT_SLOTS];
		if (!s->name[0])
			memcpy(s->name, name, JD_NAME_MAX);
		if (!strcmp(s->name, name))
			return s;
	}
	return &l->slots[h % LOG_LIMIT_SLOTS];
}

bool log_limit_admit(struct log_limit *l, const char *line, uint64_t now_ns,
		     uint64_t *suppressed)
{
	char name[JD_NAME_MAX] = "";
	struct log_limit_slot *s;

	*suppressed = 0;
	event_name(line, name);
	s = slot_get(l, name);
	if (now_ns >= s->interval_end_ns) {
		s->interval_end_ns = now_ns + LOG_LIMIT_INTERVAL_NS;
		s->admitted = 0;
	}
	if (s->admitted >= LOG_LIMIT_BURST) {
		s->suppressed++;
		return false;
	}
	s->admitted++;
	*suppressed = s->suppressed;
	s->suppressed = 0;
	return true;
}
