/**
 * Connects one node's core to the event loop: reports input of the sockets
 * and timers to the core as events, and carries out the core's actions.
 */
#ifndef JD_IO_DRIVER_H
#define JD_IO_DRIVER_H

#include <event2/event.h>

#include "core/status.h"
#include "io/settings.h"

struct driver;

/** NULL with a status when an address can't be bound. */
struct driver *driver_new(struct event_base *base, const struct settings *s,
			  struct status *st);
void driver_delete(struct driver *d);

/**
 * Starts a planned stop: the node completes its requests, hands over its shards
 * and then ends the event loop.
 */
void driver_drain(struct driver *d);

#endif
