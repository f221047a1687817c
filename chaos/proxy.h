/**
 * A TCP proxy on loopback that injects network faults. Bytes held back by a
 * fault are kept and delivered when it ends, as after a partition.
 */
#ifndef JD_CHAOS_PROXY_H
#define JD_CHAOS_PROXY_H

#include <event2/event.h>
#include <stdint.h>

struct proxy;

enum proxy_mode {
	PROXY_PASSES,	  /* no fault */
	PROXY_DELAYS,	  /* delays both directions by delay_ms */
	PROXY_MUTES_BACK, /* holds back bytes from the target */
	PROXY_MUTES_ALL,  /* holds back both directions; still accepts */
	PROXY_MODE_COUNT,
};

struct proxy_opts {
	struct event_base *base;
	const char *addr;   /* listening address */
	const char *target; /* address that connections are forwarded to */
};

/** Copies the addresses. Returns NULL when @o->addr can't be bound. */
struct proxy *proxy_new(const struct proxy_opts *o);
void proxy_delete(struct proxy *p);

/** Applies to open and new connections; @delay_ms is for PROXY_DELAYS. */
void proxy_set_mode(struct proxy *p, enum proxy_mode mode, uint32_t delay_ms);
/** Resets all open connections by TCP RST, towards both ends. */
void proxy_reset(struct proxy *p);

const char *proxy_mode_name(enum proxy_mode mode);

#endif
