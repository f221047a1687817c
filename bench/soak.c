/*
 * A random run of a few shipped cores, wired through one bag of undelivered
 * items and a fake store, with one check after each step. The clock is
 * virtual; the same seed gives the same run.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/invariant.h"
#include "core/mem.h"
#include "core/node.h"
#include "core/text.h"
#include "fakes/doc_store.h"
#include "wire/codec.h"

#define SLOTS	     8
#define DCS	     4
#define PLACES	     (DCS + 1) /* the data centres and the store */
#define ROUTES	     2
#define SHARDS	     8
#define STEP_MAX_NS  (2 * NS_PER_MS)
#define ANNOUNCE_NS  NS_PER_S
#define AUTHORITY_NS (4 * NS_PER_S)
#define FAULTS_NS    (45 * NS_PER_S)
#define QUIET_NS     (20 * NS_PER_S)
#define HOLD_MAX_NS  (8 * NS_PER_S)
#define CUT_MAX_NS   (25 * NS_PER_S)

enum item_kind {
	ITEM_MESSAGE, /* between two nodes, as bytes */
	ITEM_CALL,    /* a call on its way to the store */
	ITEM_ANSWER,  /* the store's answer on its way back */
	ITEM_PASS,    /* a request that the gate gave out, not yet written */
	ITEM_PASSED,  /* the upstream's answer */
};

/* Something that has not reached whom it is for. */
struct item {
	struct list link;
	enum item_kind kind;
	int from;	  /* slot */
	int to;		  /* slot, or DCS for the store */
	uint64_t life;	  /* of the process that waits for it */
	uint64_t hold_ns; /* not before */
	union {
		struct wire_buf message;
		struct act_store call;
		struct ev_store answer;
		struct act_upstream_call pass;
		uint64_t passed;
	} u;
};

/* A store call that the process waits for. */
struct pending {
	struct list link;
	uint64_t op;
	uint64_t deadline_ns; /* on the process's clock */
};

/* One process; its slot outlives it. */
struct proc {
	struct node *node; /* NULL: not running */
	uint64_t life;
	uint64_t started_ns;
	uint64_t base_ns;
	int64_t drift_ppm;
	uint64_t paused_until_ns;
	uint64_t restart_ns;
	uint64_t announce_ns;
	uint64_t tick_ns; /* on its own clock */
	uint64_t instance;
	bool exited;
	struct list pending; /* of struct pending */
};

struct shard_record {
	epoch_t stored;
	incarnation_t owner;
	epoch_t acked; /* the newest that a node saw acknowledged */
	epoch_t passed;
};

struct soak {
	uint64_t seed;
	uint64_t step;
	uint64_t now_ns;
	struct rng rng;
	struct proc procs[SLOTS];
	struct doc_store store;
	struct list bag; /* of struct item */
	uint32_t bag_count;
	uint64_t cut_until_ns[PLACES][PLACES];
	uint64_t store_down_until_ns;
	uint64_t phase_end_ns;
	uint32_t fault_one_in; /* steps */
	uint32_t drop_one_in;  /* items */
	uint32_t hold_one_in;
	bool quiet;
	bool verbose;
	uint64_t next_life;
	uint64_t next_caller;
	struct shard_record shards[ROUTES][SHARDS];
	uint64_t moves;
	uint64_t losses;
	uint64_t passes;
	uint64_t refused_writes;
	uint64_t quiets;
	uint64_t unserved;   /* shards at the end of quiet phases */
	uint64_t violations; /* of safety: the run stops at the first */
};

static const char *const route_names[ROUTES] = {"orders", "local"};
static const char *const dc_names[DCS] = {"a1", "b1", "a2", "b2"};
static const char *const region_names[DCS] = {"a", "b", "a", "b"};

static bool chance(struct soak *s, uint32_t one_in)
{
	return rng_below(&s->rng, one_in) == 0;
}

static int dc_of(int slot)
{
	return slot % DCS;
}

static uint64_t own_clock(const struct soak *s, const struct proc *p)
{
	int64_t gone = (int64_t)(s->now_ns - p->started_ns);

	return p->base_ns + (uint64_t)(gone + gone / 1000000 * p->drift_ppm);
}

static bool runs(const struct soak *s, const struct proc *p)
{
	return p->node && s->now_ns >= p->paused_until_ns;
}

static void violation(struct soak *s, const char *what, int route, int shard)
{
	s->violations++;
	printf("violation: seed=%lu step=%lu now_ms=%lu what=%s route=%s "
	       "shard=%d\n",
	       (unsigned long)s->seed, (unsigned long)s->step,
	       (unsigned long)(s->now_ns / NS_PER_MS), what, route_names[route],
	       shard);
}

static int route_index(const char *name)
{
	for (int i = 0; i < ROUTES; i++)
		if (!strcmp(route_names[i], name))
			return i;
	return 0;
}

/* --- the bag ---------------------------------------------------------- */

static struct item *bag_add(struct soak *s, enum item_kind kind, int from,
			    int to)
{
	struct item *it = mem_new(struct item);

	it->kind = kind;
	it->from = from;
	it->to = to;
	if (from < SLOTS)
		it->life = s->procs[from].life;
	if (!s->quiet && chance(s, s->hold_one_in))
		it->hold_ns = s->now_ns + rng_below(&s->rng, HOLD_MAX_NS);
	list_push_back(&s->bag, &it->link);
	s->bag_count++;
	return it;
}

static void item_delete(struct soak *s, struct item *it)
{
	switch (it->kind) {
	case ITEM_MESSAGE:
		free(it->u.message.data);
		break;
	case ITEM_CALL:
		doc_delete(it->u.call.doc);
		break;
	case ITEM_ANSWER:
		docs_delete(&it->u.answer.docs);
		break;
	case ITEM_PASS:
		http_request_unref(it->u.pass.request);
		break;
	case ITEM_PASSED:
		break;
	}
	list_remove(&it->link);
	s->bag_count--;
	free(it);
}

static bool ready(const struct soak *s, const struct item *it)
{
	if (s->now_ns < it->hold_ns)
		return false;
	if (it->kind == ITEM_CALL) {
		if (it->u.call.kind != STORE_WATCH || !it->u.call.revision)
			return true;
		return s->now_ns >= it->u.call.deadline_ns ||
		       doc_store_changed(&s->store, it->u.call.revision);
	}
	return !s->procs[it->to].node || runs(s, &s->procs[it->to]);
}

static struct item *bag_pick(struct soak *s)
{
	uint64_t skip = rng_below(&s->rng, s->bag_count);
	struct list *l = s->bag.next;

	while (skip--)
		l = l->next;
	for (uint32_t i = 0; i <= s->bag_count; i++, l = l->next) {
		if (l == &s->bag)
			continue;
		if (ready(s, list_entry(l, struct item, link)))
			return list_entry(l, struct item, link);
	}
	return NULL;
}

/* --- what nodes ask for ----------------------------------------------- */

static int slot_at(const char *addr)
{
	return (int)strtol(addr, NULL, 10);
}

static void on_send(struct soak *s, int slot, struct act_send *a)
{
	int copies = !s->quiet && chance(s, 40) ? 2 : 1;

	for (int i = 0; i < copies; i++) {
		struct item *it =
			bag_add(s, ITEM_MESSAGE, slot, slot_at(a->addr));

		wire_encode_message(a->message, &it->u.message);
	}
}

static void on_store_call(struct soak *s, int slot, struct act_store *a)
{
	struct proc *p = &s->procs[slot];
	struct pending *pe = mem_new(struct pending);
	struct item *it = bag_add(s, ITEM_CALL, slot, DCS);
	uint64_t left = a->deadline_ns - own_clock(s, p);

	pe->op = a->op;
	pe->deadline_ns = a->deadline_ns;
	list_push_back(&p->pending, &pe->link);
	it->u.call = *a;
	it->u.call.deadline_ns = s->now_ns + left / 2;
	a->doc = NULL;
}

static void act(struct soak *s, int slot, struct action *a)
{
	struct item *it;

	switch (a->kind) {
	case ACT_SEND:
		on_send(s, slot, &a->u.send);
		break;
	case ACT_STORE:
		on_store_call(s, slot, &a->u.store);
		break;
	case ACT_UPSTREAM_CALL:
		it = bag_add(s, ITEM_PASS, slot, slot);
		it->u.pass = a->u.call;
		a->u.call.request = NULL;
		break;
	case ACT_LOG:
		if (s->verbose)
			printf("%lu node=%d %s\n",
			       (unsigned long)(s->now_ns / NS_PER_MS), slot,
			       a->u.log.line);
		break;
	case ACT_EXIT:
		s->procs[slot].exited = true;
		break;
	case ACT_REPLY:
	case ACT_GRANT:
	case ACT_UPSTREAM_CANCEL:
		break;
	}
}

static void proc_end(struct soak *s, struct proc *p)
{
	struct pending *pe, *tmp;

	list_for_each_entry_safe(pe, tmp, &p->pending, link) {
		list_remove(&pe->link);
		free(pe);
	}
	node_delete(p->node);
	p->node = NULL;
	p->exited = false;
	p->life = 0;
	p->restart_ns = s->now_ns + rng_below(&s->rng, 5 * NS_PER_S);
}

static void handle(struct soak *s, int slot, struct event *ev)
{
	struct proc *p = &s->procs[slot];
	struct actions out;
	struct action *a;

	actions_init(&out);
	ev->now_ns = own_clock(s, p);
	node_handle(p->node, ev, &out);
	while ((a = actions_pop(&out))) {
		act(s, slot, a);
		action_delete(a);
	}
	p->tick_ns = node_next_ns(p->node);
	if (p->exited)
		proc_end(s, p);
}

/* --- processes -------------------------------------------------------- */

static void announce(struct soak *s, int slot)
{
	struct event ev = {.kind = EV_ANNOUNCEMENT};

	mem_copy_str(ev.u.announce.service, "book",
		     sizeof(ev.u.announce.service));
	mem_copy_str(ev.u.announce.addr, "upstream",
		     sizeof(ev.u.announce.addr));
	ev.u.announce.instance = s->procs[slot].instance;
	ev.u.announce.slots = 2;
	ev.u.announce.connections = 4;
	s->procs[slot].announce_ns = s->now_ns + ANNOUNCE_NS;
	handle(s, slot, &ev);
}

static void proc_start(struct soak *s, int slot)
{
	struct proc *p = &s->procs[slot];
	struct node_opts o = {.timing = timing_default};

	o.timing.authority_ns = AUTHORITY_NS;
	o.seed = rng_next(&s->rng);
	text_format(o.name, sizeof(o.name), "n%d", slot);
	mem_copy_str(o.dc, dc_names[dc_of(slot)], sizeof(o.dc));
	mem_copy_str(o.region, region_names[dc_of(slot)], sizeof(o.region));
	text_format(o.peer_addr, sizeof(o.peer_addr), "%d", slot);
	text_format(o.http_addr, sizeof(o.http_addr), "%d", slot);
	p->started_ns = s->now_ns;
	p->base_ns = NS_PER_S + rng_below(&s->rng, 1000 * NS_PER_S);
	p->drift_ppm = (int64_t)rng_below(&s->rng, o.timing.drift_ppm + 1) -
		       (int64_t)(o.timing.drift_ppm / 2);
	p->life = ++s->next_life;
	p->instance = rng_next(&s->rng);
	p->paused_until_ns = 0;
	p->node = node_new(&o);
	announce(s, slot);
}

static bool take_pending(struct proc *p, uint64_t op)
{
	struct pending *pe;

	list_for_each_entry(pe, &p->pending, link) {
		if (pe->op != op)
			continue;
		list_remove(&pe->link);
		free(pe);
		return true;
	}
	return false;
}

/* Ends the first call that is past its deadline. */
static bool time_out(struct soak *s, int slot)
{
	struct proc *p = &s->procs[slot];
	struct event ev = {.kind = EV_STORE};
	struct pending *pe;

	list_for_each_entry(pe, &p->pending, link) {
		if (own_clock(s, p) < pe->deadline_ns)
			continue;
		ev.u.store.op = pe->op;
		ev.u.store.status = STATUS_UNKNOWN;
		list_init(&ev.u.store.docs);
		take_pending(p, pe->op);
		handle(s, slot, &ev);
		return true;
	}
	return false;
}

static void run_timers(struct soak *s, int slot)
{
	struct proc *p = &s->procs[slot];
	struct event ev = {.kind = EV_TICK};

	if (!p->node && s->now_ns >= p->restart_ns)
		proc_start(s, slot);
	if (!runs(s, p))
		return;
	while (p->node && time_out(s, slot))
		;
	if (p->node && s->now_ns >= p->announce_ns)
		announce(s, slot);
	if (p->node && own_clock(s, p) >= p->tick_ns)
		handle(s, slot, &ev);
}

/* --- deliveries ------------------------------------------------------- */

static bool is_cut(const struct soak *s, int a, int b)
{
	return s->now_ns < s->cut_until_ns[a][b];
}

/* The store's maps only ever rise; counts the moves. */
static void check_written(struct soak *s, const struct shard_map *map)
{
	int r = route_index(map->route);

	for (uint32_t i = 0; i < map->count; i++) {
		const struct shard *sh = &map->shards[i];
		struct shard_record *rec = &s->shards[r][i];

		if (sh->epoch < rec->stored || sh->epoch < rec->acked ||
		    (sh->epoch == rec->stored && sh->owner != rec->owner))
			violation(s, "assignment_lost", r, (int)i);
		s->moves += sh->epoch > rec->stored;
		rec->stored = sh->epoch;
		rec->owner = sh->owner;
	}
}

static void deliver_call(struct soak *s, struct item *it)
{
	bool write = it->u.call.kind == STORE_CAS;
	struct ev_store ev;
	struct item *answer;
	struct doc *d;

	if (s->now_ns < s->store_down_until_ns ||
	    is_cut(s, dc_of(it->from), DCS))
		return;
	doc_store_call(&s->store, &it->u.call, s->now_ns, &ev);
	list_for_each_entry(d, &ev.docs, link)
		if (write && ev.status == STATUS_OK && d->key.kind == DOC_MAP &&
		    d->u.map)
			check_written(s, d->u.map);
	answer = bag_add(s, ITEM_ANSWER, it->from, it->from);
	answer->life = it->life;
	answer->u.answer = ev;
	list_init(&answer->u.answer.docs);
	list_splice_back(&answer->u.answer.docs, &ev.docs);
}

/* What a node learns here is acknowledged: it may never be lost. */
static void note_acked(struct soak *s, const struct ev_store *ev)
{
	const struct doc *d;

	list_for_each_entry(d, &ev->docs, link) {
		const struct shard_map *map = d->u.map;

		if (d->key.kind != DOC_MAP || !map)
			continue;
		for (uint32_t i = 0; i < map->count; i++) {
			struct shard_record *rec =
				&s->shards[route_index(map->route)][i];

			if (rec->acked < map->shards[i].epoch)
				rec->acked = map->shards[i].epoch;
		}
	}
}

static void deliver_answer(struct soak *s, struct item *it)
{
	struct proc *p = &s->procs[it->to];
	struct event ev = {.kind = EV_STORE};

	if (!p->node || p->life != it->life ||
	    !take_pending(p, it->u.answer.op))
		return;
	if (is_cut(s, dc_of(it->to), DCS)) {
		/* Comes to its deadline like a call that was never made. */
		struct pending *pe = mem_new(struct pending);

		pe->op = it->u.answer.op;
		pe->deadline_ns = own_clock(s, p);
		list_push_back(&p->pending, &pe->link);
		return;
	}
	note_acked(s, &it->u.answer);
	ev.u.store = it->u.answer;
	list_init(&ev.u.store.docs);
	list_splice_back(&ev.u.store.docs, &it->u.answer.docs);
	handle(s, it->to, &ev);
}

static void deliver_message(struct soak *s, struct item *it)
{
	struct event ev = {.kind = EV_MESSAGE};
	struct status st;

	if (!s->procs[it->to].node || is_cut(s, dc_of(it->from), dc_of(it->to)))
		return;
	ev.u.message =
		wire_decode_message(it->u.message.data, it->u.message.len, &st);
	if (!ev.u.message)
		abort();
	handle(s, it->to, &ev);
}

/* The write to the upstream: the clock is compared right before it. */
static void deliver_pass(struct soak *s, struct item *it)
{
	const struct fence *f = &it->u.pass.fence;
	struct proc *p = &s->procs[it->to];
	struct event ev = {.kind = EV_UPSTREAM_ANSWER};
	int r = route_index(f->route);

	if (!p->node || p->life != it->life)
		return;
	if (own_clock(s, p) >= it->u.pass.write_before_ns) {
		s->refused_writes++;
		ev.u.upstream_answer.call = it->u.pass.call;
		ev.u.upstream_answer.outcome = OUTCOME_NOT_RUN;
		ev.u.upstream_answer.refusal = REFUSAL_NO_LEASE;
		handle(s, it->to, &ev);
		return;
	}
	s->passes++;
	if (f->epoch < s->shards[r][f->shard].passed)
		violation(s, "old_epoch_passed", r, (int)f->shard);
	s->shards[r][f->shard].passed = f->epoch;
	bag_add(s, ITEM_PASSED, it->to, it->to)->u.passed = it->u.pass.call;
}

static void deliver_passed(struct soak *s, struct item *it)
{
	struct event ev = {.kind = EV_UPSTREAM_ANSWER};

	if (!s->procs[it->to].node || s->procs[it->to].life != it->life)
		return;
	ev.u.upstream_answer.call = it->u.passed;
	ev.u.upstream_answer.outcome = OUTCOME_DONE;
	ev.u.upstream_answer.answer = http_answer_new(200);
	handle(s, it->to, &ev);
}

static void deliver(struct soak *s, struct item *it)
{
	switch (it->kind) {
	case ITEM_MESSAGE:
		deliver_message(s, it);
		break;
	case ITEM_CALL:
		deliver_call(s, it);
		break;
	case ITEM_ANSWER:
		deliver_answer(s, it);
		break;
	case ITEM_PASS:
		deliver_pass(s, it);
		break;
	case ITEM_PASSED:
		deliver_passed(s, it);
		break;
	}
}

static void deliver_one(struct soak *s)
{
	struct item *it = s->bag_count ? bag_pick(s) : NULL;
	bool own;

	if (!it)
		return;
	own = it->kind == ITEM_PASS || it->kind == ITEM_PASSED;
	if (own || s->quiet || !chance(s, s->drop_one_in))
		deliver(s, it);
	item_delete(s, it);
}

/* --- faults and operators --------------------------------------------- */

static uint64_t until(struct soak *s, uint64_t max_ns)
{
	return s->now_ns + rng_below(&s->rng, max_ns);
}

static struct proc *random_proc(struct soak *s)
{
	return &s->procs[rng_below(&s->rng, SLOTS)];
}

static void cut(struct soak *s, int a, int b, uint64_t until_ns)
{
	s->cut_until_ns[a][b] = until_ns;
	s->cut_until_ns[b][a] = until_ns;
}

/* Region b is off; often from the store as well. */
static void cut_region(struct soak *s, uint64_t end_ns)
{
	cut(s, 0, 1, end_ns);
	cut(s, 0, 3, end_ns);
	cut(s, 2, 1, end_ns);
	cut(s, 2, 3, end_ns);
	if (chance(s, 3))
		return;
	cut(s, 1, DCS, end_ns);
	cut(s, 3, DCS, end_ns);
}

static void cut_data_centre(struct soak *s, int dc, uint64_t end_ns)
{
	for (int b = 0; b < PLACES; b++)
		if (b != dc)
			cut(s, dc, b, end_ns);
}

static void fault_cut(struct soak *s)
{
	uint64_t end = until(s, CUT_MAX_NS);
	int a = (int)rng_below(&s->rng, DCS);

	switch (rng_below(&s->rng, 4)) {
	case 0:
		cut(s, a, (int)rng_below(&s->rng, PLACES), end);
		break;
	case 1:
		cut_data_centre(s, a, end);
		break;
	default:
		cut_region(s, end);
		break;
	}
}

static void kill_proc(struct soak *s, struct proc *p)
{
	if (!p->node)
		return;
	s->losses++;
	proc_end(s, p);
}

static void set_dc_state(struct soak *s, int dc, enum dc_state state)
{
	struct doc *d = doc_store_read(&s->store, DOC_MANIFEST, "");
	struct act_store a = {.kind = STORE_CAS, .doc = d};
	struct data_centre *it;
	struct ev_store ev;

	a.key.kind = DOC_MANIFEST;
	a.revision = d->revision;
	list_for_each_entry(it, &d->u.manifest->data_centres, link)
		if (!strcmp(it->name, dc_names[dc]))
			it->state = state;
	doc_store_call(&s->store, &a, s->now_ns, &ev);
	docs_delete(&ev.docs);
	doc_delete(d);
}

static void drain(struct soak *s)
{
	int slot = (int)rng_below(&s->rng, SLOTS);
	struct event ev = {.kind = EV_DRAIN};

	if (runs(s, &s->procs[slot]))
		handle(s, slot, &ev);
}

static void fault(struct soak *s)
{
	struct proc *p = random_proc(s);
	int dc = (int)rng_below(&s->rng, DCS);

	switch (rng_below(&s->rng, 12)) {
	case 0:
	case 1:
	case 2:
		p->paused_until_ns =
			until(s, chance(s, 2) ? 2 * NS_PER_S : 10 * NS_PER_S);
		break;
	case 3:
	case 4:
		kill_proc(s, p);
		break;
	case 5:
		kill_proc(s, &s->procs[dc]);
		kill_proc(s, &s->procs[dc + DCS]);
		break;
	case 6:
	case 7:
		fault_cut(s);
		break;
	case 8:
		s->store_down_until_ns = until(s, 8 * NS_PER_S);
		break;
	case 9:
		store_state_lapse_all(&s->store.state, "d/planner/");
		break;
	case 10:
		set_dc_state(s, dc, (enum dc_state)rng_below(&s->rng, 3));
		break;
	case 11:
		drain(s);
		break;
	}
}

static void heal(struct soak *s)
{
	memset(s->cut_until_ns, 0, sizeof(s->cut_until_ns));
	s->store_down_until_ns = 0;
	for (int i = 0; i < SLOTS; i++)
		s->procs[i].paused_until_ns = 0;
	for (int i = 0; i < DCS; i++)
		set_dc_state(s, i, DC_IN);
}

static void request(struct soak *s)
{
	int slot = (int)rng_below(&s->rng, SLOTS);
	struct event ev = {.kind = EV_REQUEST};
	char text[64];

	if (!runs(s, &s->procs[slot]))
		return;
	text_format(text, sizeof(text), "/%s/k%lu",
		    route_names[rng_below(&s->rng, ROUTES)],
		    (unsigned long)rng_below(&s->rng, 64));
	ev.u.request.caller = ++s->next_caller;
	ev.u.request.request =
		http_request_new(chance(s, 2) ? "GET" : "POST", text);
	handle(s, slot, &ev);
}

/* --- checks ----------------------------------------------------------- */

static epoch_t released(const struct gate *g, const struct shard_map *map,
			uint32_t shard)
{
	const struct gate_route *r;

	list_for_each_entry(r, &g->routes, link)
		if (!strcmp(r->name, map->route) && r->count == map->count)
			return r->shards[shard].released;
	return 0;
}

/* By its own view and clock; a paused one would find the same on waking. */
static bool may_pass(const struct soak *s, const struct proc *p,
		     const struct shard_map *map, uint32_t i)
{
	const struct node *n = p->node;
	const struct shard *sh = &map->shards[i];

	return sh->owner == n->ctx.self &&
	       released(&n->gate, map, i) < sh->epoch &&
	       lease_valid(&n->membership.lease, own_clock(s, p));
}

static int count_owners(const struct soak *s, int route, uint32_t shard)
{
	int owners = 0;

	for (int i = 0; i < SLOTS; i++) {
		const struct proc *p = &s->procs[i];
		const struct shard_map *map;

		if (!p->node)
			continue;
		map = view_map(&p->node->ctx.view, route_names[route]);
		owners += map && may_pass(s, p, map, shard);
	}
	return owners;
}

static void check_owners(struct soak *s)
{
	for (int r = 0; r < ROUTES; r++)
		for (uint32_t i = 0; i < SHARDS; i++)
			if (count_owners(s, r, i) > 1)
				violation(s, "two_owners", r, (int)i);
}

static void print_unserved(struct soak *s, int route, uint32_t shard)
{
	struct doc *d = doc_store_read(&s->store, DOC_MAP, route_names[route]);
	struct shard sh = {0};

	if (d && d->u.map)
		sh = d->u.map->shards[shard];
	printf("unserved: seed=%lu step=%lu now_ms=%lu route=%s shard=%u "
	       "owner=%016lx target=%016lx epoch=%lu\n",
	       (unsigned long)s->seed, (unsigned long)s->step,
	       (unsigned long)(s->now_ns / NS_PER_MS), route_names[route],
	       shard, (unsigned long)sh.owner, (unsigned long)sh.target,
	       (unsigned long)sh.epoch);
	doc_delete(d);
}

/* The rosters as the store has them, to see who should act. */
static void print_rosters(struct soak *s)
{
	for (int i = 0; i < DCS; i++) {
		struct doc *d =
			doc_store_read(&s->store, DOC_ROSTER, dc_names[i]);
		const struct member *m;

		if (d && d->u.roster)
			list_for_each_entry(m, &d->u.roster->members, link)
				printf("roster: dc=%s name=%s inc=%016lx "
				       "state=%d keeper=%016lx term=%lu "
				       "ousted=%016lx\n",
				       dc_names[i], m->name,
				       (unsigned long)m->inc, m->state,
				       (unsigned long)m->keeper,
				       (unsigned long)m->term,
				       (unsigned long)m->former_keeper);
		doc_delete(d);
	}
}

/* Who holds the planner's role, and what each node takes for it. */
static void print_planner(struct soak *s)
{
	struct doc *d = doc_store_read(&s->store, DOC_PLANNER, "");

	if (d)
		printf("planner: store holder=%016lx revision=%lu\n",
		       (unsigned long)d->u.planner.holder,
		       (unsigned long)d->revision);
	doc_delete(d);
	for (int i = 0; i < SLOTS; i++) {
		const struct node *n = s->procs[i].node;

		if (n)
			printf("planner: node=%s self=%016lx view=%016lx "
			       "revision=%lu holder=%d state=%d\n",
			       n->opts.name, (unsigned long)n->ctx.self,
			       (unsigned long)view_planner(&n->ctx.view).holder,
			       (unsigned long)n->ctx.view.revision,
			       n->planner.is_planner, n->membership.state);
	}
}

/* After a quiet phase all shards are served again. */
static void check_served(struct soak *s)
{
	uint64_t before = s->unserved;

	for (int r = 0; r < ROUTES; r++) {
		for (uint32_t i = 0; i < SHARDS; i++) {
			if (count_owners(s, r, i))
				continue;
			s->unserved++;
			print_unserved(s, r, i);
		}
	}
	if (s->unserved > before) {
		print_rosters(s);
		print_planner(s);
	}
}

/* --- the run ---------------------------------------------------------- */

static void write_manifest(struct soak *s)
{
	struct manifest *m = manifest_new();
	struct act_store a = {.kind = STORE_CAS,
			      .doc = doc_new(DOC_MANIFEST, "")};
	struct ev_store ev;

	a.key.kind = DOC_MANIFEST;
	a.doc->u.manifest = m;
	for (int i = 0; i < ROUTES; i++) {
		struct route *r = manifest_add_route(m);

		mem_copy_str(r->name, route_names[i], sizeof(r->name));
		mem_copy_str(r->service, "book", sizeof(r->service));
		text_format(r->path, sizeof(r->path), "/%s/", route_names[i]);
		r->key.source = KEY_PATH;
		r->key.segment = 1;
		r->shards = SHARDS;
		if (i == 0)
			continue;
		r->home_regions.count = 1;
		mem_copy_str(r->home_regions.names[0], "a", JD_NAME_MAX);
	}
	for (int i = 0; i < DCS; i++) {
		struct data_centre *d = manifest_add_data_centre(m);

		mem_copy_str(d->name, dc_names[i], sizeof(d->name));
		mem_copy_str(d->region, region_names[i], sizeof(d->region));
	}
	doc_store_call(&s->store, &a, s->now_ns, &ev);
	docs_delete(&ev.docs);
	doc_delete(a.doc);
}

static void change_phase(struct soak *s)
{
	if (s->now_ns < s->phase_end_ns)
		return;
	if (s->quiet) {
		check_served(s);
		s->quiets++;
	} else {
		heal(s);
	}
	s->quiet = !s->quiet;
	s->phase_end_ns = s->now_ns + (s->quiet ? QUIET_NS : FAULTS_NS);
}

static void step(struct soak *s)
{
	s->now_ns += rng_below(&s->rng, STEP_MAX_NS);
	change_phase(s);
	if (!s->quiet && chance(s, s->fault_one_in))
		fault(s);
	if (chance(s, 20))
		request(s);
	deliver_one(s);
	deliver_one(s);
	run_timers(s, (int)rng_below(&s->rng, SLOTS));
	check_owners(s);
}

static void soak_init(struct soak *s)
{
	rng_init(&s->rng, s->seed);
	s->fault_one_in = 250u << rng_below(&s->rng, 8);
	s->drop_one_in = 5u << rng_below(&s->rng, 8);
	s->hold_one_in = 10u << rng_below(&s->rng, 8);
	s->now_ns = NS_PER_S;
	s->quiet = true;
	s->phase_end_ns = s->now_ns + QUIET_NS;
	list_init(&s->bag);
	doc_store_init(&s->store);
	write_manifest(s);
	for (int i = 0; i < SLOTS; i++) {
		list_init(&s->procs[i].pending);
		s->procs[i].restart_ns = until(s, NS_PER_S);
	}
}

static void soak_done(struct soak *s)
{
	struct item *it, *tmp;

	list_for_each_entry_safe(it, tmp, &s->bag, link)
		item_delete(s, it);
	for (int i = 0; i < SLOTS; i++)
		if (s->procs[i].node)
			proc_end(s, &s->procs[i]);
	doc_store_done(&s->store);
}

static int run(uint64_t seed, uint64_t steps, bool verbose)
{
	struct soak *s = mem_new(struct soak);
	bool ok;

	s->seed = seed;
	s->verbose = verbose;
	soak_init(s);
	for (s->step = 0; s->step < steps && !s->violations; s->step++)
		step(s);
	printf("soak: detail virtual_s=%lu quiets=%lu unserved=%lu passes=%lu "
	       "refused_writes=%lu store_reads=%lu store_writes=%lu\n",
	       (unsigned long)(s->now_ns / NS_PER_S), (unsigned long)s->quiets,
	       (unsigned long)s->unserved, (unsigned long)s->passes,
	       (unsigned long)s->refused_writes,
	       (unsigned long)s->store.state.reads,
	       (unsigned long)s->store.state.writes);
	printf("soak: seed=%lu steps=%lu moves=%lu losses=%lu "
	       "violations=%lu\n",
	       (unsigned long)seed, (unsigned long)s->step,
	       (unsigned long)s->moves, (unsigned long)s->losses,
	       (unsigned long)(s->violations + s->unserved));
	ok = !s->violations && !s->unserved;
	soak_done(s);
	free(s);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

static void sink(const char *line)
{
	printf("violation: %s\n", line);
	fflush(stdout);
}

int main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "of the run");
	struct arg_int *steps = arg_int0(NULL, "steps", "N", "how many");
	struct arg_lit *verbose = arg_lit0("v", "verbose", "print the log");
	struct arg_end *end = arg_end(4);
	void *table[] = {seed, steps, verbose, end};
	int code = EXIT_FAILURE;

	invariant_set_sink(sink);
	if (arg_parse(argc, argv, table))
		arg_print_errors(stderr, end, "bench-soak");
	else
		code = run((uint64_t)(seed->count ? seed->ival[0] : 1),
			   (uint64_t)(steps->count ? steps->ival[0] : 200000),
			   verbose->count > 0);
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return code;
}
