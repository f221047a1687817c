#include "core/keyplan.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/load/key_share.h"
#include "core/mem.h"

/* Nodes that start together register within this time. */
#define FIRST_DEAL_NS	       (1500 * NS_PER_MS)
/* A first keymap also waits for this long after a change of the candidates. */
#define FIRST_DEAL_SETTLE_NS   (2 * NS_PER_S)
/* Latest time of the first deal after the start, if they keep changing. */
#define FIRST_DEAL_LATEST_NS   (6 * NS_PER_S)
#define CHECK_INTERVAL_NS      (100 * NS_PER_MS)
/* Used while every card is present and no record has changed. */
#define CHECK_INTERVAL_CALM_NS (500 * NS_PER_MS)
#define WRITE_RETRY_NS	       (300 * NS_PER_MS)
/* A newer keymap than the one of a write that conflicted comes within this. */
#define OUTDATED_MAX_NS	       NS_PER_S
/*
 * Nodes act in turns, in the order of their names, so that as a rule only the
 * first one writes. Each turn has twice the nodes of the one before; the last
 * one has all others.
 */
#define TURN_NS		       (400 * NS_PER_MS)
#define TURNS_MAX	       5
/*
 * A check that is this late shows that the loop stood still: what happened
 * meanwhile is not known yet, so the candidates may have changed.
 */
#define STALL_NS	       (150 * NS_PER_MS)
/* Cards that expired during an outage of the store return within this time. */
#define LAPSE_GRACE_NS	       (2200 * NS_PER_MS)
/* For this long after a failed store call, adoption waits LAPSE_GRACE_NS more.
 */
#define STORE_TROUBLE_NS       (10 * NS_PER_S)
/* Keys are balanced after the candidates were unchanged for this time. */
#define BALANCE_STABLE_NS      (1500 * NS_PER_MS)
/* Others than the first node balance this long after the last change. */
#define OTHERS_BALANCE_NS      (4 * NS_PER_S)
/* Between two changes of the shares of keys, each of which may move some. */
#define SHARES_INTERVAL_NS     (5 * NS_PER_S)
/* Nodes whose keys one write adopts: each needs a condition on its card. */
#define ORPHANED_NODES_MAX     (STORE_EXPECT_MAX - 1)

void keyplan_init(struct keyplan *p, uint64_t now_ns)
{
	memset(p, 0, sizeof(*p));
	p->first_deal_ns = now_ns + FIRST_DEAL_NS;
	list_init(&p->services);
}

void keyplan_done(struct keyplan *p)
{
	struct keyplan_service *s, *tmp;

	list_for_each_entry_safe(s, tmp, &p->services, link)
		free(s);
}

static struct keyplan_service *
service_for(struct keyplan *p, const struct mesh_ctx *c, const char *name)
{
	struct keyplan_service *s;

	list_for_each_entry(s, &p->services, link)
		if (!strcmp(s->service, name))
			return s;
	s = mem_new(struct keyplan_service);
	mem_copy_str(s->service, name, sizeof(s->service));
	s->candidates_since_ns = c->now_ns;
	list_push_back(&p->services, &s->link);
	return s;
}

bool keyplan_on_end(struct keyplan *p, const struct mesh_ctx *c,
		    const struct ev_store_end *e)
{
	if (!p->op || e->op != p->op)
		return false;
	p->op = 0;
	if (e->end == STORE_CONFLICT) {
		p->outdated = p->op_revision;
		p->outdated_until_ns = c->now_ns + OUTDATED_MAX_NS;
	}
	p->next_ns = c->now_ns + (e->end == STORE_DONE ? CHECK_INTERVAL_NS
						       : WRITE_RETRY_NS);
	return true;
}

static bool alive(const struct mesh_ctx *c, const struct dir_node *n)
{
	return n->revision && !n->leaving &&
	       directory_node_alive(&c->dir, n, c->now_ns);
}

/* Number of live nodes with a lower name. */
static uint32_t rank(const struct mesh_ctx *c)
{
	const struct dir_node *n;
	uint32_t before = 0;

	list_for_each_entry(n, &c->dir.nodes, link)
		before += alive(c, n) && strcmp(n->name, c->opts->node) < 0;
	return before;
}

/* Turn of the node with @rank others before it, from 0. */
static uint32_t turn_of(uint32_t rank)
{
	uint32_t turn = 0;

	while (rank >> turn && turn < TURNS_MAX)
		turn++;
	return turn;
}

/* Nodes of one turn are spread over it. */
static uint64_t turn_delay_ns(const struct mesh_ctx *c)
{
	uint32_t turn = turn_of(rank(c));
	uint32_t hash = XXH32(c->opts->node, strlen(c->opts->node), 0);

	return turn * TURN_NS + (turn > 1 ? hash % TURN_NS : 0);
}

static uint64_t adopt_delay_ns(const struct mesh_ctx *c,
			       const struct session *s)
{
	uint64_t wait_ns = turn_delay_ns(c);

	if (s->last_failure_ns &&
	    c->now_ns < s->last_failure_ns + STORE_TROUBLE_NS)
		wait_ns += LAPSE_GRACE_NS;
	return wait_ns;
}

/*
 * True if @node is unknown, or its card has been absent for @wait_ns. In a new
 * era the wait begins when it is settled: all nodes may adopt keys from then
 * on.
 */
static bool orphaned(const struct mesh_ctx *c, const char *node,
		     uint64_t wait_ns)
{
	const struct dir_node *n = directory_node(&c->dir, node);

	if (c->now_ns < c->dir.era_settled_ns + wait_ns)
		return false;
	return !n || (!n->revision && c->now_ns >= n->absent_ns + wait_ns);
}

static void write_map(struct keyplan *p, struct mesh_ctx *c, struct keymap *map,
		      struct act_store_call *a)
{
	struct record *rec = record_new(RECORD_KEYMAP, map->service);

	keymap_merge_rows(map);
	rec->u.keymap = map;
	list_push_back(&a->puts, &rec->link);
	p->op = a->op;
	p->op_revision = a->expect[0].revision;
}

static void deal(struct keyplan *p, struct mesh_ctx *c, const char *service,
		 struct list *candidates)
{
	struct keymap *map = keymap_new(service);
	struct act_store_call *a = mesh_store_call(c, CALL_WRITE);

	mesh_expect_revision(a, RECORD_KEYMAP, service, 0);
	keymap_raise_fence(map, directory_fence_base(&c->dir));
	keymap_deal(map, candidates);
	write_map(p, c, map, a);
	p->deals++;
	mesh_log(c->out, LOG_INFO, "event=keys_dealt service=%s", service);
}

/*
 * Writes the newest keymap known, which a store that came back from an older
 * copy lacks. No upstream holds keys by it any more.
 */
static void restore_map(struct keyplan *p, struct mesh_ctx *c,
			const struct dir_keymap *k)
{
	struct keymap *map = keymap_copy(k->map);
	struct act_store_call *a = mesh_store_call(c, CALL_WRITE);

	mesh_expect_revision(a, RECORD_KEYMAP, map->service, 0);
	keymap_raise_fence(map, directory_fence_base(&c->dir));
	keymap_renew_fences(map);
	write_map(p, c, map, a);
	mesh_log(c->out, LOG_INFO,
		 "event=keymap_restored service=%s known=" REVISION_FMT,
		 map->service, REVISION_ARGS(k->revision));
}

static bool has_condition_on(const struct act_store_call *a, const char *node)
{
	for (uint32_t i = 0; i < a->expect_count; i++)
		if (!strcmp(a->expect[i].name, node))
			return true;
	return false;
}

/*
 * Moves the keys of nodes without a card to the candidates, on condition that
 * the cards are still absent. Returns true if it made a write. Adjacent rows go
 * to one candidate, under one fence, until it has as many keys as a row of an
 * even map: few that are left get few rows, which one answer can grant.
 */
static bool adopt(struct keyplan *p, struct mesh_ctx *c,
		  const struct session *s, const struct dir_keymap *k,
		  struct list *candidates)
{
	uint64_t wait_ns = adopt_delay_ns(c, s);
	struct act_store_call *a = NULL;
	struct keymap *map = NULL;
	struct keymap_candidate *to = NULL;
	struct keyrow *r;
	uint32_t run_max = keymap_dealt_row_keys(candidates);
	uint32_t keys = 0;
	uint32_t run = 0; /* adjacent keys that @to has got */

	list_for_each_entry(r, &k->map->rows, link) {
		struct keyrow *copy;

		if (!orphaned(c, r->owner.node, wait_ns)) {
			to = NULL;
			continue;
		}
		if (!a) {
			a = mesh_store_call(c, CALL_WRITE);
			mesh_expect_revision(a, RECORD_KEYMAP, k->map->service,
					     k->revision);
			map = keymap_copy(k->map);
			keymap_raise_fence(map, directory_fence_base(&c->dir));
			map->fence++;
		}
		if (!has_condition_on(a, r->owner.node)) {
			if (a->expect_count > ORPHANED_NODES_MAX) {
				to = NULL;
				continue;
			}
			mesh_expect_revision(a, RECORD_CARD, r->owner.node, 0);
		}
		if (!to || run >= run_max) {
			to = keymap_least_loaded(candidates);
			run = 0;
		}
		copy = keymap_find(map, r->from);
		run += r->to - r->from + 1;
		to->keys += r->to - r->from + 1;
		keys += r->to - r->from + 1;
		keymap_assign(copy, &to->id, map->fence, "");
	}
	if (!a)
		return false;
	write_map(p, c, map, a);
	p->adopted_keys += keys;
	mesh_log(c->out, LOG_INFO,
		 "event=keys_adopted service=%s keys=%u nodes=%u "
		 "revision=" REVISION_FMT,
		 map->service, keys, a->expect_count - 1,
		 REVISION_ARGS(k->revision));
	return true;
}

static bool any_target(const struct keymap *m)
{
	const struct keyrow *r;

	list_for_each_entry(r, &m->rows, link)
		if (r->target[0])
			return true;
	return false;
}

/*
 * Each node measures the shares by itself, and two that differ would move keys
 * to and fro. So one node balances; the others only see to it that no upstream
 * stays without keys.
 */
static bool may_balance(const struct keyplan_service *sv,
			const struct mesh_ctx *c)
{
	if (!c->opts->heavy_load)
		return true;
	if (!rank(c))
		return sv->weighed_ns || sv->spread.without_keys;
	return sv->spread.without_keys &&
	       c->now_ns > sv->candidates_since_ns + OTHERS_BALANCE_NS;
}

static void balance(struct keyplan *p, struct keyplan_service *sv,
		    struct mesh_ctx *c, const struct dir_keymap *k,
		    struct list *candidates)
{
	struct keymap *map;
	struct act_store_call *a;

	if (any_target(k->map)) {
		sv->balanced_ns = c->now_ns;
		return;
	}
	if (!sv->uneven || !may_balance(sv, c) ||
	    c->now_ns < sv->candidates_since_ns + BALANCE_STABLE_NS +
				turn_delay_ns(c))
		return;
	map = keymap_copy(k->map);
	keymap_raise_fence(map, directory_fence_base(&c->dir));
	if (!keymap_balance(map, candidates)) {
		keymap_delete(map);
		return;
	}
	a = mesh_store_call(c, CALL_WRITE);
	mesh_expect_revision(a, RECORD_KEYMAP, map->service, k->revision);
	write_map(p, c, map, a);
	p->balance_moves++;
	mesh_log(c->out, LOG_INFO,
		 "event=keys_balanced service=%s revision=" REVISION_FMT,
		 map->service, REVISION_ARGS(k->revision));
}

/* A number that changes with the set of candidates, in whatever order. */
static uint64_t hash_candidates(const struct list *candidates)
{
	const struct keymap_candidate *it;
	uint64_t sum = 0;

	list_for_each_entry(it, candidates, link)
		sum += XXH64(it->id.instance, strlen(it->id.instance),
			     XXH64(it->id.node, strlen(it->id.node),
				   it->id.born));
	return sum;
}

static void note_candidates(struct keyplan_service *sv,
			    const struct mesh_ctx *c,
			    const struct list *candidates)
{
	uint64_t hash = hash_candidates(candidates);

	if (hash == sv->candidates_hash)
		return;
	sv->candidates_hash = hash;
	sv->candidates_since_ns = c->now_ns;
}

static void note_spread(struct keyplan_service *sv, struct mesh_ctx *c,
			const struct list *candidates)
{
	bool uneven;

	keymap_measure_spread(candidates, &sv->spread);
	uneven = keymap_is_uneven(&sv->spread);
	if (uneven == sv->uneven)
		return;
	sv->uneven = uneven;
	mesh_log(c->out, LOG_INFO,
		 "event=%s service=%s upstreams=%u without_keys=%u "
		 "busiest_over_mean=%.2f",
		 uneven ? "keys_uneven" : "keys_even", sv->service,
		 sv->spread.candidates, sv->spread.without_keys,
		 sv->spread.busiest_over_mean);
}

/* When all upstreams that start with the fleet are known, as far as any is. */
static uint64_t first_deal_at_ns(const struct keyplan *p,
				 const struct keyplan_service *sv)
{
	uint64_t settled_ns = sv->candidates_since_ns + FIRST_DEAL_SETTLE_NS;
	uint64_t latest_ns =
		p->first_deal_ns - FIRST_DEAL_NS + FIRST_DEAL_LATEST_NS;

	if (settled_ns > latest_ns)
		settled_ns = latest_ns;
	return settled_ns > p->first_deal_ns ? settled_ns : p->first_deal_ns;
}

/* True while a write would conflict with one that is not known here yet. */
static bool is_outdated(const struct keyplan *p, const struct mesh_ctx *c,
			const struct dir_keymap *k)
{
	return p->outdated && k && k->revision == p->outdated &&
	       c->now_ns < p->outdated_until_ns;
}

/* Under heavy load an upstream gets keys by what it serves. */
static void weigh_upstreams(struct keyplan_service *sv, struct mesh_ctx *c)
{
	struct key_share_change change;

	if (!c->opts->heavy_load ||
	    c->now_ns < sv->weighed_ns + SHARES_INTERVAL_NS)
		return;
	change = key_share_update(&c->dir, sv->service, c->now_ns);
	if (!change.changed)
		return;
	sv->weighed_ns = c->now_ns;
	if (rank(c))
		return;
	mesh_log(c->out, LOG_INFO,
		 "event=key_shares service=%s upstreams=%u measured=%u "
		 "changed=%u least=%.2f most=%.2f",
		 sv->service, change.upstreams, change.measured, change.changed,
		 (double)change.least / KEY_SHARE_UNIT,
		 (double)change.most / KEY_SHARE_UNIT);
}

static void plan_service(struct keyplan *p, struct mesh_ctx *c,
			 const struct session *s, const char *service)
{
	const struct dir_keymap *k = directory_keymap(&c->dir, service);
	struct keyplan_service *sv = service_for(p, c, service);
	struct list candidates;

	list_init(&candidates);
	weigh_upstreams(sv, c);
	directory_candidates(&c->dir, service, c->now_ns, &candidates);
	note_candidates(sv, c, &candidates);
	if (list_empty(&candidates) || is_outdated(p, c, k)) {
		/* No upstream could own the keys, or a newer keymap comes. */
	} else if (!k) {
		if (c->now_ns >= first_deal_at_ns(p, sv) + turn_delay_ns(c))
			deal(p, c, service, &candidates);
	} else if (!directory_keymap_current(&c->dir, k)) {
		if (c->now_ns >= c->dir.era_settled_ns + turn_delay_ns(c))
			restore_map(p, c, k);
	} else {
		note_spread(sv, c, &candidates);
		if (!adopt(p, c, s, k, &candidates))
			balance(p, sv, c, k, &candidates);
	}
	candidates_delete(&candidates);
}

/* True if no record changed since the last call and no card is missing. */
static bool is_calm(struct keyplan *p, const struct mesh_ctx *c)
{
	bool changed = p->seen_apply_count != c->dir.apply_count;
	const struct dir_node *n;

	p->seen_apply_count = c->dir.apply_count;
	list_for_each_entry(n, &c->dir.nodes, link)
		if (!n->revision)
			return false;
	return !changed;
}

void keyplan_work(struct keyplan *p, struct mesh_ctx *c,
		  const struct session *s)
{
	struct keyplan_service *known;
	const struct service *sv;

	if (p->op || c->now_ns < p->next_ns)
		return;
	if (p->next_ns && c->now_ns > p->next_ns + STALL_NS)
		list_for_each_entry(known, &p->services, link)
			known->candidates_since_ns = c->now_ns;
	p->next_ns = c->now_ns + (is_calm(p, c) ? CHECK_INTERVAL_CALM_NS
						: CHECK_INTERVAL_NS);
	/* Until then a key may be held by a grant that the store forgot. */
	if (!directory_settled(&c->dir, c->now_ns))
		return;
	if (c->store_down || !c->dir.manifest || !session_authority_ns(s))
		return;
	list_for_each_entry(sv, &c->dir.manifest->services, link)
		if (sv->keyed && !p->op)
			plan_service(p, c, s, sv->name);
}

uint64_t keyplan_next_ns(const struct keyplan *p)
{
	return p->op ? UINT64_MAX : p->next_ns;
}
