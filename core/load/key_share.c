#include "core/load/key_share.h"

#include <math.h>
#include <string.h>

/* Bounds of a share, so that an error of measurement moves few keys. */
#define SHARE_MIN      16u
#define SHARE_MAX      128u
/* A share follows the speed once that differs by more than this part of it. */
#define SHARE_STEP     0.25
/* Speeds are compared once this part of the upstreams has a known one. */
#define MEASURED_LEAST 0.75

static bool serves(const struct directory *d, const struct dir_node *n,
		   const char *service, uint64_t now_ns)
{
	return n->revision && !n->card.draining &&
	       n->card.upstream.instance[0] &&
	       !strcmp(n->card.service, service) &&
	       directory_node_alive(d, n, now_ns);
}

/* A cold upstream's limit says nothing of what it will serve. */
static bool is_measured(const struct dir_node *n)
{
	return n->even.paces && !n->load.cold && n->load.limit;
}

static double capacity(const struct dir_node *n)
{
	return n->load.limit * exp(-n->even.log_pace);
}

static uint32_t share_for(double capacity, double mean)
{
	double share = KEY_SHARE_UNIT * capacity / mean;

	if (share < SHARE_MIN)
		return SHARE_MIN;
	return share > SHARE_MAX ? SHARE_MAX : (uint32_t)lround(share);
}

static void set_share(struct dir_node *n, uint32_t share,
		      struct key_share_change *change)
{
	double step = fabs((double)share - n->key_share) / n->key_share;

	if (!n->key_share_measured || step > SHARE_STEP) {
		n->key_share_measured = true;
		n->key_share = share;
		change->changed++;
	}
	if (!change->least || n->key_share < change->least)
		change->least = n->key_share;
	if (n->key_share > change->most)
		change->most = n->key_share;
}

struct key_share_change key_share_update(struct directory *d,
					 const char *service, uint64_t now_ns)
{
	struct key_share_change change = {0};
	struct dir_node *n;
	double sum = 0;

	list_for_each_entry(n, &d->nodes, link) {
		if (!serves(d, n, service, now_ns))
			continue;
		change.upstreams++;
		if (!is_measured(n))
			continue;
		change.measured++;
		sum += capacity(n);
	}
	if (!change.measured ||
	    change.measured < MEASURED_LEAST * change.upstreams)
		return change;
	list_for_each_entry(n, &d->nodes, link)
		if (serves(d, n, service, now_ns) && is_measured(n))
			set_share(n,
				  share_for(capacity(n), sum / change.measured),
				  &change);
	return change;
}
