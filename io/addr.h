/** Addresses of the form ip:port. */
#ifndef JD_IO_ADDR_H
#define JD_IO_ADDR_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Splits @addr; false when it has no port. */
bool addr_split(const char *addr, char *ip, size_t cap, uint16_t *port);

/** False when @addr is no IPv4 address with a port. */
bool addr_to_sockaddr(const char *addr, struct sockaddr_in *sin);

#endif
