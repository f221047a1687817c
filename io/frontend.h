/** The HTTP front end for callers, the local upstream and operators. */
#ifndef JD_IO_FRONTEND_H
#define JD_IO_FRONTEND_H

#include <event2/event.h>

#include "core/action.h"
#include "core/event.h"
#include "core/status.h"

/*
 * A body that exceeds max_body_bytes by at most this much is reported to the
 * core, which refuses and counts the request. libevent answers larger ones with
 * 413 by itself.
 */
#define FRONTEND_BODY_SLACK_BYTES ((size_t)1 << 20)

struct frontend;

/**
 * Called with EV_REQUEST, EV_CALLER_DISCONNECTED and EV_ANNOUNCEMENT; takes
 * ownership of what the event holds.
 */
typedef void (*frontend_event_fn)(void *arg, struct event *ev);

/**
 * Returns the text of the operators' page at @path, which starts after "/-";
 * freed by the front end. NULL if there is no such page.
 */
typedef char *(*frontend_page_fn)(void *arg, const char *path);

struct frontend_opts {
	struct event_base *base;
	const char *addr;
	size_t max_body_bytes; /* larger bodies are dropped */
	frontend_event_fn on_event;
	frontend_page_fn page;
	void *arg;
};

/** NULL with a status if the address can't be bound. */
struct frontend *frontend_new(const struct frontend_opts *o, struct status *st);
void frontend_delete(struct frontend *f);

/** Sends the answer to a caller; ignored if the caller has disconnected. */
void frontend_reply(struct frontend *f, const struct act_reply *r);

/** From now on, each answer closes its connection. */
void frontend_drain(struct frontend *f);

/**
 * Requests whose answer has not been written completely, and closed connections
 * whose caller has not received all of it.
 */
uint32_t frontend_pending(const struct frontend *f);

#endif
