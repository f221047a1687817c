/** The monotonic clock behind all deadlines. */
#ifndef JD_IO_CLOCK_H
#define JD_IO_CLOCK_H

#include <stdint.h>

/** Nanoseconds since the VM booted, time in suspend included. */
uint64_t clock_now_ns(void);

#endif
