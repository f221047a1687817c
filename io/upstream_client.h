/** HTTP calls to the upstream on the same VM. */
#ifndef JD_IO_UPSTREAM_CLIENT_H
#define JD_IO_UPSTREAM_CLIENT_H

#include <event2/event.h>

#include "core/action.h"
#include "core/event.h"

struct upstream_client;

/** Called at the end of each call; takes ownership of @a->answer. */
typedef void (*upstream_done_fn)(void *arg, struct ev_upstream_answer *a);

struct upstream_client *upstream_client_new(struct event_base *base,
					    upstream_done_fn done, void *arg);
void upstream_client_delete(struct upstream_client *u);

/** Starts one call; takes ownership of @call->request. */
void upstream_client_call(struct upstream_client *u,
			  struct act_upstream_call *call);
/** Closes the connection of @call, so that the upstream can stop the work. */
void upstream_client_cancel(struct upstream_client *u, uint64_t call);
/**
 * Sends grants. An upstream that does not accept them is reported as the end of
 * a call 0 that did not run.
 */
void upstream_client_grant(struct upstream_client *u,
			   const struct act_grant *g);

#endif
