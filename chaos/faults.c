#include "chaos/faults.h"

#include <stdio.h>
#include <string.h>

#include "core/text.h"
#include "io/clock.h"

#define TICK_MS		  200
#define FAULT_PERCENT	  18 /* of the ticks */
#define MEND_MIN_MS	  200
#define MEND_SPAN_MS	  5000
#define STORE_DOWN_MAX_MS 8000
#define STORE_SLOW_MAX_MS 300
#define LOST_ANSWERS_MAX  4

static const char *const fault_names[FAULT_KIND_COUNT] = {
	[FAULT_KILL] = "kill",
	[FAULT_FREEZE] = "freeze",
	[FAULT_FREEZE_VM] = "freeze_vm",
	[FAULT_KILL_DC] = "kill_dc",
	[FAULT_TERM] = "term",
	[FAULT_STORE_DOWN] = "store_down",
	[FAULT_STORE_SLOW] = "store_slow",
	[FAULT_LOSE_ANSWERS] = "lose_answers",
	[FAULT_LAPSE] = "lapse",
};

const char *fault_name(enum fault_kind kind)
{
	return kind < FAULT_KIND_COUNT ? fault_names[kind] : "?";
}

/* Schedules the mending of node @i; callers avoid the node until then. */
static void mend_later(struct faults *f, uint32_t i)
{
	uint64_t delay_ms = MEND_MIN_MS + rng_below(&f->rng, MEND_SPAN_MS);

	f->mend_ns[i] = clock_now_ns() + delay_ms * NS_PER_MS;
	f->load->up[i] = false;
}

static void mend(struct faults *f, uint32_t i)
{
	if (!cluster_node_stop_finished(f->cluster, i))
		return;
	f->mend_ns[i] = 0;
	if (f->cluster->nodes[i].frozen)
		cluster_node_thaw(f->cluster, i);
	else
		cluster_node_start(f->cluster, i);
	f->load->up[i] = true;
}

static void mend_due(struct faults *f)
{
	uint64_t now = clock_now_ns();

	for (uint32_t i = 0; i < f->cluster->opts.nodes; i++)
		if (f->mend_ns[i] && now >= f->mend_ns[i])
			mend(f, i);
}

static void kill_dc(struct faults *f, uint32_t dc)
{
	for (uint32_t i = dc; i < f->cluster->opts.nodes;
	     i += f->cluster->opts.dcs) {
		cluster_node_kill(f->cluster, i);
		mend_later(f, i);
	}
}

static void stop_planned(struct faults *f, uint32_t i)
{
	/* Callers leave a node before its planned stop begins. */
	f->load->up[i] = false;
	f->mend_ns[i] = clock_now_ns() + NS_PER_S;
	cluster_node_term(f->cluster, i);
}

static void set_store_fault(struct faults *f, const char *field, uint64_t value)
{
	char json[64];

	text_format(json, sizeof(json), "{\"%s\":%lu}", field,
		    (unsigned long)value);
	cluster_store_fault(f->cluster, json);
}

static void inject(struct faults *f, enum fault_kind kind, uint32_t i)
{
	switch (kind) {
	case FAULT_KILL:
		cluster_node_kill(f->cluster, i);
		mend_later(f, i);
		break;
	case FAULT_FREEZE:
	case FAULT_FREEZE_VM:
		cluster_node_freeze(f->cluster, i, kind == FAULT_FREEZE_VM);
		mend_later(f, i);
		break;
	case FAULT_KILL_DC:
		kill_dc(f, i % f->cluster->opts.dcs);
		break;
	case FAULT_TERM:
		stop_planned(f, i);
		break;
	case FAULT_STORE_DOWN:
		set_store_fault(f, "down_ms",
				rng_below(&f->rng, STORE_DOWN_MAX_MS));
		break;
	case FAULT_STORE_SLOW:
		set_store_fault(f, "slow_ms",
				rng_below(&f->rng, STORE_SLOW_MAX_MS));
		break;
	case FAULT_LOSE_ANSWERS:
		set_store_fault(f, "lose_answers",
				1 + rng_below(&f->rng, LOST_ANSWERS_MAX));
		break;
	case FAULT_LAPSE:
		cluster_store_fault(f->cluster, "{\"lapse\":\"d/\"}");
		break;
	case FAULT_KIND_COUNT:
		break;
	}
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct faults *f = arg;
	enum fault_kind kind;
	uint32_t i;

	(void)fd;
	(void)what;
	mend_due(f);
	if (f->quiet || rng_below(&f->rng, 100) >= FAULT_PERCENT)
		return;
	kind = (enum fault_kind)rng_below(&f->rng, FAULT_KIND_COUNT);
	i = (uint32_t)rng_below(&f->rng, f->cluster->opts.nodes);
	/*
	 * A resumed upstream reads the requests that waited in its sockets.
	 * Without a check of their fences it may run them under an old epoch.
	 */
	if (kind == FAULT_FREEZE_VM && !f->cluster->opts.checks_grants)
		kind = FAULT_FREEZE;
	if (f->mend_ns[i])
		return;
	f->counts[kind]++;
	fprintf(stderr, "chaos: time_ns=%lu fault=%s node=%u\n",
		(unsigned long)clock_now_ns(), fault_name(kind), i);
	inject(f, kind, i);
}

void faults_init(struct faults *f, struct event_base *base, struct cluster *c,
		 struct load *l, uint64_t seed)
{
	struct timeval interval = {.tv_usec = TICK_MS * 1000};

	memset(f, 0, sizeof(*f));
	f->base = base;
	f->cluster = c;
	f->load = l;
	rng_init(&f->rng, seed);
	f->timer = event_new(base, -1, EV_PERSIST, on_tick, f);
	event_add(f->timer, &interval);
}

void faults_done(struct faults *f)
{
	event_free(f->timer);
}

void faults_end(struct faults *f)
{
	f->quiet = true;
	cluster_store_fault(f->cluster, "{\"down_ms\":0}");
	for (uint32_t i = 0; i < f->cluster->opts.nodes; i++)
		if (f->mend_ns[i])
			mend(f, i);
}
