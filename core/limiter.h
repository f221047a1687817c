/**
 * Adaptive concurrency limit for one upstream: low after a cold start, raised
 * by good answers, cut on refusals, failures and rising latency.
 */
#ifndef JD_CORE_LIMITER_H
#define JD_CORE_LIMITER_H

#include "core/types.h"

enum limiter_phase {
	LIMITER_GROWING, /* no sign of overload since the cold start */
	LIMITER_STEADY,	 /* grows by 1 a window */
};

/** How a request ended, as the limiter distinguishes it. */
enum request_end {
	REQUEST_ANSWERED,
	REQUEST_SHED,	   /* the upstream refused it */
	REQUEST_FAILED,	   /* connection lost or not established */
	REQUEST_TIMED_OUT, /* no answer within its deadline */
	REQUEST_CANCELLED, /* the caller no longer waited */
	REQUEST_NOT_SENT,  /* tells nothing about the upstream */
};

/** Observations between two adjustments of the limit. */
struct limiter_window {
	uint64_t end_ns; /* earliest time to evaluate it */
	uint32_t answers;
	uint32_t failures;
	uint64_t latency_sum_ns;
	bool limit_reached; /* at some time in the window */
};

struct limiter {
	uint32_t slots;
	double limit; /* requests at once */
	enum limiter_phase phase;
	/* An announcement as cold has no effect from then on; 0: not cold. */
	uint64_t cold_until_ns;
	bool awaiting_announcement; /* none has come since it failed */
	uint64_t baseline_ns;	    /* latency without overload; 0: unknown */
	uint64_t next_cut_ns;
	struct limiter_window window;
	/* A cut because of latency is undone if it had no effect. */
	double limit_before_cut;	/* 0: no such cut is pending */
	uint64_t latency_before_cut_ns; /* average of the window */
	/*
	 * The limit at the last refusal or failure; not reached again before
	 * ceiling_until_ns.
	 */
	double ceiling; /* 0: none */
	uint64_t ceiling_until_ns;
	uint64_t ceiling_hold_ns;
	uint64_t cuts;
	uint64_t cold_starts;
};

/** A limiter without slots; it allows nothing before limiter_reset(). */
void limiter_init(struct limiter *l);

/** The upstream, with @slots, started cold or is assumed to have done so. */
void limiter_reset(struct limiter *l, uint32_t slots, uint64_t now_ns);

/**
 * The upstream announced whether it is cold. As long as it announces that, but
 * for a bounded time, the limit stays at that of a cold start.
 */
void limiter_set_cold(struct limiter *l, bool cold, uint64_t now_ns);

/** A request started; @running are at the upstream, with this one. */
void limiter_on_start(struct limiter *l, uint32_t running);

/** A request ended after @latency_ns. */
void limiter_on_end(struct limiter *l, enum request_end end,
		    uint64_t latency_ns, uint64_t now_ns);

/** Requests that may run at once; at least 1 unless there are no slots. */
uint32_t limiter_limit(const struct limiter *l, uint64_t now_ns);

/** The limit for a cold upstream of @slots. */
uint32_t limiter_cold_limit(uint32_t slots);

#endif
