#include "core/planner.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/placement.h"

#define LEASE_TTL_MS	      3000
#define LEASE_RENEW_NS	      NS_PER_S
#define CLAIM_RETRY_NS	      (500 * NS_PER_MS)
#define PLAN_INTERVAL_NS      (100 * NS_PER_MS)
/*
 * Nodes join in bursts. Loads are balanced, and maps of new routes written,
 * only when the rosters have not changed for ROSTERS_SETTLE_NS, or at the
 * latest ROSTERS_SETTLE_MAX_NS after the first change.
 */
#define ROSTERS_SETTLE_NS     (500 * NS_PER_MS)
#define ROSTERS_SETTLE_MAX_NS (3 * NS_PER_S)

enum planner_step { STEP_LEASE = 1, STEP_MAP };

void planner_init(struct planner *p)
{
	memset(p, 0, sizeof(*p));
	list_init(&p->releases);
	hot_shards_init(&p->hot);
}

static void release_delete(struct release *r)
{
	list_remove(&r->link);
	free(r->msg.shards);
	free(r->msg.epochs);
	free(r);
}

static void drop_releases(struct planner *p)
{
	struct release *r, *tmp;

	list_for_each_entry_safe(r, tmp, &p->releases, link)
		release_delete(r);
}

void planner_done(struct planner *p)
{
	drop_releases(p);
	hot_shards_done(&p->hot);
}

static void claim(struct planner *p, struct ctx *c)
{
	const struct doc *old = view_doc(&c->view, DOC_PLANNER, "");
	bool held = old && !doc_absent(old);
	struct doc *d;

	if (held && old->u.planner.holder != c->self) {
		p->next_claim_ns = 0;
		return;
	}
	if (!p->next_claim_ns)
		p->next_claim_ns =
			c->now_ns + rng_below(&c->rng, CLAIM_RETRY_NS);
	if (c->now_ns < p->next_claim_ns)
		return;
	p->next_claim_ns = c->now_ns + CLAIM_RETRY_NS;
	d = doc_new(DOC_PLANNER, "");
	d->u.planner.holder = c->self;
	d->u.planner.term = old ? old->revision + 1 : 1;
	ctx_call(c, &(struct call_opts){.owner = CALL_PLANNER,
					.kind = STORE_CAS,
					.doc_kind = DOC_PLANNER,
					.revision = held ? old->revision : 0,
					.ttl_ms = LEASE_TTL_MS,
					.step = STEP_LEASE,
					.doc = d});
}

static void renew(struct planner *p, struct ctx *c)
{
	if (c->now_ns < p->next_renew_ns)
		return;
	p->next_renew_ns = c->now_ns + LEASE_RENEW_NS;
	ctx_call(c, &(struct call_opts){.owner = CALL_PLANNER,
					.kind = STORE_RENEW,
					.doc_kind = DOC_PLANNER,
					.revision = p->lease_revision,
					.ttl_ms = LEASE_TTL_MS,
					.step = STEP_LEASE});
}

/*
 * Assigns released shards to their targets. Returns how many. A release that
 * names another owner or epoch than the map has is ignored.
 */
static uint32_t finish_moves(struct planner *p, struct shard_map *map)
{
	struct release *r;
	uint32_t n = 0;

	list_for_each_entry(r, &p->releases, link) {
		if (strcmp(r->msg.route, map->route) != 0)
			continue;
		for (uint32_t i = 0; i < r->msg.count; i++) {
			struct shard *sh;

			if (r->msg.shards[i] >= map->count)
				continue;
			sh = &map->shards[r->msg.shards[i]];
			if (sh->owner != r->owner || !sh->target ||
			    sh->epoch != r->msg.epochs[i])
				continue;
			shard_assign(sh, sh->target);
			n++;
		}
	}
	return n;
}

static revision_t newest_roster(const struct view *v)
{
	const struct doc *d = NULL;
	revision_t newest = 0;

	while ((d = view_next(v, DOC_ROSTER, d)))
		if (newest < d->revision)
			newest = d->revision;
	return newest;
}

static void track_rosters(struct planner *p, const struct ctx *c)
{
	revision_t newest = newest_roster(&c->view);

	if (newest == p->roster_revision)
		return;
	p->roster_revision = newest;
	if (!p->rosters_changed)
		p->settled_by_ns = c->now_ns + ROSTERS_SETTLE_MAX_NS;
	p->rosters_changed = true;
	p->settled_ns = c->now_ns + ROSTERS_SETTLE_NS;
	if (p->settled_ns > p->settled_by_ns)
		p->settled_ns = p->settled_by_ns;
}

static bool rosters_settled(const struct planner *p, const struct ctx *c)
{
	return !p->rosters_changed || c->now_ns >= p->settled_ns;
}

static bool plan_route(struct planner *p, struct ctx *c,
		       const struct route *route)
{
	const struct doc *old = view_doc(&c->view, DOC_MAP, route->name);
	uint32_t finished, planned;
	struct doc *d;

	if (!old || !old->u.map)
		return false;
	d = doc_copy(old);
	finished = finish_moves(p, d->u.map);
	planned = placement_plan_forced(d->u.map, &c->view, route);
	if (rosters_settled(p, c))
		planned += placement_plan_balance(d->u.map, &c->view, route);
	planned +=
		hot_shards_plan(&p->hot, d->u.map, &c->view, route, c->now_ns);
	if (!finished && !planned) {
		doc_delete(d);
		return false;
	}
	actions_log(c->out, LOG_INFO, "event=plan route=%s ended=%u marked=%u",
		    route->name, finished, planned);
	p->map_write_pending = true;
	ctx_call(c, &(struct call_opts){.owner = CALL_PLANNER,
					.kind = STORE_CAS,
					.doc_kind = DOC_MAP,
					.name = route->name,
					.revision = old->revision,
					.step = STEP_MAP,
					.doc = d});
	return true;
}

static bool needs_sweep(const struct planner *p, const struct ctx *c,
			const struct route *r)
{
	const struct shard_map *map = view_map(&c->view, r->name);
	struct node_loads loads;
	bool eligible;

	if (map)
		return placement_count_orphans(map, &c->view, r) > 0;
	if (!rosters_settled(p, c))
		return false;
	node_loads_init(&loads, &c->view, r, NULL);
	eligible = loads.eligible_count > 0;
	node_loads_done(&loads);
	return eligible;
}

static void plan_routes(struct planner *p, struct ctx *c, struct sweep *s)
{
	const struct manifest *m = view_manifest(&c->view);
	const struct route *r;

	if (!m || p->map_write_pending || c->now_ns < p->next_plan_ns)
		return;
	track_rosters(p, c);
	if (p->planned_revision == c->view.revision &&
	    list_empty(&p->releases) && !p->hot.new_reports &&
	    !(p->rosters_changed && rosters_settled(p, c)))
		return;
	p->next_plan_ns = c->now_ns + PLAN_INTERVAL_NS;
	p->planned_revision = c->view.revision;
	p->hot.new_reports = false;
	list_for_each_entry(r, &m->routes, link) {
		if (r->kind != ROUTE_KEYED)
			continue;
		if (needs_sweep(p, c, r))
			sweep_request(s);
		else if (plan_route(p, c, r))
			return;
	}
	if (rosters_settled(p, c))
		p->rosters_changed = false;
	/* Releases without effect are out of date or will be sent again. */
	drop_releases(p);
}

void planner_work(struct planner *p, struct ctx *c, struct sweep *s,
		  bool candidate)
{
	if (!candidate) {
		p->is_planner = false;
		return;
	}
	if (ctx_call_pending(c, CALL_PLANNER))
		return;
	if (!p->is_planner) {
		claim(p, c);
		return;
	}
	renew(p, c);
	plan_routes(p, c, s);
}

uint64_t planner_next_ns(const struct planner *p)
{
	if (!p->is_planner)
		return p->next_claim_ns ? p->next_claim_ns : DEADLINE_NEVER;
	if (p->next_plan_ns < p->next_renew_ns && !list_empty(&p->releases))
		return p->next_plan_ns;
	if (p->rosters_changed && p->settled_ns < p->next_renew_ns)
		return p->settled_ns;
	return p->next_renew_ns;
}

void planner_on_release(struct planner *p, struct ctx *c, struct message *msg)
{
	struct release *r;

	(void)c;
	if (!p->is_planner)
		return;
	r = mem_new(struct release);
	r->owner = msg->from;
	r->msg = msg->u.release;
	msg->u.release.shards = NULL;
	msg->u.release.epochs = NULL;
	list_push_back(&p->releases, &r->link);
}

void planner_on_hot_keys(struct planner *p, struct ctx *c,
			 const struct msg_hot_keys *m)
{
	if (!p->is_planner)
		return;
	for (uint32_t i = 0; i < m->count; i++)
		hot_shards_add(&p->hot, &m->items[i], c->now_ns);
}

static void on_lease(struct planner *p, struct ctx *c, const struct call *call,
		     struct ev_store *ev)
{
	const struct doc *d = view_doc(&c->view, DOC_PLANNER, "");

	if (ev->status == STATUS_OK && call->kind == STORE_CAS) {
		p->is_planner = true;
		p->lease_revision = d ? d->revision : 0;
		p->next_renew_ns = c->now_ns + LEASE_RENEW_NS;
		p->planned_revision = 0;
		actions_log(c->out, LOG_INFO, "event=planner_claimed");
	} else if (ev->status == STATUS_CONFLICT) {
		p->is_planner = d && d->u.planner.holder == c->self;
		if (p->is_planner)
			p->lease_revision = d->revision;
	}
}

void planner_on_store(struct planner *p, struct ctx *c, const struct call *call,
		      struct ev_store *ev)
{
	view_apply_all(&c->view, &ev->docs);
	if (call->step == STEP_LEASE) {
		on_lease(p, c, call, ev);
		return;
	}
	p->map_write_pending = false;
	p->planned_revision = 0;
	p->next_plan_ns = ev->status == STATUS_OK
				  ? c->now_ns
				  : c->now_ns + ctx_jitter(c, PLAN_INTERVAL_NS);
}
