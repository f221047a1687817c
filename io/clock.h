/** The process's monotonic clock. */
#ifndef JD_IO_CLOCK_H
#define JD_IO_CLOCK_H

#include <stdint.h>

uint64_t clock_now_ns(void);

#endif
