/**
 * Sockets of the fake upstream: requests, grants and admin commands that it
 * receives, and announcements to its node.
 */
#ifndef JD_FAKES_UPSTREAM_SERVER_H
#define JD_FAKES_UPSTREAM_SERVER_H

#include <event2/event.h>
#include <stdio.h>

#include "fakes/upstream_state.h"

struct upstream_server;

struct upstream_server_opts {
	struct event_base *base;
	const char *service;
	const char *addr;
	const char *node; /* jackdawd on the same VM; NULL: none */
	uint32_t connections;
	uint64_t conn_cost_ns; /* added to the first request on a connection */
	FILE *record;	       /* log of requests and fences; NULL: none */
	struct upstream_opts upstream;
};

/** NULL if @o->addr is invalid or can't be bound. */
struct upstream_server *
upstream_server_new(const struct upstream_server_opts *o);
void upstream_server_delete(struct upstream_server *s);

#endif
