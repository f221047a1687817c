/**
 * How many orders the upstream may have at once: low after a cold start,
 * grown by good answers, cut on refusals, failures and rising latency.
 */
#ifndef JD_CORE_LIMITER_H
#define JD_CORE_LIMITER_H

#include "core/types.h"

enum limiter_phase {
	LIMITER_GROWING, /* no sign of overload since the cold start */
	LIMITER_STEADY,	 /* probes slowly */
};

/** How an order ended, as far as it says something of the upstream. */
enum request_end {
	REQUEST_ANSWERED,
	REQUEST_SHED,	   /* the upstream refused it */
	REQUEST_FAILED,	   /* the connection broke, or none could be made */
	REQUEST_TIMED_OUT, /* no answer within its deadline */
	REQUEST_CANCELLED, /* nobody waited any more */
	REQUEST_NOT_SENT,  /* it never left; says nothing */
};

/** What happened since the window was opened. */
struct limiter_window {
	uint64_t end_ns; /* not judged before */
	uint32_t answers;
	uint32_t failures;
	uint64_t latency_sum_ns;
	bool full; /* the limit was reached */
};

struct limiter {
	uint32_t slots;
	double limit; /* orders at once */
	enum limiter_phase phase;
	uint64_t
		cold_until_ns; /* the upstream's own word, believed till then */
	bool unheard;	       /* it failed and hasn't announced itself since */
	uint64_t baseline_ns;  /* latency without overload; 0 unknown */
	uint64_t next_cut_ns;
	struct limiter_window window;
	/* A cut for latency is taken back if it changed nothing. */
	double cut_from;	 /* 0: no such cut is being judged */
	uint64_t cut_latency_ns; /* before it */
	/* Where it was refused last; not tried again until the deadline. */
	double ceiling; /* 0: none */
	uint64_t ceiling_until_ns;
	uint64_t ceiling_hold_ns;
	uint64_t cuts;
	uint64_t cold_starts;
};

/** A limiter for no slots; limiter_reset() opens it. */
void limiter_init(struct limiter *l);

/** A cold start of an upstream of @slots, or a presumed one. */
void limiter_reset(struct limiter *l, uint32_t slots, uint64_t now_ns);

/** The upstream's own word on whether it is cold. */
void limiter_set_cold(struct limiter *l, bool cold, uint64_t now_ns);

/** An order started: @running are at the upstream now. */
void limiter_on_start(struct limiter *l, uint32_t running);

/** An order ended after @latency_ns. */
void limiter_on_end(struct limiter *l, enum request_end end,
		    uint64_t latency_ns, uint64_t now_ns);

/** Orders that may run at once; at least 1 unless there are no slots. */
uint32_t limiter_limit(const struct limiter *l, uint64_t now_ns);

/** What a cold upstream of @slots gets. */
uint32_t limiter_cold_limit(uint32_t slots);

#endif
