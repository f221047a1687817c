#include "core/load/capacity.h"

#include <string.h>

/* Requests that a mean remembers: some seconds of a busy upstream. */
#define SAMPLES_MAX	   200u
/* A mean of fewer is not stated: a few slow ones would decide it. */
#define SAMPLES_MIN	   100u
#define CHECK_INTERVAL_NS  (500 * NS_PER_MS)
/* Between two changes: longer than a move of keys takes. */
#define CHANGE_INTERVAL_NS (4 * NS_PER_S)
/* A weight stays if the measured one is within this part of it. */
#define CHANGE_MIN_SHARE   0.2
/* Limits of a weight: a slow upstream still keeps some keys. */
#define WEIGHT_MIN	   3u
#define WEIGHT_MAX	   16u

void work_time_add(struct work_time *w, double took_ns)
{
	if (w->samples < SAMPLES_MAX)
		w->samples++;
	w->mean_ns += (took_ns - w->mean_ns) / w->samples;
}

uint64_t work_time_stated_ns(const struct work_time *w)
{
	return w->samples < SAMPLES_MIN ? 0 : (uint64_t)w->mean_ns;
}

/* Requests that an upstream of @slots serves in a second. */
static double speed(uint32_t slots, uint64_t work_ns)
{
	return (slots ? slots : 1) * (double)NS_PER_S / (double)work_ns;
}

/* Mean speed of the service's other upstreams; 0: too few are measured. */
static double others_speed(const struct capacity_opts *o)
{
	const struct dir_node *n;
	uint32_t measured = 0, unknown = 0;
	double sum = 0;

	list_for_each_entry(n, &o->dir->nodes, link) {
		if (strcmp(n->card.service, o->service) != 0 || !n->revision ||
		    !strcmp(n->name, o->node))
			continue;
		if (!n->load.usual_ns) {
			unknown++;
			continue;
		}
		sum += speed(n->card.slots, n->load.usual_ns);
		measured++;
	}
	return measured && measured >= unknown ? sum / measured : 0;
}

static uint32_t measured_weight(const struct capacity_opts *o, double mean)
{
	double w = CAPACITY_WEIGHT_UNIT *
		   speed(o->slots, work_time_stated_ns(o->work)) / mean;

	if (w < WEIGHT_MIN)
		return WEIGHT_MIN;
	return w > WEIGHT_MAX ? WEIGHT_MAX : (uint32_t)(w + 0.5);
}

bool capacity_update(struct capacity *cp, const struct capacity_opts *o)
{
	uint32_t in_force = cp->weight ? cp->weight : CAPACITY_WEIGHT_UNIT;
	uint32_t wanted;
	double mean, change;

	if (o->now_ns < cp->next_check_ns)
		return false;
	cp->next_check_ns = o->now_ns + CHECK_INTERVAL_NS;
	if (o->now_ns < cp->next_change_ns || !work_time_stated_ns(o->work))
		return false;
	mean = others_speed(o);
	if (mean <= 0)
		return false;
	wanted = measured_weight(o, mean);
	change = wanted > in_force ? wanted - in_force : in_force - wanted;
	if (change <= CHANGE_MIN_SHARE * in_force)
		return false;
	cp->weight = wanted;
	cp->next_change_ns = o->now_ns + CHANGE_INTERVAL_NS;
	return true;
}
