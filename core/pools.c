#include "core/pools.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

void pools_init(struct pools *p)
{
	list_init(&p->items);
}

void pools_done(struct pools *p)
{
	struct pool *po, *tmp;

	list_for_each_entry_safe(po, tmp, &p->items, link) {
		balancer_done(&po->balancer);
		free(po);
	}
	list_init(&p->items);
}

static bool can_serve(const struct ctx *c, const struct roster *ro,
		      const struct member *m, const struct home *home)
{
	const struct data_centre *dc =
		manifest_data_centre(view_manifest(&c->view), ro->dc);

	return m->state == MEMBER_UP &&
	       !strcmp(m->service, home->route->service) &&
	       (!dc || dc->state == DC_IN) && home_allows(home, ro->region);
}

static enum distance distance(const struct ctx *c, const struct roster *ro)
{
	if (!strcmp(ro->dc, c->opts->dc))
		return DISTANCE_SAME_DC;
	return strcmp(ro->region, c->opts->region) ? DISTANCE_OTHER_REGION
						   : DISTANCE_SAME_REGION;
}

static void sync_endpoints(struct pool *po, const struct ctx *c,
			   const struct home *home)
{
	const struct doc *d = NULL;

	po->revision = c->view.revision;
	balancer_sync_begin(&po->balancer);
	while ((d = view_next(&c->view, DOC_ROSTER, d))) {
		const struct roster *ro = d->u.roster;
		const struct member *m;

		list_for_each_entry(m, &ro->members, link)
			if (can_serve(c, ro, m, home))
				balancer_sync_add(&po->balancer, m->inc,
						  distance(c, ro));
	}
	balancer_sync_end(&po->balancer);
}

/* The name of the organisation whose own pool serves the request; else "". */
static const char *pool_organisation(const struct home *home)
{
	if (!home->organisation || !home->organisation->home_regions.count)
		return "";
	return home->organisation->name;
}

struct pool *pools_get(struct pools *p, struct ctx *c, const struct home *home)
{
	struct pool *po;

	list_for_each_entry(po, &p->items, link)
		if (!strcmp(po->balancer.route, home->route->name) &&
		    !strcmp(po->organisation, pool_organisation(home)))
			goto found;
	po = mem_new(struct pool);
	mem_copy_str(po->organisation, pool_organisation(home),
		     sizeof(po->organisation));
	balancer_init(&po->balancer, home->route->name, BALANCER_LATENCY);
	list_push_back(&p->items, &po->link);
	/* Differs from the view's, so that the endpoints are added. */
	po->revision = c->view.revision + 1;
found:
	if (po->revision != c->view.revision)
		sync_endpoints(po, c, home);
	return po;
}
