#include "core/load/comeback.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

/* The start times of a route are measured again after this many requests. */
#define MEASURE_INTERVAL      16
/*
 * Callers start with times spread evenly over a range of which the upper
 * quarter is seen. One that is below it by a quarter or more comes back.
 */
#define RANGE_QUARTERS	      4
/* Of those that come back, one in so many counts in the measurement. */
#define RECOGNISED_PER_SAMPLE 4
/* A caller waits for this part of its time left at most. */
#define WAIT_DIVISOR	      3

void comebacks_init(struct comebacks *cb)
{
	memset(cb, 0, sizeof(*cb));
	list_init(&cb->routes);
}

void comebacks_done(struct comebacks *cb)
{
	struct comeback_route *r, *tmp;

	list_for_each_entry_safe(r, tmp, &cb->routes, link)
		free(r);
}

static struct comeback_route *route_for(struct comebacks *cb, const char *name)
{
	struct comeback_route *r;

	list_for_each_entry(r, &cb->routes, link)
		if (!strcmp(r->route, name))
			return r;
	r = mem_new(struct comeback_route);
	mem_copy_str(r->route, name, sizeof(r->route));
	list_push_back(&cb->routes, &r->link);
	return r;
}

static int compare_ns(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static void measure(struct comeback_route *r)
{
	uint64_t sorted[COMEBACK_SAMPLES];
	uint32_t n = r->count < COMEBACK_SAMPLES ? r->count : COMEBACK_SAMPLES;
	uint64_t max, quarter, range;

	if (!n)
		return;
	memcpy(sorted, r->left_ns, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_ns);
	max = sorted[n - 1];
	quarter = max - sorted[n - 1 - n / 4];
	r->start_mean_ns = max - RANGE_QUARTERS * quarter / 2;
	range = (RANGE_QUARTERS + 1) * quarter;
	/* If starts differ by more than that, a later attempt can't be told. */
	r->start_min_ns = range < max / 2 ? max - range : 0;
}

static void add_sample(struct comeback_route *r, uint64_t left_ns)
{
	r->left_ns[r->count++ % COMEBACK_SAMPLES] = left_ns;
	if (r->count % MEASURE_INTERVAL == 0)
		measure(r);
}

uint64_t comeback_waited_ns(struct comebacks *cb, const char *route,
			    uint64_t left_ns)
{
	struct comeback_route *r = route_for(cb, route);

	if (left_ns >= r->start_min_ns) {
		add_sample(r, left_ns);
		return 0;
	}
	/* Not all of them, or a burst would hide when callers start. */
	if (cb->recognised++ % RECOGNISED_PER_SAMPLE == 0)
		add_sample(r, left_ns);
	return r->start_mean_ns > left_ns ? r->start_mean_ns - left_ns : 0;
}

uint64_t comeback_retry_after_ns(const struct retry_after_opts *o)
{
	uint64_t base_ns = o->room_ns > o->min_ns ? o->room_ns : o->min_ns;
	uint64_t max_ns = o->left_ns / WAIT_DIVISOR;
	uint64_t wait_ns;

	/* Of those that fit, at random: they don't come back all at once. */
	if (base_ns > max_ns)
		base_ns = max_ns;
	wait_ns = base_ns / 2 + rng_below(o->rng, base_ns + 1);
	return wait_ns < max_ns ? wait_ns : max_ns;
}
