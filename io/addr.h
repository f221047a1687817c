/** Addresses of the form ip:port. */
#ifndef JD_IO_ADDR_H
#define JD_IO_ADDR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Splits @addr; false when it has no port. */
bool addr_split(const char *addr, char *ip, size_t cap, uint16_t *port);

#endif
