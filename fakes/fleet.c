#include "fakes/fleet.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/text.h"
#include "wire/codec.h"

#define MESSAGE_DELAY_NS (2 * NS_PER_MS)
#define STORE_DELAY_NS	 (3 * NS_PER_MS)
#define LAPSE_CHECK_NS	 (50 * NS_PER_MS)
#define REGIONS		 3
#define SERVICE		 "live"

static void schedule(struct fleet *f, struct fleet_event *e, uint64_t at_ns)
{
	uint64_t max =
		f->now_ns + (FLEET_WHEEL_SLOTS - 1) * FLEET_WHEEL_SLOT_NS;

	if (at_ns < f->now_ns)
		at_ns = f->now_ns;
	e->at_ns = at_ns > max ? max : at_ns;
	list_remove(&e->link);
	list_push_back(
		&f->wheel[e->at_ns / FLEET_WHEEL_SLOT_NS % FLEET_WHEEL_SLOTS],
		&e->link);
}

static struct fleet_event *event_new(enum fleet_event_kind kind, uint32_t node)
{
	struct fleet_event *e = mem_new(struct fleet_event);

	list_init(&e->link);
	e->kind = kind;
	e->node = node;
	return e;
}

static void event_delete(struct fleet_event *e)
{
	list_remove(&e->link);
	switch (e->kind) {
	case FLEET_TICK:
		return; /* member of struct fleet_node */
	case FLEET_MESSAGE:
		free(e->u.message.data);
		break;
	case FLEET_STORE_CALL:
		doc_delete(e->u.call.doc);
		break;
	case FLEET_STORE_ANSWER:
		docs_delete(&e->u.answer.docs);
		break;
	}
	free(e);
}

static void add_bytes(struct fleet *f, uint32_t node, size_t bytes)
{
	f->nodes[node].bytes += bytes;
	f->counts.bytes += bytes;
}

static void send_message(struct fleet *f, uint32_t from, struct act_send *s)
{
	struct fleet_event *e = event_new(FLEET_MESSAGE, 0);
	struct wire_buf b;

	e->node = (uint32_t)strtoul(s->addr, NULL, 10);
	wire_encode_message(s->message, &b);
	e->u.message.data = b.data;
	e->u.message.len = b.len;
	f->counts.messages++;
	if (s->message->kind == MSG_SYNC)
		f->counts.sync_bytes += b.len;
	add_bytes(f, from, b.len + FLEET_MESSAGE_OVERHEAD_BYTES);
	schedule(f, e, f->now_ns + MESSAGE_DELAY_NS);
}

/* Size of a document in a store call, which carries it as base64 text. */
static size_t doc_bytes(const struct doc *d)
{
	struct wire_buf b;

	if (!d || doc_absent(d))
		return 0;
	wire_encode_doc(d, &b);
	free(b.data);
	return b.len * 4 / 3;
}

static void send_store_call(struct fleet *f, uint32_t from, struct act_store *a)
{
	struct fleet_event *e = event_new(FLEET_STORE_CALL, from);

	add_bytes(f, from, doc_bytes(a->doc) + FLEET_STORE_OVERHEAD_BYTES);
	e->u.call = *a;
	a->doc = NULL;
	schedule(f, e, f->now_ns + STORE_DELAY_NS);
}

static void run_action(struct fleet *f, uint32_t from, struct action *a)
{
	switch (a->kind) {
	case ACT_SEND:
		send_message(f, from, &a->u.send);
		break;
	case ACT_STORE:
		send_store_call(f, from, &a->u.store);
		break;
	case ACT_REPLY:
	case ACT_UPSTREAM_CALL:
	case ACT_UPSTREAM_CANCEL:
	case ACT_GRANT:
	case ACT_LOG:
	case ACT_EXIT:
		break;
	}
}

static void handle_event(struct fleet *f, uint32_t i, struct event *ev)
{
	struct fleet_node *n = &f->nodes[i];
	struct action *a;
	uint64_t next;

	ev->now_ns = f->now_ns;
	f->counts.events++;
	node_handle(n->node, ev, &f->out);
	while ((a = actions_pop(&f->out))) {
		run_action(f, i, a);
		action_delete(a);
	}
	next = node_next_ns(n->node);
	schedule(f, &n->tick, next);
}

static void on_message(struct fleet *f, struct fleet_event *e)
{
	struct event ev = {.kind = EV_MESSAGE};
	struct status st;

	add_bytes(f, e->node, e->u.message.len + FLEET_MESSAGE_OVERHEAD_BYTES);
	ev.u.message =
		wire_decode_message(e->u.message.data, e->u.message.len, &st);
	if (!ev.u.message)
		abort();
	handle_event(f, e->node, &ev);
}

static void answer_call(struct fleet *f, struct fleet_event *e)
{
	struct fleet_event *reply = event_new(FLEET_STORE_ANSWER, e->node);

	fleet_store_call(&f->store, &e->u.call, f->now_ns, &reply->u.answer);
	if (e->u.call.kind == STORE_WATCH)
		f->store.watches--; /* on_call() has counted it */
	schedule(f, reply, f->now_ns + STORE_DELAY_NS);
	event_delete(e);
}

static void answer_watches(struct fleet *f)
{
	struct fleet_event *e, *tmp;

	list_for_each_entry_safe(e, tmp, &f->pending_watches, link)
		if (fleet_store_has_changes(&f->store, e->u.call.revision) ||
		    f->now_ns >= e->at_ns)
			answer_call(f, e);
}

static void on_call(struct fleet *f, struct fleet_event *e)
{
	const struct act_store *a = &e->u.call;

	if (a->kind != STORE_WATCH) {
		answer_call(f, e);
		answer_watches(f);
		return;
	}
	f->store.watches++;
	if (!a->revision || fleet_store_has_changes(&f->store, a->revision)) {
		answer_call(f, e);
		return;
	}
	/* A watch waits for half of its deadline, as in the store client. */
	e->at_ns = f->now_ns + (a->deadline_ns - f->now_ns) / 2;
	list_push_back(&f->pending_watches, &e->link);
}

static void on_answer(struct fleet *f, struct fleet_event *e)
{
	struct event ev = {.kind = EV_STORE};
	const struct doc *d;

	add_bytes(f, e->node, FLEET_STORE_OVERHEAD_BYTES);
	list_for_each_entry(d, &e->u.answer.docs, link)
		add_bytes(f, e->node, doc_bytes(d));
	ev.u.store = e->u.answer;
	list_init(&ev.u.store.docs);
	list_splice_back(&ev.u.store.docs, &e->u.answer.docs);
	handle_event(f, e->node, &ev);
}

static void announce(struct fleet *f, uint32_t i)
{
	struct event ev = {.kind = EV_ANNOUNCEMENT};

	mem_copy_str(ev.u.announce.service, SERVICE, JD_NAME_MAX);
	ev.u.announce.instance = i + 1;
	ev.u.announce.slots = 20;
	ev.u.announce.connections = 130;
	handle_event(f, i, &ev);
}

static void on_tick(struct fleet *f, uint32_t i)
{
	struct event ev = {.kind = EV_TICK};

	if (!f->nodes[i].node->gate.upstream.instance)
		announce(f, i);
	else
		handle_event(f, i, &ev);
}

static void run_event(struct fleet *f, struct fleet_event *e)
{
	list_remove(&e->link);
	if (e->kind == FLEET_STORE_CALL) {
		on_call(f, e);
		return;
	}
	if (f->nodes[e->node].node) {
		switch (e->kind) {
		case FLEET_TICK:
			on_tick(f, e->node);
			break;
		case FLEET_MESSAGE:
			on_message(f, e);
			break;
		case FLEET_STORE_ANSWER:
			on_answer(f, e);
			break;
		case FLEET_STORE_CALL:
			break;
		}
	}
	if (e->kind != FLEET_TICK)
		event_delete(e);
}

static void run_slot(struct fleet *f, struct list *slot)
{
	while (!list_empty(slot)) {
		struct fleet_event *e =
			list_entry(slot->next, struct fleet_event, link);

		if (f->now_ns < e->at_ns)
			f->now_ns = e->at_ns;
		run_event(f, e);
	}
}

void fleet_run(struct fleet *f, uint64_t until_ns)
{
	for (uint64_t at =
		     f->now_ns / FLEET_WHEEL_SLOT_NS * FLEET_WHEEL_SLOT_NS;
	     at < until_ns; at += FLEET_WHEEL_SLOT_NS) {
		run_slot(f, &f->wheel[at / FLEET_WHEEL_SLOT_NS %
				      FLEET_WHEEL_SLOTS]);
		if (f->now_ns < at + FLEET_WHEEL_SLOT_NS)
			f->now_ns = at + FLEET_WHEEL_SLOT_NS;
		if (at % LAPSE_CHECK_NS == 0) {
			fleet_store_lapse(&f->store, f->now_ns);
			answer_watches(f);
		}
	}
	f->counts.reads = f->store.reads;
	f->counts.writes = f->store.writes;
	f->counts.watches = f->store.watches;
	f->counts.conflicts = f->store.conflicts;
}

static void fill_manifest(const struct fleet *f, struct manifest *m)
{
	struct route *r = manifest_add_route(m);

	mem_copy_str(r->name, SERVICE, sizeof(r->name));
	mem_copy_str(r->service, SERVICE, sizeof(r->service));
	route_set_path(r, "/");
	r->kind = ROUTE_KEYED;
	r->shards = f->opts.shards;
	r->timeout_ms = 2000;
	text_format(m->change_id, sizeof(m->change_id), "change-%u",
		    f->manifests_written);
	for (uint32_t i = 0; i < f->opts.dcs; i++) {
		struct data_centre *d = manifest_add_data_centre(m);

		text_format(d->name, sizeof(d->name), "dc%u", i);
		text_format(d->region, sizeof(d->region), "r%u", i % REGIONS);
	}
}

revision_t fleet_write_manifest(struct fleet *f)
{
	struct act_store a = {.kind = STORE_CAS, .key.kind = DOC_MANIFEST};
	const struct fleet_item *old = fleet_store_find(&f->store, &a.key);
	struct ev_store ev;

	f->manifests_written++;
	a.revision = old ? old->revision : 0;
	a.doc = doc_new(DOC_MANIFEST, "");
	a.doc->u.manifest = manifest_new();
	fill_manifest(f, a.doc->u.manifest);
	fleet_store_call(&f->store, &a, f->now_ns, &ev);
	docs_delete(&ev.docs);
	answer_watches(f);
	return f->store.now;
}

static void start_node(struct fleet *f, uint32_t i)
{
	struct fleet_node *n = &f->nodes[i];
	struct node_opts o = {.timing = timing_default};

	n->dc = i % f->opts.dcs;
	text_format(o.name, sizeof(o.name), "node-%u", i);
	text_format(o.dc, sizeof(o.dc), "dc%u", n->dc);
	text_format(o.region, sizeof(o.region), "r%u", n->dc % REGIONS);
	text_format(o.peer_addr, sizeof(o.peer_addr), "%u", i);
	text_format(o.http_addr, sizeof(o.http_addr), "10.100.%u.%u:8080",
		    i / 256, i % 256);
	o.seed = f->opts.seed * 100003 + i;
	n->node = node_new(&o);
	list_init(&n->tick.link);
	n->tick.kind = FLEET_TICK;
	n->tick.node = i;
	schedule(f, &n->tick,
		 f->now_ns + rng_below(&f->rng, f->opts.start_spread_ns + 1));
}

struct fleet *fleet_new(const struct fleet_opts *o)
{
	struct fleet *f = mem_new(struct fleet);

	f->opts = *o;
	f->now_ns = NS_PER_S;
	for (uint32_t i = 0; i < FLEET_WHEEL_SLOTS; i++)
		list_init(&f->wheel[i]);
	list_init(&f->pending_watches);
	fleet_store_init(&f->store);
	actions_init(&f->out);
	rng_init(&f->rng, o->seed);
	f->nodes = mem_zalloc(o->nodes, sizeof(*f->nodes));
	fleet_write_manifest(f);
	for (uint32_t i = 0; i < o->nodes; i++)
		start_node(f, i);
	return f;
}

static void delete_events(struct list *l)
{
	struct fleet_event *e, *tmp;

	list_for_each_entry_safe(e, tmp, l, link)
		event_delete(e);
}

void fleet_delete(struct fleet *f)
{
	for (uint32_t i = 0; i < FLEET_WHEEL_SLOTS; i++)
		delete_events(&f->wheel[i]);
	delete_events(&f->pending_watches);
	for (uint32_t i = 0; i < f->opts.nodes; i++)
		if (f->nodes[i].node)
			node_delete(f->nodes[i].node);
	free(f->nodes);
	fleet_store_done(&f->store);
	actions_done(&f->out);
	free(f);
}

void fleet_kill(struct fleet *f, uint32_t node)
{
	struct fleet_node *n = &f->nodes[node];

	if (!n->node)
		return;
	list_remove(&n->tick.link);
	node_delete(n->node);
	n->node = NULL;
}

static int incarnation_cmp(const void *a, const void *b)
{
	incarnation_t x = *(const incarnation_t *)a;
	incarnation_t y = *(const incarnation_t *)b;

	return (x > y) - (x < y);
}

/* True when each shard of @map is owned by a live node's incarnation. */
static bool owners_are_live(const struct fleet *f, const struct shard_map *map)
{
	incarnation_t *live = mem_zalloc(f->opts.nodes, sizeof(incarnation_t));
	uint32_t n = 0;
	bool ok = true;

	for (uint32_t i = 0; i < f->opts.nodes; i++)
		if (f->nodes[i].node)
			live[n++] = f->nodes[i].node->ctx.self;
	if (n)
		qsort(live, n, sizeof(*live), incarnation_cmp);
	for (uint32_t i = 0; ok && i < map->count; i++)
		ok = bsearch(&map->shards[i].owner, live, n, sizeof(*live),
			     incarnation_cmp) != NULL;
	free(live);
	return ok;
}

bool fleet_converged(const struct fleet *f)
{
	const struct shard_map *checked = NULL;
	revision_t checked_revision = 0;

	for (uint32_t i = 0; i < f->opts.nodes; i++) {
		const struct node *n = f->nodes[i].node;
		const struct doc *d;

		if (!n)
			continue;
		d = view_doc(&n->ctx.view, DOC_MAP, SERVICE);
		if (!d || !d->u.map || n->membership.state != MEMBERSHIP_IN)
			return false;
		if (checked && d->revision == checked_revision)
			continue;
		if (!owners_are_live(f, d->u.map))
			return false;
		checked = d->u.map;
		checked_revision = d->revision;
	}
	return checked != NULL;
}

bool fleet_has_revision(const struct fleet *f, revision_t r)
{
	for (uint32_t i = 0; i < f->opts.nodes; i++)
		if (f->nodes[i].node && f->nodes[i].node->ctx.view.revision < r)
			return false;
	return true;
}
