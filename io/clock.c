#include "io/clock.h"

#include <time.h>

#include "core/types.h"

uint64_t clock_now_ns(void)
{
	struct timespec ts;

	/* Advances while the VM is suspended, so that leases expire. */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * NS_PER_S + (uint64_t)ts.tv_nsec;
}

uint64_t clock_unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / NS_PER_MS;
}
