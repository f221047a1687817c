#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chaos/mesh_clients.h"
#include "chaos/mesh_fleet.h"
#include "core/text.h"
#include "io/clock.h"

#define BOOT_S		   5
/* Without faults; longer than a lease and the longest wait for one. */
#define QUIET_S		   14
/* Follows QUIET_S; every request sent in it must be served. */
#define QUIET_CHECK_S	   3
/* Wait for the last answers, after callers have stopped. */
#define DRAIN_S		   3
#define CLIENTS_PER_NODE   4
#define TICK_MS		   200
#define PAUSE_MS	   40
#define FAULT_MIN_MS	   150
#define FAULT_SPAN_MS	   900
#define MEND_MIN_MS	   200
#define MEND_SPAN_MS	   6000
/*
 * More than the faults that can wait for their mending at a time:
 * (MEND_MIN_MS + MEND_SPAN_MS) / FAULT_MIN_MS.
 */
#define MENDS_MAX	   64
#define LINK_DELAY_MIN_MS  50
#define LINK_DELAY_SPAN_MS 600
#define ANSWER_FAULT_MS	   1500
/* Restores of the store: the pause before one and its three times. */
#define RESTORE_MIN_MS	   2000
#define RESTORE_SPAN_MS	   8000
#define AWAY_MIN_MS	   200
#define AWAY_SPAN_MS	   2800
#define COPY_AGE_MIN_MS	   1000
#define COPY_AGE_SPAN_MS   11000
#define REWRITE_MIN_MS	   100
#define REWRITE_SPAN_MS	   900
#define NODES_DEFAULT	   6
#define FAULTS_DEFAULT_S   30

enum soak_fault {
	SOAK_KILL,	    /* SIGKILL to a node; the next tick restarts it */
	SOAK_KILL_MANY,	    /* SOAK_KILL of each node with probability 1/2 */
	SOAK_PAUSE,	    /* SIGSTOP to a node, then SIGCONT */
	SOAK_TERM,	    /* planned stop of a node, then a restart */
	SOAK_CRASH,	    /* an upstream ends; a new instance starts later */
	SOAK_REBORN,	    /* SOAK_CRASH, the new instance starts at once */
	SOAK_DRAIN,	    /* an upstream drains, then ends */
	SOAK_STALL,	    /* an upstream stops its announcements */
	SOAK_LINK,	    /* a link is delayed or muted; enum proxy_mode */
	SOAK_RESET,	    /* all connections of a link are reset */
	SOAK_STORE_BUSY,    /* the store answers 503 and does nothing */
	SOAK_STORE_MANY,    /* the store answers 429 and does nothing */
	SOAK_STORE_SILENT,  /* the store does nothing and does not answer */
	SOAK_STORE_LOSES,   /* writes take effect, their answers are lost */
	SOAK_STORE_COMPACT, /* the store ends older watches with 410 */
	SOAK_CONFIG,	    /* up to four new configurations at once */
	SOAK_EVACUATE,	    /* a data centre is evacuated, then restored */
	SOAK_HUP,	    /* SIGHUP to a node */
	SOAK_DRAWN_COUNT,   /* those before are drawn by on_fault() */
	/* The store is away, then comes back from an older copy. */
	SOAK_STORE_RESTORED = SOAK_DRAWN_COUNT,
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
	[SOAK_STORE_RESTORED] = "store_restored",
};

/** What on_restore() does next. */
enum restore_step {
	RESTORE_BEGINS,	  /* the store goes away */
	RESTORE_RETURNS,  /* it comes back from a copy */
	RESTORE_REWRITES, /* the operators write again what it lost */
};

/** A fault that is to be mended. */
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
	struct mesh_checker *checker;
	struct rng rng;
	struct mend mends[MENDS_MAX];
	struct event *fault_timer;
	struct event *tick_timer;
	struct rng
		answer_rng; /* keeps the other faults of a seed as they are */
	struct event *answer_timer;
	uint64_t answer_counts[ANSWER_FAULT_COUNT];
	struct rng restore_rng; /* for the same reason */
	struct event *restore_timer;
	enum restore_step restore_step;
	uint64_t started_ns;
	uint64_t counts[SOAK_FAULT_COUNT];
	char evacuated[64]; /* store key of the evacuation; "": none */
};

static const char *soak_fault_name(enum soak_fault f)
{
	return f < SOAK_FAULT_COUNT ? fault_names[f] : "?";
}

/* @mode: link and proxy mode of SOAK_LINK, or "". */
static void log_fault(const struct soak *s, const char *event,
		      enum soak_fault f, uint32_t node, const char *mode)
{
	printf("soak: ms=%lu %s=%s node=%u%s%s\n",
	       (unsigned long)((clock_now_ns() - s->started_ns) / NS_PER_MS),
	       event, soak_fault_name(f), node, *mode ? " mode=" : "", mode);
	fflush(stdout);
}

/* Schedules the mending after a random time; all are mended at the end too. */
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
		/* on_tick() restarts processes that have exited. */
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
		kv_server_set_fault(f->store, KV_FAULT_NONE);
		break;
	case SOAK_EVACUATE:
		kv_server_remove(f->store, s->evacuated);
		s->evacuated[0] = '\0';
		break;
	case SOAK_STORE_COMPACT:
	case SOAK_CONFIG:
	case SOAK_HUP:
	case SOAK_STORE_RESTORED:
	case SOAK_FAULT_COUNT:
		break;
	}
	log_fault(s, "mend", m->fault, m->node, "");
}

static void inject_link_fault(struct soak *s, uint32_t node)
{
	enum mesh_link l = (enum mesh_link)rng_below(&s->rng, LINK_COUNT);
	enum proxy_mode mode =
		(enum proxy_mode)(1 + rng_below(&s->rng, PROXY_MODE_COUNT - 1));
	static const char *const link_names[] = {"store", "peers", "upstream"};
	char text[64];

	text_format(text, sizeof(text), "%s_%s", link_names[l],
		    proxy_mode_name(mode));
	proxy_set_mode(s->fleet.nodes[node].links[l], mode,
		       LINK_DELAY_MIN_MS +
			       (uint32_t)rng_below(&s->rng,
						   LINK_DELAY_SPAN_MS));
	mend_later(s, SOAK_LINK, node, l);
	log_fault(s, "fault", SOAK_LINK, node, text);
}

static void inject_store_fault(struct soak *s, enum soak_fault f,
			       enum kv_fault fault)
{
	kv_server_set_fault(s->fleet.store, fault);
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

static void inject(struct soak *s, enum soak_fault fault, uint32_t node)
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
		inject_link_fault(s, node);
		return;
	case SOAK_RESET:
		proxy_reset(n->links[rng_below(&s->rng, LINK_COUNT)]);
		break;
	case SOAK_STORE_BUSY:
		inject_store_fault(s, fault, KV_FAULT_BUSY);
		break;
	case SOAK_STORE_MANY:
		inject_store_fault(s, fault, KV_FAULT_TOO_MANY);
		break;
	case SOAK_STORE_SILENT:
		inject_store_fault(s, fault, KV_FAULT_SILENT);
		break;
	case SOAK_STORE_LOSES:
		inject_store_fault(s, fault, KV_FAULT_LOSES_ANSWERS);
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
	case SOAK_STORE_RESTORED:
	case SOAK_FAULT_COUNT:
		break;
	}
	log_fault(s, "fault", fault, node, "");
}

static void on_fault(evutil_socket_t fd, short what, void *arg)
{
	struct soak *s = arg;
	uint64_t ms = FAULT_MIN_MS + rng_below(&s->rng, FAULT_SPAN_MS);
	struct timeval tv = {.tv_sec = (time_t)(ms / 1000),
			     .tv_usec = (suseconds_t)(ms % 1000) * 1000};
	enum soak_fault f =
		(enum soak_fault)rng_below(&s->rng, SOAK_DRAWN_COUNT);

	(void)fd;
	(void)what;
	s->counts[f]++;
	inject(s, f, (uint32_t)rng_below(&s->rng, s->fleet.opts.nodes));
	evtimer_add(s->fault_timer, &tv);
}

static void set_answer_fault(struct soak *s, uint32_t i, enum answer_fault f)
{
	struct leased_upstream *u = s->fleet.nodes[i].upstream;

	if (!u)
		return;
	leased_upstream_set_fault(u, f);
	s->answer_counts[f]++;
	if (f != ANSWER_SOUND)
		printf("soak: ms=%lu fault=answers node=%u mode=%s\n",
		       (unsigned long)((clock_now_ns() - s->started_ns) /
				       NS_PER_MS),
		       i, answer_fault_name(f));
}

/* Each upstream's answers are sound for half of the time. */
static void on_answer_fault(evutil_socket_t fd, short what, void *arg)
{
	struct soak *s = arg;

	(void)fd;
	(void)what;
	for (uint32_t i = 0; i < s->fleet.opts.nodes; i++) {
		bool sound = rng_below(&s->answer_rng, 2);
		uint64_t f = rng_below(&s->answer_rng, ANSWER_FAULT_COUNT - 1);

		set_answer_fault(s, i,
				 sound ? ANSWER_SOUND
				       : (enum answer_fault)(1 + f));
	}
}

/* Half of the seeds have faulty answers. */
static void start_answer_faults(struct soak *s, uint64_t seed)
{
	struct timeval tv = {.tv_sec = ANSWER_FAULT_MS / 1000,
			     .tv_usec = ANSWER_FAULT_MS % 1000 * 1000};

	rng_init(&s->answer_rng, seed + 2);
	s->answer_timer =
		event_new(s->base, -1, EV_PERSIST, on_answer_fault, s);
	if (rng_below(&s->answer_rng, 2))
		event_add(s->answer_timer, &tv);
}

static void stop_answer_faults(struct soak *s)
{
	event_free(s->answer_timer);
	for (uint32_t i = 0; i < s->fleet.opts.nodes; i++)
		set_answer_fault(s, i, ANSWER_SOUND);
}

/* Half of the outages begin with a reset of all connections to the store. */
static void begin_restore(struct soak *s)
{
	bool reset = rng_below(&s->restore_rng, 2);

	s->counts[SOAK_STORE_RESTORED]++;
	kv_server_set_away(s->fleet.store, true);
	for (uint32_t i = 0; reset && i < s->fleet.opts.nodes; i++)
		proxy_reset(s->fleet.nodes[i].links[LINK_STORE]);
	log_fault(s, "fault", SOAK_STORE_RESTORED, 0,
		  reset ? "reset" : "silent");
}

static void return_from_copy(struct soak *s)
{
	uint64_t age_ms =
		COPY_AGE_MIN_MS + rng_below(&s->restore_rng, COPY_AGE_SPAN_MS);
	char text[64];

	kv_server_restore(s->fleet.store, age_ms * NS_PER_MS);
	kv_server_set_away(s->fleet.store, false);
	text_format(text, sizeof(text), "age_%lu_ms era=%lu",
		    (unsigned long)age_ms,
		    (unsigned long)kv_server_era(s->fleet.store));
	log_fault(s, "mend", SOAK_STORE_RESTORED, 0, text);
}

static void on_restore(evutil_socket_t fd, short what, void *arg)
{
	struct soak *s = arg;
	struct timeval tv;
	uint64_t ms = 0;

	(void)fd;
	(void)what;
	switch (s->restore_step) {
	case RESTORE_BEGINS:
		begin_restore(s);
		ms = AWAY_MIN_MS + rng_below(&s->restore_rng, AWAY_SPAN_MS);
		s->restore_step = RESTORE_RETURNS;
		break;
	case RESTORE_RETURNS:
		return_from_copy(s);
		ms = REWRITE_MIN_MS +
		     rng_below(&s->restore_rng, REWRITE_SPAN_MS);
		s->restore_step = RESTORE_REWRITES;
		break;
	case RESTORE_REWRITES:
		kv_server_write_again(s->fleet.store);
		ms = RESTORE_MIN_MS +
		     rng_below(&s->restore_rng, RESTORE_SPAN_MS);
		s->restore_step = RESTORE_BEGINS;
		break;
	}
	tv = (struct timeval){.tv_sec = (time_t)(ms / 1000),
			      .tv_usec = (suseconds_t)(ms % 1000) * 1000};
	evtimer_add(s->restore_timer, &tv);
}

/* In half of the seeds the store comes back from older copies. */
static void start_restores(struct soak *s, uint64_t seed)
{
	struct timeval tv = {.tv_sec = RESTORE_MIN_MS / 1000};

	rng_init(&s->restore_rng, seed + 3);
	s->restore_timer = evtimer_new(s->base, on_restore, s);
	if (rng_below(&s->restore_rng, 2))
		evtimer_add(s->restore_timer, &tv);
}

/* Ends a restore that is in progress. */
static void stop_restores(struct soak *s)
{
	event_free(s->restore_timer);
	if (s->restore_step == RESTORE_RETURNS)
		return_from_copy(s);
	if (s->restore_step != RESTORE_BEGINS)
		kv_server_write_again(s->fleet.store);
}

/* Restarts processes that have exited and mends the faults that are due. */
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

/* Returns the number of requests of the last check that were not served. */
static uint64_t run(struct soak *s, uint64_t seed, unsigned duration_s)
{
	struct timeval tick = {.tv_usec = TICK_MS * 1000}, immediately = {0};
	uint64_t check_ns;

	s->started_ns = clock_now_ns();
	s->tick_timer = event_new(s->base, -1, EV_PERSIST, on_tick, s);
	event_add(s->tick_timer, &tick);
	run_for(s, BOOT_S);
	s->fault_timer = evtimer_new(s->base, on_fault, s);
	if (duration_s) {
		evtimer_add(s->fault_timer, &immediately);
		start_answer_faults(s, seed);
		start_restores(s, seed);
		run_for(s, duration_s);
		stop_restores(s);
		stop_answer_faults(s);
	}
	event_del(s->fault_timer);
	mend_all(s);
	run_for(s, duration_s ? QUIET_S : 0);
	check_ns = clock_now_ns();
	run_for(s, QUIET_CHECK_S);
	s->clients.paused = true;
	run_for(s, DRAIN_S);
	event_free(s->fault_timer);
	event_free(s->tick_timer);
	mesh_fleet_check_logs(&s->fleet);
	return mesh_checker_unserved(s->checker, check_ns, clock_now_ns());
}

static int report(struct soak *s, uint64_t seed, uint64_t unserved)
{
	const struct mesh_checker *c = s->checker;
	uint64_t violations = mesh_checker_violations(s->checker);

	for (int i = 0; i < SOAK_FAULT_COUNT; i++)
		if (s->counts[i])
			printf("soak: fault=%s times=%lu\n", fault_names[i],
			       (unsigned long)s->counts[i]);
	for (int i = ANSWER_SOUND + 1; i < ANSWER_FAULT_COUNT; i++)
		if (s->answer_counts[i])
			printf("soak: fault=answers mode=%s times=%lu\n",
			       answer_fault_name((enum answer_fault)i),
			       (unsigned long)s->answer_counts[i]);
	printf("soak: seed=%lu sent=%lu served=%lu refused=%lu unknown=%lu "
	       "two_holders=%lu fence_not_above=%lu doubled=%lu "
	       "false_not_run=%lu crossed=%lu denied=%lu unasked=%lu "
	       "after_leave=%lu config_back=%lu died=%lu "
	       "unserved_at_end=%lu store_calls=%lu\n",
	       (unsigned long)seed, (unsigned long)c->sent,
	       (unsigned long)c->served, (unsigned long)c->refused,
	       (unsigned long)c->unknown, (unsigned long)c->two_holders,
	       (unsigned long)c->fence_not_above, (unsigned long)c->doubled,
	       (unsigned long)c->false_not_run, (unsigned long)c->crossed,
	       (unsigned long)c->denied, (unsigned long)c->unasked,
	       (unsigned long)c->after_leave, (unsigned long)c->config_back,
	       (unsigned long)c->died, (unsigned long)unserved,
	       (unsigned long)kv_server_calls(s->fleet.store));
	return violations || unserved || !c->served ? EXIT_FAILURE
						    : EXIT_SUCCESS;
}

static int soak(const char *bin, uint64_t seed, unsigned duration_s,
		uint32_t nodes)
{
	char dir[] = "/tmp/jackdaw-soak-XXXXXX";
	struct soak s = {.base = event_base_new(),
			 .checker = mesh_checker_new()};
	struct mesh_fleet_opts fo = {.base = s.base,
				     .bin = bin,
				     .dir = mkdtemp(dir),
				     .nodes = nodes,
				     .seed = seed,
				     .checker = s.checker};
	struct mesh_clients_opts co = {.base = s.base,
				       .fleet = &s.fleet,
				       .checker = s.checker,
				       .per_node = CLIENTS_PER_NODE,
				       .pause_ms = PAUSE_MS,
				       .seed = seed + 1};
	int code = EXIT_FAILURE;

	printf("soak: seed=%lu duration_s=%u nodes=%u dir=%s\n",
	       (unsigned long)seed, duration_s, nodes, fo.dir);
	fflush(stdout);
	rng_init(&s.rng, seed);
	if (fo.dir && mesh_fleet_start(&s.fleet, &fo)) {
		mesh_clients_start(&s.clients, &co);
		code = report(&s, seed, run(&s, seed, duration_s));
		mesh_clients_stop(&s.clients);
	}
	mesh_fleet_stop(&s.fleet);
	mesh_checker_delete(s.checker);
	event_base_free(s.base);
	return code;
}

int main(int argc, char **argv)
{
	struct arg_str *bin =
		arg_str1(NULL, "bin", "DIR", "folder of the programs");
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "of the random faults");
	struct arg_int *secs =
		arg_int0(NULL, "duration-s", "N", "how long faults go on");
	struct arg_int *nodes = arg_int0(NULL, "nodes", "N", "6 by default");
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
