/*
 * Soak test: the production core of several nodes with a fake store and
 * random faults, in virtual time. Messages, calls and answers in transit are
 * kept in one list and delivered in random order. Each step checks that no
 * shard has two owners; each quiet phase ends with a check that all shards are
 * served. The same seed gives the same run.
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

#define SLOTS		 8
#define DCS		 4
#define STORE_SITE	 DCS
#define SITES		 (DCS + 1) /* the data centres and the store */
#define ROUTES		 2
#define SHARDS		 8
#define STEP_MAX_NS	 (2 * NS_PER_MS)
#define ANNOUNCE_NS	 NS_PER_S
#define AUTHORITY_NS	 (4 * NS_PER_S)
#define FAULT_PHASE_NS	 (45 * NS_PER_S)
#define QUIET_PHASE_NS	 (20 * NS_PER_S)
#define DELAY_MAX_NS	 (8 * NS_PER_S)
#define PARTITION_MAX_NS (25 * NS_PER_S)
#define DUPLICATE_ONE_IN 40 /* messages */
#define REQUEST_ONE_IN	 20 /* steps */

enum item_kind {
	ITEM_MESSAGE,	      /* between two nodes, as bytes */
	ITEM_STORE_CALL,      /* a call on its way to the store */
	ITEM_STORE_ANSWER,    /* the store's answer on its way back */
	ITEM_UPSTREAM_CALL,   /* to the node's own upstream, not yet written */
	ITEM_UPSTREAM_ANSWER, /* the upstream's answer */
};

/* Something in transit. */
struct item {
	struct list link;
	enum item_kind kind;
	int from;		/* slot */
	int to;			/* slot, or STORE_SITE */
	uint64_t process_id;	/* of the process that sent or awaits it */
	uint64_t not_before_ns; /* not delivered earlier */
	union {
		struct wire_buf message;
		struct act_store store_call;
		struct ev_store store_answer;
		struct act_upstream_call upstream_call;
		uint64_t answered_call; /* id of the upstream call */
	} u;
};

/* A store call whose end the process has not seen yet. */
struct pending_call {
	struct list link;
	uint64_t op;
	uint64_t deadline_ns; /* on the process's clock */
};

/* A slot for a process, which is started again after it has ended. */
struct proc {
	struct node *node;	 /* NULL: not running */
	uint64_t process_id;	 /* new at each start; 0 while not running */
	uint64_t started_ns;	 /* on the soak's clock */
	uint64_t clock_start_ns; /* what its own clock showed at the start */
	int64_t drift_ppm;
	uint64_t paused_until_ns;
	uint64_t restart_ns;
	uint64_t announce_ns;
	uint64_t tick_ns; /* on its own clock */
	uint64_t instance;
	bool exited;		   /* the core has asked to end the process */
	struct list pending_calls; /* of struct pending_call */
};

/* A shard as the checks have seen it. */
struct shard_record {
	epoch_t stored_epoch;  /* in the store */
	incarnation_t owner;   /* under this epoch */
	epoch_t acked_epoch;   /* the highest that any node has read */
	epoch_t written_epoch; /* of the last call written to an upstream */
};

struct soak {
	uint64_t seed;
	uint64_t step;
	uint64_t now_ns;
	struct rng rng;
	struct proc procs[SLOTS];
	struct doc_store store;
	struct list in_transit; /* of struct item */
	uint32_t in_transit_count;
	uint64_t partition_end_ns[SITES][SITES];
	uint64_t store_down_until_ns;
	uint64_t phase_end_ns;
	uint32_t fault_one_in; /* steps on average */
	uint32_t drop_one_in;  /* items on average */
	uint32_t delay_one_in; /* items on average */
	bool quiet;	       /* this phase has no faults */
	bool verbose;
	uint64_t next_process_id;
	uint64_t next_caller;
	struct shard_record shards[ROUTES][SHARDS];
	uint64_t moves;		 /* epochs raised in the store */
	uint64_t kills;		 /* processes killed */
	uint64_t upstream_calls; /* calls written to an upstream */
	uint64_t refused_writes; /* calls not written: the lease had ended */
	uint64_t quiet_phases;	 /* quiet phases completed */
	uint64_t unserved;	 /* shards at the end of quiet phases */
	uint64_t violations;	 /* of safety: the run stops at the first */
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

static uint64_t own_now_ns(const struct soak *s, const struct proc *p)
{
	int64_t elapsed = (int64_t)(s->now_ns - p->started_ns);

	return p->clock_start_ns +
	       (uint64_t)(elapsed + elapsed / 1000000 * p->drift_ppm);
}

static bool is_running(const struct soak *s, const struct proc *p)
{
	return p->node && s->now_ns >= p->paused_until_ns;
}

static void report_violation(struct soak *s, const char *what, int route,
			     int shard)
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

/* --- items in transit ------------------------------------------------- */

static struct item *transit_add(struct soak *s, enum item_kind kind, int from,
				int to)
{
	struct item *it = mem_new(struct item);

	it->kind = kind;
	it->from = from;
	it->to = to;
	if (from < SLOTS)
		it->process_id = s->procs[from].process_id;
	if (!s->quiet && chance(s, s->delay_one_in))
		it->not_before_ns =
			s->now_ns + rng_below(&s->rng, DELAY_MAX_NS);
	list_push_back(&s->in_transit, &it->link);
	s->in_transit_count++;
	return it;
}

static void item_delete(struct soak *s, struct item *it)
{
	switch (it->kind) {
	case ITEM_MESSAGE:
		free(it->u.message.data);
		break;
	case ITEM_STORE_CALL:
		doc_delete(it->u.store_call.doc);
		break;
	case ITEM_STORE_ANSWER:
		docs_delete(&it->u.store_answer.docs);
		break;
	case ITEM_UPSTREAM_CALL:
		http_request_unref(it->u.upstream_call.request);
		break;
	case ITEM_UPSTREAM_ANSWER:
		break;
	}
	list_remove(&it->link);
	s->in_transit_count--;
	free(it);
}

/*
 * True when the item may be delivered now: a watch only ends on a change or at
 * its deadline, and a paused process gets nothing.
 */
static bool is_deliverable(const struct soak *s, const struct item *it)
{
	if (s->now_ns < it->not_before_ns)
		return false;
	if (it->kind == ITEM_STORE_CALL) {
		if (it->u.store_call.kind != STORE_WATCH ||
		    !it->u.store_call.revision)
			return true;
		return s->now_ns >= it->u.store_call.deadline_ns ||
		       doc_store_has_changes(&s->store,
					     it->u.store_call.revision);
	}
	return !s->procs[it->to].node || is_running(s, &s->procs[it->to]);
}

/* The first deliverable item from a random position on; NULL for none. */
static struct item *transit_pick(struct soak *s)
{
	uint64_t skip = rng_below(&s->rng, s->in_transit_count);
	struct list *l = s->in_transit.next;

	while (skip--)
		l = l->next;
	for (uint32_t i = 0; i <= s->in_transit_count; i++, l = l->next) {
		if (l == &s->in_transit)
			continue;
		if (is_deliverable(s, list_entry(l, struct item, link)))
			return list_entry(l, struct item, link);
	}
	return NULL;
}

/* --- actions of nodes -------------------------------------------------- */

static int slot_at(const char *addr)
{
	return (int)strtol(addr, NULL, 10);
}

static void on_send(struct soak *s, int slot, struct act_send *a)
{
	int copies = !s->quiet && chance(s, DUPLICATE_ONE_IN) ? 2 : 1;

	for (int i = 0; i < copies; i++) {
		struct item *it =
			transit_add(s, ITEM_MESSAGE, slot, slot_at(a->addr));

		wire_encode_message(a->message, &it->u.message);
	}
}

static void on_store_call(struct soak *s, int slot, struct act_store *a)
{
	struct proc *p = &s->procs[slot];
	struct pending_call *pc = mem_new(struct pending_call);
	struct item *it = transit_add(s, ITEM_STORE_CALL, slot, STORE_SITE);
	uint64_t left = a->deadline_ns - own_now_ns(s, p);

	pc->op = a->op;
	pc->deadline_ns = a->deadline_ns;
	list_push_back(&p->pending_calls, &pc->link);
	it->u.store_call = *a;
	/* The store ends a watch early enough for its answer to arrive. */
	it->u.store_call.deadline_ns = s->now_ns + left / 2;
	a->doc = NULL;
}

static void carry_out(struct soak *s, int slot, struct action *a)
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
		it = transit_add(s, ITEM_UPSTREAM_CALL, slot, slot);
		it->u.upstream_call = a->u.call;
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
	struct pending_call *pc, *tmp;

	list_for_each_entry_safe(pc, tmp, &p->pending_calls, link) {
		list_remove(&pc->link);
		free(pc);
	}
	node_delete(p->node);
	p->node = NULL;
	p->exited = false;
	p->process_id = 0;
	p->restart_ns = s->now_ns + rng_below(&s->rng, 5 * NS_PER_S);
}

static void proc_handle(struct soak *s, int slot, struct event *ev)
{
	struct proc *p = &s->procs[slot];
	struct actions out;
	struct action *a;

	actions_init(&out);
	ev->now_ns = own_now_ns(s, p);
	node_handle(p->node, ev, &out);
	while ((a = actions_pop(&out))) {
		carry_out(s, slot, a);
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
	proc_handle(s, slot, &ev);
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
	p->clock_start_ns = NS_PER_S + rng_below(&s->rng, 1000 * NS_PER_S);
	p->drift_ppm = (int64_t)rng_below(&s->rng, o.timing.drift_ppm + 1) -
		       (int64_t)(o.timing.drift_ppm / 2);
	p->process_id = ++s->next_process_id;
	p->instance = rng_next(&s->rng);
	p->paused_until_ns = 0;
	p->node = node_new(&o);
	announce(s, slot);
}

static bool remove_pending_call(struct proc *p, uint64_t op)
{
	struct pending_call *pc;

	list_for_each_entry(pc, &p->pending_calls, link) {
		if (pc->op != op)
			continue;
		list_remove(&pc->link);
		free(pc);
		return true;
	}
	return false;
}

/* Ends the first call past its deadline as unknown; false: there is none. */
static bool end_overdue_call(struct soak *s, int slot)
{
	struct proc *p = &s->procs[slot];
	struct event ev = {.kind = EV_STORE};
	struct pending_call *pc;

	list_for_each_entry(pc, &p->pending_calls, link) {
		if (own_now_ns(s, p) < pc->deadline_ns)
			continue;
		ev.u.store.op = pc->op;
		ev.u.store.status = STATUS_UNKNOWN;
		list_init(&ev.u.store.docs);
		remove_pending_call(p, pc->op);
		proc_handle(s, slot, &ev);
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
	if (!is_running(s, p))
		return;
	while (p->node && end_overdue_call(s, slot))
		;
	if (p->node && s->now_ns >= p->announce_ns)
		announce(s, slot);
	if (p->node && own_now_ns(s, p) >= p->tick_ns)
		proc_handle(s, slot, &ev);
}

/* --- deliveries ------------------------------------------------------- */

static bool is_partitioned(const struct soak *s, int a, int b)
{
	return s->now_ns < s->partition_end_ns[a][b];
}

/*
 * Checks that a written map lowers no epoch and changes no owner without
 * raising the epoch; counts the moves.
 */
static void check_written(struct soak *s, const struct shard_map *map)
{
	int r = route_index(map->route);

	for (uint32_t i = 0; i < map->count; i++) {
		const struct shard *sh = &map->shards[i];
		struct shard_record *rec = &s->shards[r][i];

		if (sh->epoch < rec->stored_epoch ||
		    sh->epoch < rec->acked_epoch ||
		    (sh->epoch == rec->stored_epoch && sh->owner != rec->owner))
			report_violation(s, "assignment_lost", r, (int)i);
		s->moves += sh->epoch > rec->stored_epoch;
		rec->stored_epoch = sh->epoch;
		rec->owner = sh->owner;
	}
}

static void deliver_store_call(struct soak *s, struct item *it)
{
	bool write = it->u.store_call.kind == STORE_CAS;
	struct ev_store ev;
	struct item *answer;
	struct doc *d;

	if (s->now_ns < s->store_down_until_ns ||
	    is_partitioned(s, dc_of(it->from), STORE_SITE))
		return;
	doc_store_call(&s->store, &it->u.store_call, s->now_ns, &ev);
	list_for_each_entry(d, &ev.docs, link)
		if (write && ev.status == STATUS_OK && d->key.kind == DOC_MAP &&
		    d->u.map)
			check_written(s, d->u.map);
	answer = transit_add(s, ITEM_STORE_ANSWER, it->from, it->from);
	answer->process_id = it->process_id;
	answer->u.store_answer = ev;
	list_init(&answer->u.store_answer.docs);
	list_splice_back(&answer->u.store_answer.docs, &ev.docs);
}

/* Records epochs that a node has read: the store must not go back. */
static void record_acked(struct soak *s, const struct ev_store *ev)
{
	const struct doc *d;

	list_for_each_entry(d, &ev->docs, link) {
		const struct shard_map *map = d->u.map;

		if (d->key.kind != DOC_MAP || !map)
			continue;
		for (uint32_t i = 0; i < map->count; i++) {
			struct shard_record *rec =
				&s->shards[route_index(map->route)][i];

			if (rec->acked_epoch < map->shards[i].epoch)
				rec->acked_epoch = map->shards[i].epoch;
		}
	}
}

static void deliver_store_answer(struct soak *s, struct item *it)
{
	struct proc *p = &s->procs[it->to];
	struct event ev = {.kind = EV_STORE};

	if (!p->node || p->process_id != it->process_id ||
	    !remove_pending_call(p, it->u.store_answer.op))
		return;
	if (is_partitioned(s, dc_of(it->to), STORE_SITE)) {
		/* The answer is lost: the call ends as after its deadline. */
		struct pending_call *pc = mem_new(struct pending_call);

		pc->op = it->u.store_answer.op;
		pc->deadline_ns = own_now_ns(s, p);
		list_push_back(&p->pending_calls, &pc->link);
		return;
	}
	record_acked(s, &it->u.store_answer);
	ev.u.store = it->u.store_answer;
	list_init(&ev.u.store.docs);
	list_splice_back(&ev.u.store.docs, &it->u.store_answer.docs);
	proc_handle(s, it->to, &ev);
}

static void deliver_message(struct soak *s, struct item *it)
{
	struct event ev = {.kind = EV_MESSAGE};
	struct status st;

	if (!s->procs[it->to].node ||
	    is_partitioned(s, dc_of(it->from), dc_of(it->to)))
		return;
	ev.u.message =
		wire_decode_message(it->u.message.data, it->u.message.len, &st);
	if (!ev.u.message)
		abort();
	proc_handle(s, it->to, &ev);
}

/*
 * Writes a call to the upstream. As in production, the clock is compared with
 * the end of the lease right before the write.
 */
static void deliver_upstream_call(struct soak *s, struct item *it)
{
	const struct fence *f = &it->u.upstream_call.fence;
	struct proc *p = &s->procs[it->to];
	struct event ev = {.kind = EV_UPSTREAM_ANSWER};
	int r = route_index(f->route);

	if (!p->node || p->process_id != it->process_id)
		return;
	if (own_now_ns(s, p) >= it->u.upstream_call.write_before_ns) {
		s->refused_writes++;
		ev.u.upstream_answer.call = it->u.upstream_call.call;
		ev.u.upstream_answer.outcome = OUTCOME_NOT_RUN;
		ev.u.upstream_answer.refusal = REFUSAL_NO_LEASE;
		proc_handle(s, it->to, &ev);
		return;
	}
	s->upstream_calls++;
	if (f->epoch < s->shards[r][f->shard].written_epoch)
		report_violation(s, "old_epoch_passed", r, (int)f->shard);
	s->shards[r][f->shard].written_epoch = f->epoch;
	transit_add(s, ITEM_UPSTREAM_ANSWER, it->to, it->to)->u.answered_call =
		it->u.upstream_call.call;
}

static void deliver_upstream_answer(struct soak *s, struct item *it)
{
	struct event ev = {.kind = EV_UPSTREAM_ANSWER};

	if (!s->procs[it->to].node ||
	    s->procs[it->to].process_id != it->process_id)
		return;
	ev.u.upstream_answer.call = it->u.answered_call;
	ev.u.upstream_answer.outcome = OUTCOME_DONE;
	ev.u.upstream_answer.answer = http_answer_new(200);
	proc_handle(s, it->to, &ev);
}

static void deliver(struct soak *s, struct item *it)
{
	switch (it->kind) {
	case ITEM_MESSAGE:
		deliver_message(s, it);
		break;
	case ITEM_STORE_CALL:
		deliver_store_call(s, it);
		break;
	case ITEM_STORE_ANSWER:
		deliver_store_answer(s, it);
		break;
	case ITEM_UPSTREAM_CALL:
		deliver_upstream_call(s, it);
		break;
	case ITEM_UPSTREAM_ANSWER:
		deliver_upstream_answer(s, it);
		break;
	}
}

/*
 * Delivers or drops one item. Items between a node and its own upstream are
 * never dropped.
 */
static void deliver_one(struct soak *s)
{
	struct item *it = s->in_transit_count ? transit_pick(s) : NULL;
	bool to_own_upstream;

	if (!it)
		return;
	to_own_upstream = it->kind == ITEM_UPSTREAM_CALL ||
			  it->kind == ITEM_UPSTREAM_ANSWER;
	if (to_own_upstream || s->quiet || !chance(s, s->drop_one_in))
		deliver(s, it);
	item_delete(s, it);
}

/* --- faults, operator actions, requests ------------------------------- */

/* A random time within @max_ns from now. */
static uint64_t random_time_within(struct soak *s, uint64_t max_ns)
{
	return s->now_ns + rng_below(&s->rng, max_ns);
}

static struct proc *random_proc(struct soak *s)
{
	return &s->procs[rng_below(&s->rng, SLOTS)];
}

static void partition(struct soak *s, int a, int b, uint64_t until_ns)
{
	s->partition_end_ns[a][b] = until_ns;
	s->partition_end_ns[b][a] = until_ns;
}

/* Separates region b from a, in two cases of three from the store too. */
static void partition_region(struct soak *s, uint64_t end_ns)
{
	partition(s, 0, 1, end_ns);
	partition(s, 0, 3, end_ns);
	partition(s, 2, 1, end_ns);
	partition(s, 2, 3, end_ns);
	if (chance(s, 3))
		return;
	partition(s, 1, STORE_SITE, end_ns);
	partition(s, 3, STORE_SITE, end_ns);
}

static void partition_data_centre(struct soak *s, int dc, uint64_t end_ns)
{
	for (int b = 0; b < SITES; b++)
		if (b != dc)
			partition(s, dc, b, end_ns);
}

static void fault_partition(struct soak *s)
{
	uint64_t end = random_time_within(s, PARTITION_MAX_NS);
	int a = (int)rng_below(&s->rng, DCS);

	switch (rng_below(&s->rng, 4)) {
	case 0:
		partition(s, a, (int)rng_below(&s->rng, SITES), end);
		break;
	case 1:
		partition_data_centre(s, a, end);
		break;
	default:
		partition_region(s, end);
		break;
	}
}

static void kill_proc(struct soak *s, struct proc *p)
{
	if (!p->node)
		return;
	s->kills++;
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

static void drain_random_node(struct soak *s)
{
	int slot = (int)rng_below(&s->rng, SLOTS);
	struct event ev = {.kind = EV_DRAIN};

	if (is_running(s, &s->procs[slot]))
		proc_handle(s, slot, &ev);
}

static void inject_fault(struct soak *s)
{
	struct proc *p = random_proc(s);
	int dc = (int)rng_below(&s->rng, DCS);

	switch (rng_below(&s->rng, 12)) {
	case 0:
	case 1:
	case 2:
		p->paused_until_ns = random_time_within(
			s, chance(s, 2) ? 2 * NS_PER_S : 10 * NS_PER_S);
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
		fault_partition(s);
		break;
	case 8:
		s->store_down_until_ns = random_time_within(s, 8 * NS_PER_S);
		break;
	case 9:
		store_state_lapse_all(&s->store.state, "d/planner/");
		break;
	case 10:
		set_dc_state(s, dc, (enum dc_state)rng_below(&s->rng, 3));
		break;
	case 11:
		drain_random_node(s);
		break;
	}
}

static void end_faults(struct soak *s)
{
	memset(s->partition_end_ns, 0, sizeof(s->partition_end_ns));
	s->store_down_until_ns = 0;
	for (int i = 0; i < SLOTS; i++)
		s->procs[i].paused_until_ns = 0;
	for (int i = 0; i < DCS; i++)
		set_dc_state(s, i, DC_IN);
}

static void send_request(struct soak *s)
{
	int slot = (int)rng_below(&s->rng, SLOTS);
	struct event ev = {.kind = EV_REQUEST};
	char text[64];

	if (!is_running(s, &s->procs[slot]))
		return;
	text_format(text, sizeof(text), "/%s/k%lu",
		    route_names[rng_below(&s->rng, ROUTES)],
		    (unsigned long)rng_below(&s->rng, 64));
	ev.u.request.caller = ++s->next_caller;
	ev.u.request.request =
		http_request_new(chance(s, 2) ? "GET" : "POST", text);
	proc_handle(s, slot, &ev);
}

/* --- checks ----------------------------------------------------------- */

/* The epoch that the gate has released for the shard; 0 for none. */
static epoch_t released_epoch(const struct gate *g, const struct shard_map *map,
			      uint32_t shard)
{
	const struct gate_route *r;

	list_for_each_entry(r, &g->routes, link)
		if (!strcmp(r->name, map->route) && r->count == map->count)
			return r->shards[shard].released;
	return 0;
}

/*
 * True when the node may pass on requests for the shard, by its own view and
 * clock. A paused process counts too: it goes on with the same view.
 */
static bool may_serve(const struct soak *s, const struct proc *p,
		      const struct shard_map *map, uint32_t i)
{
	const struct node *n = p->node;
	const struct shard *sh = &map->shards[i];

	return sh->owner == n->ctx.self &&
	       released_epoch(&n->gate, map, i) < sh->epoch &&
	       lease_valid(&n->membership.lease, own_now_ns(s, p));
}

/* Counts the processes that may serve the shard. */
static int count_owners(const struct soak *s, int route, uint32_t shard)
{
	int owners = 0;

	for (int i = 0; i < SLOTS; i++) {
		const struct proc *p = &s->procs[i];
		const struct shard_map *map;

		if (!p->node)
			continue;
		map = view_map(&p->node->ctx.view, route_names[route]);
		owners += map && may_serve(s, p, map, shard);
	}
	return owners;
}

static void check_owners(struct soak *s)
{
	for (int r = 0; r < ROUTES; r++)
		for (uint32_t i = 0; i < SHARDS; i++)
			if (count_owners(s, r, i) > 1)
				report_violation(s, "two_owners", r, (int)i);
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

/* Prints the rosters in the store, to explain an unserved shard. */
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

/* Prints the holder of the planner's role by the store and by each node. */
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

/* Checks after a quiet phase that all shards are served. */
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
		char path[JD_NAME_MAX];

		mem_copy_str(r->name, route_names[i], sizeof(r->name));
		mem_copy_str(r->service, "book", sizeof(r->service));
		text_format(path, sizeof(path), "/%s/", route_names[i]);
		route_set_path(r, path);
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
		s->quiet_phases++;
	} else {
		end_faults(s);
	}
	s->quiet = !s->quiet;
	s->phase_end_ns =
		s->now_ns + (s->quiet ? QUIET_PHASE_NS : FAULT_PHASE_NS);
}

static void step(struct soak *s)
{
	s->now_ns += rng_below(&s->rng, STEP_MAX_NS);
	change_phase(s);
	if (!s->quiet && chance(s, s->fault_one_in))
		inject_fault(s);
	if (chance(s, REQUEST_ONE_IN))
		send_request(s);
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
	s->delay_one_in = 10u << rng_below(&s->rng, 8);
	s->now_ns = NS_PER_S;
	s->quiet = true;
	s->phase_end_ns = s->now_ns + QUIET_PHASE_NS;
	list_init(&s->in_transit);
	doc_store_init(&s->store);
	write_manifest(s);
	for (int i = 0; i < SLOTS; i++) {
		list_init(&s->procs[i].pending_calls);
		s->procs[i].restart_ns = random_time_within(s, NS_PER_S);
	}
}

static void soak_done(struct soak *s)
{
	struct item *it, *tmp;

	list_for_each_entry_safe(it, tmp, &s->in_transit, link)
		item_delete(s, it);
	for (int i = 0; i < SLOTS; i++)
		if (s->procs[i].node)
			proc_end(s, &s->procs[i]);
	doc_store_done(&s->store);
}

static int run_soak(uint64_t seed, uint64_t steps, bool verbose)
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
	       (unsigned long)(s->now_ns / NS_PER_S),
	       (unsigned long)s->quiet_phases, (unsigned long)s->unserved,
	       (unsigned long)s->upstream_calls,
	       (unsigned long)s->refused_writes,
	       (unsigned long)s->store.state.reads,
	       (unsigned long)s->store.state.writes);
	printf("soak: seed=%lu steps=%lu moves=%lu losses=%lu "
	       "violations=%lu\n",
	       (unsigned long)seed, (unsigned long)s->step,
	       (unsigned long)s->moves, (unsigned long)s->kills,
	       (unsigned long)(s->violations + s->unserved));
	ok = !s->violations && !s->unserved;
	soak_done(s);
	free(s);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

static void print_violation(const char *line)
{
	printf("violation: %s\n", line);
	fflush(stdout);
}

int main(int argc, char **argv)
{
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "of the run (default: 1)");
	struct arg_int *steps =
		arg_int0(NULL, "steps", "N", "of the run (default: 200000)");
	struct arg_lit *verbose =
		arg_lit0("v", "verbose", "print the nodes' logs");
	struct arg_end *end = arg_end(4);
	void *table[] = {seed, steps, verbose, end};
	int code = EXIT_FAILURE;

	invariant_set_sink(print_violation);
	if (arg_parse(argc, argv, table))
		arg_print_errors(stderr, end, "bench-soak");
	else
		code = run_soak((uint64_t)(seed->count ? seed->ival[0] : 1),
				(uint64_t)(steps->count ? steps->ival[0]
							: 200000),
				verbose->count > 0);
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return code;
}
