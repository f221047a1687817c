#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chaos/mesh_clients.h"
#include "chaos/mesh_fleet.h"
#include "core/text.h"
#include "io/clock.h"

#define BOOT_S		 5
#define QUIET_S		 14 /* past a lease and the longest wait for it */
#define QUIET_CHECK_S	 3  /* at its end every request must be served */
#define CLIENTS_EACH	 4
#define PAUSE_MS	 40
#define FAULT_MIN_MS	 150
#define FAULT_SPAN_MS	 900
#define MEND_MIN_MS	 200
#define MEND_SPAN_MS	 6000
#define MENDS_MAX	 64
#define NODES_DEFAULT	 6
#define FAULTS_DEFAULT_S 30

enum soak_fault {
	SOAK_KILL,	/* a node's process; it is started again */
	SOAK_KILL_MANY, /* half of them at once */
	SOAK_PAUSE,	/* SIGSTOP, then SIGCONT */
	SOAK_TERM,	/* a planned stop, then a start */
	SOAK_CRASH,	/* an upstream; another lifetime follows */
	SOAK_REBORN,	/* the same without a pause */
	SOAK_DRAIN,	/* an upstream leaves, then ends */
	SOAK_STALL,	/* an upstream's announcements stop */
	SOAK_LINK,	/* a link delays, or is cut one way or both */
	SOAK_RESET,	/* all connections of a link */
	SOAK_STORE_BUSY,
	SOAK_STORE_MANY,
	SOAK_STORE_SILENT,
	SOAK_STORE_LOSES,
	SOAK_STORE_COMPACT,
	SOAK_CONFIG,   /* some versions behind one another */
	SOAK_EVACUATE, /* a data centre, then taken back */
	SOAK_HUP,
	SOAK_FAULT_COUNT,
};

static const char *const fault_names[SOAK_FAULT_COUNT] = {
	[SOAK_KILL] = "kill",
	[SOAK_KILL_MANY] = "kill_many",
	[SOAK_PAUSE] = "pause",
	[SOAK_TERM] = "term",
	[SOAK_CRASH] = "crash",
	[SOAK_REBORN] = "reborn",
	[SOAK_DRAIN] = "drain",
	[SOAK_STALL] = "stall",
	[SOAK_LINK] = "link",
	[SOAK_RESET] = "reset",
	[SOAK_STORE_BUSY] = "store_busy",
	[SOAK_STORE_MANY] = "store_many",
	[SOAK_STORE_SILENT] = "store_silent",
	[SOAK_STORE_LOSES] = "store_loses",
	[SOAK_STORE_COMPACT] = "store_compact",
	[SOAK_CONFIG] = "config",
	[SOAK_EVACUATE] = "evacuate",
	[SOAK_HUP] = "hup",
};

/** What ends a fault. */
struct mend {
	bool used;
	uint64_t at_ns;
	enum soak_fault fault;
	uint32_t node;
	enum mesh_link link;
};

struct soak {
	struct event_base *base;
	struct mesh_fleet fleet;
	struct mesh_clients clients;
	struct mesh_checker *mesh_checker;
	struct rng rng;
	struct mend mends[MENDS_MAX];
	struct event *faults;
	struct event *tick;
	uint64_t started_ns;
	uint64_t counts[SOAK_FAULT_COUNT];
	char evacuated[64];
};

static const char *fault_text(enum soak_fault f)
{
	return f < SOAK_FAULT_COUNT ? fault_names[f] : "?";
}

static void say(const struct soak *s, const char *what, enum soak_fault f,
		uint32_t node, const char *more)
{
	printf("soak: ms=%lu %s=%s node=%u%s%s\n",
	       (unsigned long)((clock_now_ns() - s->started_ns) / NS_PER_MS),
	       what, fault_text(f), node, *more ? " how=" : "", more);
	fflush(stdout);
}

static void mend_later(struct soak *s, enum soak_fault f, uint32_t node,
		       enum mesh_link link)
{
	uint64_t ms = MEND_MIN_MS + rng_below(&s->rng, MEND_SPAN_MS);

	for (int i = 0; i < MENDS_MAX; i++) {
		if (s->mends[i].used)
			continue;
		s->mends[i] =
			(struct mend){.used = true,
				      .at_ns = clock_now_ns() + ms * NS_PER_MS,
				      .fault = f,
				      .node = node,
				      .link = link};
		return;
	}
}

static void mend(struct soak *s, const struct mend *m)
{
	struct mesh_fleet *f = &s->fleet;
	struct mesh_node *n = &f->nodes[m->node];

	switch (m->fault) {
	case SOAK_KILL:
	case SOAK_KILL_MANY:
	case SOAK_TERM:
		/* A process that ends is started again by the tick. */
		break;
	case SOAK_PAUSE:
		mesh_node_signal(f, m->node, SIGCONT);
		break;
	case SOAK_DRAIN:
		mesh_upstream_crash(f, m->node);
		mesh_upstream_start(f, m->node);
		break;
	case SOAK_CRASH:
	case SOAK_REBORN:
		mesh_upstream_start(f, m->node);
		break;
	case SOAK_STALL:
		if (n->upstream)
			leased_upstream_freeze(n->upstream, false);
		break;
	case SOAK_LINK:
	case SOAK_RESET:
		proxy_set_mode(n->links[m->link], PROXY_PASSES, 0);
		break;
	case SOAK_STORE_BUSY:
	case SOAK_STORE_MANY:
	case SOAK_STORE_SILENT:
	case SOAK_STORE_LOSES:
		kv_server_set_mood(f->store, KV_SERVES);
		break;
	case SOAK_EVACUATE:
		kv_server_remove(f->store, s->evacuated);
		s->evacuated[0] = '\0';
		break;
	case SOAK_STORE_COMPACT:
	case SOAK_CONFIG:
	case SOAK_HUP:
	case SOAK_FAULT_COUNT:
		break;
	}
	say(s, "mend", m->fault, m->node, "");
}

static void harm_link(struct soak *s, uint32_t node)
{
	enum mesh_link l = (enum mesh_link)rng_below(&s->rng, LINK_COUNT);
	enum proxy_mode mood =
		(enum proxy_mode)(1 + rng_below(&s->rng, PROXY_MODE_COUNT - 1));
	static const char *const names[] = {"store", "peers", "upstream"};
	char how[64];

	text_format(how, sizeof(how), "%s_%s", names[l], proxy_mode_name(mood));
	proxy_set_mode(s->fleet.nodes[node].links[l], mood,
		       50 + (uint32_t)rng_below(&s->rng, 600));
	mend_later(s, SOAK_LINK, node, l);
	say(s, "fault", SOAK_LINK, node, how);
}

static void set_store(struct soak *s, enum soak_fault f, enum kv_mood mood)
{
	kv_server_set_mood(s->fleet.store, mood);
	mend_later(s, f, 0, LINK_STORE);
}

static void evacuate(struct soak *s, uint32_t node)
{
	if (s->evacuated[0])
		return;
	text_format(s->evacuated, sizeof(s->evacuated), "op/evacuate/%s",
		    s->fleet.nodes[node].dc);
	kv_server_put(s->fleet.store, s->evacuated, "{}");
	mend_later(s, SOAK_EVACUATE, node, LINK_STORE);
}

static void harm(struct soak *s, enum soak_fault fault, uint32_t node)
{
	struct mesh_fleet *f = &s->fleet;
	struct mesh_node *n = &f->nodes[node];

	switch (fault) {
	case SOAK_KILL:
		mesh_node_signal(f, node, SIGKILL);
		break;
	case SOAK_KILL_MANY:
		for (uint32_t i = 0; i < f->opts.nodes; i++)
			if (rng_below(&s->rng, 2))
				mesh_node_signal(f, i, SIGKILL);
		break;
	case SOAK_PAUSE:
		mesh_node_signal(f, node, SIGSTOP);
		mend_later(s, fault, node, LINK_STORE);
		break;
	case SOAK_TERM:
		mesh_node_signal(f, node, SIGTERM);
		break;
	case SOAK_CRASH:
		mesh_upstream_crash(f, node);
		mend_later(s, fault, node, LINK_STORE);
		break;
	case SOAK_REBORN:
		mesh_upstream_crash(f, node);
		mesh_upstream_start(f, node);
		break;
	case SOAK_DRAIN:
		if (n->upstream)
			leased_upstream_drain(n->upstream);
		mend_later(s, fault, node, LINK_STORE);
		break;
	case SOAK_STALL:
		if (n->upstream)
			leased_upstream_freeze(n->upstream, true);
		mend_later(s, fault, node, LINK_STORE);
		break;
	case SOAK_LINK:
		harm_link(s, node);
		return;
	case SOAK_RESET:
		proxy_reset(n->links[rng_below(&s->rng, LINK_COUNT)]);
		break;
	case SOAK_STORE_BUSY:
		set_store(s, fault, KV_BUSY);
		break;
	case SOAK_STORE_MANY:
		set_store(s, fault, KV_MANY);
		break;
	case SOAK_STORE_SILENT:
		set_store(s, fault, KV_SILENT);
		break;
	case SOAK_STORE_LOSES:
		set_store(s, fault, KV_LOSES);
		break;
	case SOAK_STORE_COMPACT:
		kv_server_compact(f->store);
		break;
	case SOAK_CONFIG:
		for (uint64_t i = rng_below(&s->rng, 4) + 1; i > 0; i--)
			mesh_fleet_configure(f);
		break;
	case SOAK_EVACUATE:
		evacuate(s, node);
		break;
	case SOAK_HUP:
		mesh_node_signal(f, node, SIGHUP);
		break;
	case SOAK_FAULT_COUNT:
		break;
	}
	say(s, "fault", fault, node, "");
}

static void on_fault(evutil_socket_t fd, short what, void *arg)
{
	struct soak *s = arg;
	uint64_t ms = FAULT_MIN_MS + rng_below(&s->rng, FAULT_SPAN_MS);
	struct timeval tv = {.tv_sec = (time_t)(ms / 1000),
			     .tv_usec = (suseconds_t)(ms % 1000) * 1000};
	enum soak_fault f =
		(enum soak_fault)rng_below(&s->rng, SOAK_FAULT_COUNT);

	(void)fd;
	(void)what;
	s->counts[f]++;
	harm(s, f, (uint32_t)rng_below(&s->rng, s->fleet.opts.nodes));
	evtimer_add(s->faults, &tv);
}

/* Starts processes that have ended, and mends what is due. */
static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct soak *s = arg;
	uint64_t now = clock_now_ns();

	(void)fd;
	(void)what;
	mesh_fleet_reap(&s->fleet);
	for (uint32_t i = 0; i < s->fleet.opts.nodes; i++)
		mesh_node_start(&s->fleet, i);
	for (int i = 0; i < MENDS_MAX; i++) {
		if (!s->mends[i].used || now < s->mends[i].at_ns)
			continue;
		s->mends[i].used = false;
		mend(s, &s->mends[i]);
	}
}

static void mend_all(struct soak *s)
{
	for (int i = 0; i < MENDS_MAX; i++) {
		if (s->mends[i].used)
			mend(s, &s->mends[i]);
		s->mends[i].used = false;
	}
	for (uint32_t i = 0; i < s->fleet.opts.nodes; i++) {
		mesh_node_signal(&s->fleet, i, SIGCONT);
		mesh_upstream_start(&s->fleet, i);
	}
}

static void run_for(struct soak *s, unsigned seconds)
{
	struct timeval tv = {.tv_sec = seconds};

	event_base_loopexit(s->base, &tv);
	event_base_dispatch(s->base);
}

static uint64_t run(struct soak *s, unsigned duration_s)
{
	struct timeval tick = {.tv_usec = 200000}, soon = {0};
	uint64_t from;

	s->started_ns = clock_now_ns();
	s->tick = event_new(s->base, -1, EV_PERSIST, on_tick, s);
	event_add(s->tick, &tick);
	run_for(s, BOOT_S);
	s->faults = evtimer_new(s->base, on_fault, s);
	if (duration_s) {
		evtimer_add(s->faults, &soon);
		run_for(s, duration_s);
	}
	event_del(s->faults);
	mend_all(s);
	run_for(s, duration_s ? QUIET_S : 0);
	from = clock_now_ns();
	run_for(s, QUIET_CHECK_S);
	s->clients.paused = true;
	run_for(s, 3);
	event_free(s->faults);
	event_free(s->tick);
	return mesh_checker_unserved(s->mesh_checker, from, clock_now_ns());
}

static int report(struct soak *s, uint64_t seed, uint64_t unserved)
{
	const struct mesh_checker *p = s->mesh_checker;
	uint64_t broken = mesh_checker_violations(s->mesh_checker);

	for (int i = 0; i < SOAK_FAULT_COUNT; i++)
		if (s->counts[i])
			printf("soak: fault=%s times=%lu\n", fault_names[i],
			       (unsigned long)s->counts[i]);
	printf("soak: seed=%lu sent=%lu served=%lu refused=%lu unknown=%lu "
	       "two_holders=%lu fence_not_above=%lu doubled=%lu "
	       "false_not_run=%lu crossed=%lu unasked=%lu after_leave=%lu "
	       "unserved_at_end=%lu store_calls=%lu\n",
	       (unsigned long)seed, (unsigned long)p->sent,
	       (unsigned long)p->served, (unsigned long)p->refused,
	       (unsigned long)p->unknown, (unsigned long)p->two_holders,
	       (unsigned long)p->fence_not_above, (unsigned long)p->doubled,
	       (unsigned long)p->false_not_run, (unsigned long)p->crossed,
	       (unsigned long)p->unasked, (unsigned long)p->after_leave,
	       (unsigned long)unserved,
	       (unsigned long)kv_server_calls(s->fleet.store));
	return broken || unserved || !p->served ? EXIT_FAILURE : EXIT_SUCCESS;
}

static int soak(const char *bin, uint64_t seed, unsigned duration_s,
		uint32_t nodes)
{
	char dir[] = "/tmp/jackdaw-soak-XXXXXX";
	struct soak s = {.base = event_base_new(),
			 .mesh_checker = mesh_checker_new()};
	struct mesh_fleet_opts fo = {.base = s.base,
				     .bin = bin,
				     .dir = mkdtemp(dir),
				     .nodes = nodes,
				     .seed = seed,
				     .mesh_checker = s.mesh_checker};
	struct mesh_clients_opts co = {.base = s.base,
				       .fleet = &s.fleet,
				       .mesh_checker = s.mesh_checker,
				       .each = CLIENTS_EACH,
				       .pause_ms = PAUSE_MS,
				       .seed = seed + 1};
	int code = EXIT_FAILURE;

	printf("soak: seed=%lu duration_s=%u nodes=%u dir=%s\n",
	       (unsigned long)seed, duration_s, nodes, fo.dir);
	fflush(stdout);
	rng_init(&s.rng, seed);
	if (fo.dir && mesh_fleet_start(&s.fleet, &fo)) {
		mesh_clients_start(&s.clients, &co);
		code = report(&s, seed, run(&s, duration_s));
		mesh_clients_stop(&s.clients);
	}
	mesh_fleet_stop(&s.fleet);
	mesh_checker_delete(s.mesh_checker);
	event_base_free(s.base);
	return code;
}

int main(int argc, char **argv)
{
	struct arg_str *bin = arg_str1(NULL, "bin", "DIR", "the programs");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "of the faults");
	struct arg_int *secs = arg_int0(NULL, "duration-s", "N", "of faults");
	struct arg_int *nodes = arg_int0(NULL, "nodes", "N", "6 if not given");
	struct arg_end *end = arg_end(4);
	void *table[] = {bin, seed, secs, nodes, end};
	uint32_t n;
	int code = EXIT_FAILURE;

	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "mesh_soak");
		goto out;
	}
	n = nodes->count ? (uint32_t)nodes->ival[0] : NODES_DEFAULT;
	if (!n || n > MESH_NODES_MAX)
		goto out;
	code = soak(bin->sval[0], seed->count ? (uint64_t)seed->ival[0] : 1,
		    secs->count ? (unsigned)secs->ival[0] : FAULTS_DEFAULT_S,
		    n);
out:
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return code;
}
