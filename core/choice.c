#include "core/choice.h"

#include <string.h>

/*
 * Cost of a gate in another region, as a share of the objective. It grows with
 * the bytes that travel, as traffic between regions is paid for.
 */
#define OTHER_REGION_COST_MIN	 0.2
#define OTHER_REGION_COST_PER_KB 0.1
#define OTHER_REGION_COST_MAX	 0.8
/* Cost of another data centre of the region, relative to another region. */
#define OTHER_DC_COST_SHARE	 0.15
/* A failure rate of 1 adds this many times the time until the answer. */
#define FAILURE_COST_FACTOR	 2.0
/* Delay when all slots are busy, as a share of the service time. */
#define BUSY_COST_SHARE		 0.3
/* Gates with this many service times more delay than the least get nothing. */
#define DELAY_RANGE		 1.0
/* A gate whose messages wait this long on their way gets half its share. */
#define TRANSIT_SCALE_NS	 (100.0 * NS_PER_MS)
/* Bodies of this size need a gate's link more than its slots. */
#define LINK_BOUND_KB		 32.0

void choice_init(struct choice *ch, const struct choice_opts *o)
{
	memset(ch, 0, sizeof(*ch));
	ch->opts = *o;
}

static double distance_ns(const struct choice_opts *o, const struct dir_node *n)
{
	double cost = OTHER_REGION_COST_MIN + OTHER_REGION_COST_PER_KB * o->kb;

	if (cost > OTHER_REGION_COST_MAX)
		cost = OTHER_REGION_COST_MAX;
	cost *= (double)o->objective_ns;
	if (strcmp(n->card.region, o->region) != 0)
		return cost;
	return strcmp(n->card.dc, o->dc) != 0 ? OTHER_DC_COST_SHARE * cost : 0;
}

/*
 * Requests at the gate. A report tells for about one service time how many run
 * and wait; later only how many usually do.
 */
static double busy_now(const struct choice_opts *o, const struct dir_node *n)
{
	double reported = n->load.running + n->load.waiting;
	double age_ns =
		o->now_ns > n->heard_ns ? (double)(o->now_ns - n->heard_ns) : 0;
	double service_ns = (double)n->load.service_ns;
	double trust = service_ns > 0 ? service_ns / (service_ns + age_ns) : 0;

	return n->mean_busy + trust * (reported - n->mean_busy) +
	       n->unreported_requests;
}

/* How long a request waits for its gate and in it, distance included. */
static double delay_ns(const struct choice_opts *o, const struct dir_node *n)
{
	double limit = n->load.limit ? n->load.limit : 1;
	double busy = o->even ? even_busy(&n->even, &n->load, o->now_ns)
			      : busy_now(o, n);
	double service_ns = (double)n->load.service_ns;
	double delay =
		BUSY_COST_SHARE * service_ns * busy / limit + distance_ns(o, n);

	if (busy >= limit)
		delay += (busy - limit + 1) * service_ns / limit;
	return delay +
	       FAILURE_COST_FACTOR * n->failure_rate * (service_ns + delay);
}

static double room(const struct choice *ch, const struct dir_node *n)
{
	return even_room(&n->even, &n->load, ch->opts.now_ns);
}

static void measure_near_room(struct choice *ch, const struct dir_node *n)
{
	double distance = distance_ns(&ch->opts, n);

	if (!ch->measured || distance < ch->least_distance_ns) {
		ch->least_distance_ns = distance;
		ch->near_room = 0;
	}
	if (distance <= ch->least_distance_ns && room(ch, n) > ch->near_room)
		ch->near_room = room(ch, n);
}

/*
 * Room decides between gates at one distance only: a farther one gets requests
 * once its delay, distance included, is the lesser one.
 */
static double room_weight(const struct choice *ch, const struct dir_node *n)
{
	double free_share = room(ch, n);

	if (distance_ns(&ch->opts, n) > ch->least_distance_ns &&
	    free_share > ch->near_room)
		return ch->near_room;
	return free_share;
}

void choice_measure(struct choice *ch, const struct dir_node *n)
{
	double delay = delay_ns(&ch->opts, n);

	if (ch->opts.even)
		measure_near_room(ch, n);
	if (!ch->measured || delay < ch->least_ns)
		ch->least_ns = delay;
	ch->measured = true;
}

/* Requests that the gate can serve in a second. */
static double capacity_per_s(const struct choice_opts *o,
			     const struct dir_node *n)
{
	double limit = n->load.limit ? n->load.limit : 1;
	double service_ns = n->load.service_ns ? (double)n->load.service_ns : 1;

	if (o->even)
		return even_capacity_per_s(o->even, &n->even, &n->load,
					   o->now_ns);
	return limit * (double)NS_PER_S / service_ns;
}

void choice_draw(struct choice *ch, struct dir_node *n)
{
	double service_ns = (double)n->load.service_ns;
	double extra_ns = delay_ns(&ch->opts, n) - ch->least_ns;
	double ratio = extra_ns > 0 ? service_ns / (service_ns + extra_ns) : 1;
	double weight = ratio * ratio;
	double draw = (double)(rng_next(ch->opts.rng) >> 11) / (1LL << 53);

	if (extra_ns > service_ns * DELAY_RANGE)
		return;
	weight *= TRANSIT_SCALE_NS /
		  (TRANSIT_SCALE_NS + (double)(n->load.transit_ms * NS_PER_MS));
	if (ch->opts.kb < LINK_BOUND_KB)
		weight *= capacity_per_s(&ch->opts, n);
	if (ch->opts.even)
		weight *= room_weight(ch, n);
	ch->weight += weight;
	if (!ch->picked || draw * ch->weight < weight)
		ch->picked = n;
}
