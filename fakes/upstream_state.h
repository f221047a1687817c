/**
 * State of the fake upstream and its decisions on requests: slots, grants, load
 * reports, and a cold start, when it can run fewer requests. No sockets.
 */
#ifndef JD_FAKES_UPSTREAM_STATE_H
#define JD_FAKES_UPSTREAM_STATE_H

#include "core/action.h"
#include "core/list.h"
#include "core/types.h"

#define UPSTREAM_LOAD_SAMPLES 64

/** What a cold upstream does with more requests than cold_bears. */
enum cold_mode {
	COLD_REFUSES,
	COLD_SLOWS,	 /* runs them, each slower */
	COLD_FALLS_OVER, /* crashes and restarts */
};

enum report_mode {
	REPORT_LAGS, /* the load of report_lag_ns ago */
	REPORT_LIES, /* always lie_permille */
};

/** How the upstream decides on a request. */
enum upstream_result {
	UPSTREAM_RUNS,
	UPSTREAM_REFUSED, /* not run: no slot, draining or past its deadline */
	UPSTREAM_FENCED,  /* not run: no valid grant for its fence */
	UPSTREAM_FALLS_OVER, /* crashes: all running requests are lost */
	UPSTREAM_DOWN,	     /* has not restarted yet */
};

struct upstream_opts {
	uint32_t slots;
	uint32_t queue;	     /* requests accepted beyond its slots */
	uint64_t work_ns;    /* per request */
	uint64_t cold_ns;    /* how long it is cold after a start */
	uint32_t cold_bears; /* concurrent requests it can run while cold */
	enum cold_mode cold_mode;
	bool announces_cold;
	uint64_t restart_ns; /* downtime after it fell over */
	uint64_t report_lag_ns;
	bool checks_grants;
};

/** The grant of one shard. */
struct shard_grant {
	epoch_t seen;	      /* highest so far; lower ones are stale */
	epoch_t granted;      /* 0: not granted */
	uint64_t deadline_ns; /* end of the grant */
};

struct route_grants {
	struct list link;
	char name[JD_NAME_MAX];
	uint32_t count;
	struct shard_grant *shards;
};

struct load_sample {
	uint64_t at_ns;
	uint32_t permille;
};

struct upstream_state {
	struct upstream_opts opts;
	uint64_t instance;
	uint32_t running;
	uint64_t cold_until_ns;
	uint64_t down_until_ns;
	uint64_t stall_until_ns; /* no work on new requests before */
	uint32_t slow_permille;	 /* factor on the work time; 1000: normal */
	bool draining;
	enum report_mode report;
	uint32_t lie_permille;
	struct load_sample samples[UPSTREAM_LOAD_SAMPLES]; /* a ring */
	uint32_t next_sample;
	struct list routes; /* of struct route_grants */
	uint64_t version;   /* of the grants held */
	uint64_t ran;
	uint64_t refused;
	uint64_t fenced;
	uint64_t falls; /* times that it fell over */
};

void upstream_state_init(struct upstream_state *s,
			 const struct upstream_opts *o, uint64_t instance,
			 uint64_t now_ns);
void upstream_state_done(struct upstream_state *s);

/** Makes it cold for cold_ns, whether it announces that or not. */
void upstream_state_set_cold(struct upstream_state *s, uint64_t now_ns);

/**
 * Adds the grant of shards @g->first to @g->last until @deadline_ns. Shards
 * that have seen a higher epoch are left out.
 */
void upstream_state_grant(struct upstream_state *s, const struct grant_range *g,
			  uint64_t deadline_ns);

/**
 * Drops the grants held, to be replaced by those of @version. False, without
 * effect, if @version is older than the grants held.
 */
bool upstream_state_replace(struct upstream_state *s, uint64_t version);

/**
 * Extends the grants held to @deadline_ns. False, without effect, if their
 * version isn't @version.
 */
bool upstream_state_extend(struct upstream_state *s, uint64_t version,
			   uint64_t deadline_ns);

struct upstream_request {
	const struct fence *fence; /* NULL: none */
	uint64_t deadline_ns;
	uint64_t work_ns; /* 0: upstream_opts.work_ns */
};

/** Decides on a request; if it runs, sets *@end_ns to when it will end. */
enum upstream_result
upstream_state_start_request(struct upstream_state *s,
			     const struct upstream_request *req,
			     uint64_t now_ns, uint64_t *end_ns);

/** Ends a running request, completed or cancelled. */
void upstream_state_end_request(struct upstream_state *s, uint64_t now_ns);

/** The load that it reports, in permille of its slots. */
uint32_t upstream_state_load(const struct upstream_state *s, uint64_t now_ns);

/** True if it announces itself as cold. */
bool upstream_state_announces_cold(const struct upstream_state *s,
				   uint64_t now_ns);

#endif
