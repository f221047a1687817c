/**
 * Drives one node: turns what libevent, ZeroMQ and the store report into
 * events and the node's actions into calls.
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

/** Finish what runs, hand over, then break out of the loop. */
void driver_drain(struct driver *d);

#endif
