/** The HTTP front for callers, the own upstream and operators. */
#ifndef JD_IO_FRONTEND_H
#define JD_IO_FRONTEND_H

#include <event2/event.h>

#include "core/action.h"
#include "core/event.h"
#include "core/status.h"

/*
 * A body may be over the limit by this many bytes and still gets our own
 * refusal, counted; beyond, libevent answers 413 by itself.
 */
#define FRONTEND_BODY_SLACK_BYTES ((size_t)1 << 20)

struct front;

/** Gets EV_REQUEST, EV_CALLER_GONE and EV_ANNOUNCE; takes what they own. */
typedef void (*frontend_event_fn)(void *arg, struct event *ev);

/** Text of an operators' page below /-/, free() it; NULL for none. */
typedef char *(*frontend_page_fn)(void *arg, const char *path);

struct frontend_opts {
	struct event_base *base;
	const char *addr;
	size_t max_body_bytes; /* larger ones come without their body */
	frontend_event_fn on_event;
	frontend_page_fn page;
	void *arg;
};

/** NULL with a status when the address can't be bound. */
struct front *frontend_new(const struct frontend_opts *o, struct status *st);
void frontend_delete(struct front *f);

void frontend_reply(struct front *f, const struct act_reply *r);

/** From now on each answer closes its connection. */
void frontend_drain(struct front *f);

/** Callers whose answer has not left whole. */
uint32_t frontend_pending(const struct front *f);

#endif
