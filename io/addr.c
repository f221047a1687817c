#include "io/addr.h"

#include <stdlib.h>
#include <string.h>

bool addr_split(const char *addr, char *ip, size_t cap, uint16_t *port)
{
	const char *colon = strrchr(addr, ':');
	size_t len = colon ? (size_t)(colon - addr) : 0;
	long n = colon ? strtol(colon + 1, NULL, 10) : 0;

	if (!len || len >= cap || n <= 0 || n > UINT16_MAX)
		return false;
	memcpy(ip, addr, len);
	ip[len] = '\0';
	*port = (uint16_t)n;
	return true;
}
