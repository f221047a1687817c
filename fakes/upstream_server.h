/** The upstream stand-in's sockets: orders, grants, commands, its word. */
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
	const char *node; /* the jackdawd beside it; NULL for none */
	uint32_t connections;
	uint64_t conn_cost_ns; /* of the first order on a connection */
	FILE *record;	       /* what ran under which fence; NULL for none */
	struct upstream_opts upstream;
};

/** NULL when it cannot listen. */
struct upstream_server *
upstream_server_new(const struct upstream_server_opts *);
void upstream_server_delete(struct upstream_server *s);

#endif
