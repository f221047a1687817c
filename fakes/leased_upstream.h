/**
 * Stand-in of an upstream on the platform: announces itself to its node,
 * holds the keys that it is granted, and runs requests on them. It ends its
 * leases by its own clock.
 */
#ifndef JD_FAKES_LEASED_UPSTREAM_H
#define JD_FAKES_LEASED_UPSTREAM_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/keymap.h"

struct leased_upstream;

/** What it tells of: a request that begins, or a row that it takes. */
struct leased_upstream_report {
	const struct leased_upstream *upstream;
	const char *request_id; /* NULL: a row was taken */
	bool keyed;
	uint32_t key;
	uint32_t from;
	uint32_t to;
	uint64_t fence;
};

struct leased_upstream_opts {
	struct event_base *base;
	const char *addr;    /* it serves there */
	const char *named;   /* the address that it announces */
	const char *control; /* of its node, for announcements */
	const char *service;
	const char *dc;
	const char *instance;
	bool keyed;
	uint32_t slots;
	uint32_t announce_ms;
	uint32_t work_ms; /* of a request, on average */
	uint64_t seed;
	/** Its clock counts that much slower. */
	uint32_t clock_slow_percent;
	void (*report)(void *arg, const struct leased_upstream_report *r);
	void *arg;
};

/** NULL when the address can't be bound. */
struct leased_upstream *
leased_upstream_new(const struct leased_upstream_opts *o);
/** Ends as in a crash: nobody is told. */
void leased_upstream_delete(struct leased_upstream *u);

/** Announces that it drains; it goes on serving. */
void leased_upstream_drain(struct leased_upstream *u);
/** Its announcements stop, or go on; it serves and its leases run out. */
void leased_upstream_freeze(struct leased_upstream *u, bool frozen);

const char *leased_upstream_instance(const struct leased_upstream *u);
/** Since when its leaving was acknowledged; 0: it was not. */
uint64_t leased_upstream_left_ns(const struct leased_upstream *u);
bool leased_upstream_holds(const struct leased_upstream *u, uint32_t key,
			   uint64_t now_ns);
/** Calls @fn with each row that it holds now. */
void leased_upstream_for_each_row(
	const struct leased_upstream *u, uint64_t now_ns,
	void (*fn)(void *arg, uint32_t from, uint32_t to), void *arg);

#endif
