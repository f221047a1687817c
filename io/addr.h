/** Addresses of the form ip:port. */
#ifndef JD_IO_ADDR_H
#define JD_IO_ADDR_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Splits "ip:port" into @ip, a buffer of @cap bytes, and @port. The ip is not
 * checked. False when a part is missing, too long or out of range.
 */
bool addr_split(const char *addr, char *ip, size_t cap, uint16_t *port);

/** False when @addr is not an IPv4 address with a port. */
bool addr_to_sockaddr(const char *addr, struct sockaddr_in *sin);

#endif
