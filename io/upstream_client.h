/** HTTP calls to the upstream beside the node. */
#ifndef JD_IO_UPSTREAM_CLIENT_H
#define JD_IO_UPSTREAM_CLIENT_H

#include <event2/event.h>

#include "core/action.h"
#include "core/event.h"

struct upstream_client;

/** Gets the end of each call; takes @a->answer. */
typedef void (*upstream_done_fn)(void *arg, struct ev_upstream_answer *a);

struct upstream_client *upstream_client_new(struct event_base *base,
					    upstream_done_fn done, void *arg);
void upstream_client_delete(struct upstream_client *u);

/** Starts one call; takes @call->request. */
void upstream_client_call(struct upstream_client *u,
			  struct act_upstream_call *call);
void upstream_client_cancel(struct upstream_client *u, uint64_t call);
void upstream_client_grant(struct upstream_client *u,
			   const struct act_grant *g);

#endif
