/** The clocks: the monotonic one is behind all deadlines. */
#ifndef JD_IO_CLOCK_H
#define JD_IO_CLOCK_H

#include <stdint.h>

/** Nanoseconds since the VM booted, time in suspend included. */
uint64_t clock_now_ns(void);

/** The VM's wall clock, in Unix milliseconds; it may be set back. */
uint64_t clock_unix_ms(void);

#endif
