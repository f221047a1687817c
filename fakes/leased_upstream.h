/**
 * Fake upstream of a leased fleet: announces itself to its node, holds the rows
 * of keys that the node grants, and runs requests on them. It ends its leases
 * by its own clock, which can run slow.
 */
#ifndef JD_FAKES_LEASED_UPSTREAM_H
#define JD_FAKES_LEASED_UPSTREAM_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/keymap.h"
#include "fakes/faulty_answer.h"

struct leased_upstream;

/** A request has started, or the upstream has acquired a row. */
struct leased_upstream_event {
	const struct leased_upstream *upstream;
	const char *request_id; /* NULL: a row was acquired */
	/* Of a request: */
	bool keyed;
	uint32_t key; /* if keyed */
	/* Of a row: */
	uint32_t from;
	uint32_t to; /* inclusive */
	uint64_t fence;
};

struct leased_upstream_opts {
	struct event_base *base;
	const char *addr;	    /* address to listen on */
	const char *announced_addr; /* where its requests are sent */
	const char *control;	    /* address of its node for announcements */
	const char *service;	    /* must outlive the upstream, as must @dc */
	const char *dc;
	const char *instance;
	bool keyed;
	uint32_t slots;
	uint32_t announce_ms;
	uint32_t work_ms; /* per request, on average */
	uint64_t seed;
	/** How slow its clock runs; its leases last longer by as much. */
	uint32_t clock_slow_percent;
	/** Called when a request starts and when a row is acquired. */
	void (*on_event)(void *arg, const struct leased_upstream_event *ev);
	void *arg;
};

/** NULL if @o->addr is invalid or can't be bound. */
struct leased_upstream *
leased_upstream_new(const struct leased_upstream_opts *o);
/** Stops as in a crash: running requests get no answer. */
void leased_upstream_delete(struct leased_upstream *u);

/** Announces from now on that it drains; it continues to serve. */
void leased_upstream_drain(struct leased_upstream *u);
/** Stops or resumes announcements. It still serves until its leases end. */
void leased_upstream_freeze(struct leased_upstream *u, bool frozen);
/** Sets the fault of a part of the answers from now on. */
void leased_upstream_set_fault(struct leased_upstream *u,
			       enum answer_fault fault);

const char *leased_upstream_instance(const struct leased_upstream *u);
/** When its node first acknowledged that it drains; 0: not yet. */
uint64_t leased_upstream_left_ns(const struct leased_upstream *u);
/** True if it may run requests on @key at @now_ns. */
bool leased_upstream_holds(const struct leased_upstream *u, uint32_t key,
			   uint64_t now_ns);
/**
 * Calls @fn with each row whose lease has not ended at @now_ns, also with rows
 * missing from the last grant that still have requests running.
 */
void leased_upstream_for_each_row(
	const struct leased_upstream *u, uint64_t now_ns,
	void (*fn)(void *arg, uint32_t from, uint32_t to), void *arg);

#endif
