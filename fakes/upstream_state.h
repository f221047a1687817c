/** The upstream stand-in's behaviour in time; no sockets. */
#ifndef JD_FAKES_UPSTREAM_STATE_H
#define JD_FAKES_UPSTREAM_STATE_H

#include "core/action.h"
#include "core/list.h"
#include "core/types.h"

#define UPSTREAM_REPORTS 64

/** What a cold upstream does with more orders than it bears. */
enum cold_mode { COLD_REFUSES, COLD_SLOWS, COLD_FALLS_OVER };

enum report_mode {
	REPORT_LAGS, /* shows the load of some time ago */
	REPORT_LIES, /* always the same figure */
};

/** What becomes of an order. */
enum upstream_result {
	UPSTREAM_RUNS,
	UPSTREAM_REFUSED,    /* not run: no slot, draining, too late */
	UPSTREAM_FENCED,     /* not run: no valid grant for its fence */
	UPSTREAM_FALLS_OVER, /* it falls over: all that runs is lost */
	UPSTREAM_DOWN,	     /* it is down */
};

struct upstream_opts {
	uint32_t slots;
	uint32_t queue; /* orders it takes beyond its slots */
	uint64_t work_ns;
	uint64_t cold_ns; /* how long it is cold after a start */
	uint32_t cold_bears;
	enum cold_mode cold_mode;
	bool announces_cold;
	uint64_t restart_ns; /* down after it fell over */
	uint64_t report_lag_ns;
	bool checks_grants;
};

/** What the upstream knows of one shard. */
struct fence_shard {
	epoch_t seen; /* the highest ever; lower ones are stale */
	epoch_t granted;
	uint64_t deadline_ns; /* of the grant */
};

struct fence_route {
	struct list link;
	char name[JD_NAME_MAX];
	uint32_t count;
	struct fence_shard *shards;
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
	uint64_t stall_until_ns;
	uint32_t slow_permille; /* 1000: as fast as usual */
	bool draining;
	enum report_mode report;
	uint32_t lie_permille;
	struct load_sample samples[UPSTREAM_REPORTS]; /* a ring */
	uint32_t next_sample;
	struct list routes; /* of struct fence_route */
	uint64_t version;   /* of the set of grants held */
	uint64_t ran;
	uint64_t refused;
	uint64_t fenced;
	uint64_t falls;
};

void upstream_state_init(struct upstream_state *s,
			 const struct upstream_opts *o, uint64_t instance,
			 uint64_t now_ns);
void upstream_state_done(struct upstream_state *s);

/** It turns cold from now on, also without a word. */
void upstream_state_set_cold(struct upstream_state *s, uint64_t now_ns);

/** A grant for shards @first to @last of @route, until @deadline_ns. */
void upstream_state_grant(struct upstream_state *s, const struct grant_range *g,
			  uint64_t deadline_ns);

/**
 * The grants that follow replace those held; false for a set older than
 * that, which changes nothing.
 */
bool upstream_state_replace(struct upstream_state *s, uint64_t version);

/** The set held lasts until @deadline_ns; false if it is another version. */
bool upstream_state_extend(struct upstream_state *s, uint64_t version,
			   uint64_t deadline_ns);

struct upstream_request {
	const struct fence *fence; /* NULL for none */
	uint64_t deadline_ns;
	uint64_t work_ns; /* 0 for the usual */
};

/** Takes an order; when it runs, *@end_ns is when it will end. */
enum upstream_result
upstream_state_start_request(struct upstream_state *s,
			     const struct upstream_request *o, uint64_t now_ns,
			     uint64_t *end_ns);

/** A running order ended or was cancelled. */
void upstream_state_end_request(struct upstream_state *s, uint64_t now_ns);

/** What it says of its load; lags or lies. */
uint32_t upstream_state_load(const struct upstream_state *s, uint64_t now_ns);

/** What it says of being cold. */
bool upstream_state_announces_cold(const struct upstream_state *s,
				   uint64_t now_ns);

#endif
