#include "core/load/call_room.h"

#include <math.h>

/* In this time half of the past is forgotten. */
#define HALF_LIFE_NS   (double)(2 * NS_PER_S)
/* Below this mean, calls are too rare to keep a slot for them. */
#define MEAN_MIN       0.5
/* Calls get at most one in so many slots to themselves. */
#define LIMIT_PER_CALL 3

static double mean_at(const struct call_room *r, uint64_t now_ns)
{
	double age_ns = (double)(now_ns - r->noted_ns);
	double rest = exp2(-age_ns / HALF_LIFE_NS);

	return r->mean * rest + r->running * (1 - rest);
}

void call_room_note(struct call_room *r, uint32_t running, uint64_t now_ns)
{
	r->mean = r->noted_ns ? mean_at(r, now_ns) : 0;
	r->running = running;
	r->noted_ns = now_ns;
}

uint32_t call_room_free(const struct call_room *r, uint32_t limit,
			uint64_t now_ns)
{
	double mean = r->noted_ns ? mean_at(r, now_ns) : 0;
	uint32_t slots;

	if (mean < MEAN_MIN)
		return 0;
	/* Arrivals at random: the mean and one standard deviation. */
	slots = (uint32_t)ceil(mean + sqrt(mean));
	if (slots > limit / LIMIT_PER_CALL)
		slots = limit / LIMIT_PER_CALL;
	return slots > r->running ? slots - r->running : 0;
}
