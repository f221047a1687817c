/**
 * A TCP proxy on loopback that harms the connections through it. Bytes that
 * it holds up are delivered when it passes again, as after a partition.
 */
#ifndef JD_CHAOS_PROXY_H
#define JD_CHAOS_PROXY_H

#include <event2/event.h>
#include <stdint.h>

struct proxy;

enum proxy_mode {
	PROXY_PASSES,
	PROXY_DELAYS,	  /* bytes of both ways, by delay_ms */
	PROXY_MUTES_BACK, /* nothing comes back from the target */
	PROXY_MUTES_ALL,  /* silence both ways, new connections too */
	PROXY_MODE_COUNT,
};

struct proxy_opts {
	struct event_base *base;
	const char *addr;   /* it listens there */
	const char *target; /* it connects to */
};

/** NULL when the address can't be bound. */
struct proxy *proxy_new(const struct proxy_opts *o);
void proxy_delete(struct proxy *p);

void proxy_set_mode(struct proxy *p, enum proxy_mode mood, uint32_t delay_ms);
/** Resets all connections that are open. */
void proxy_reset(struct proxy *p);

const char *proxy_mode_name(enum proxy_mode mood);

#endif
