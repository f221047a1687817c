#include "io/addr.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "core/types.h"

bool addr_split(const char *addr, char *ip, size_t cap, uint16_t *port)
{
	const char *colon = strrchr(addr, ':');
	size_t len = colon ? (size_t)(colon - addr) : 0;
	const char *digits = colon ? colon + 1 : "";
	unsigned long n = strtoul(digits, NULL, 10);

	if (!len || len >= cap || !n || n > UINT16_MAX ||
	    digits[strspn(digits, "0123456789")])
		return false;
	memcpy(ip, addr, len);
	ip[len] = '\0';
	*port = (uint16_t)n;
	return true;
}

bool addr_to_sockaddr(const char *addr, struct sockaddr_in *sin)
{
	char ip[JD_ADDR_MAX];
	uint16_t port;

	if (!addr_split(addr, ip, sizeof(ip), &port))
		return false;
	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	sin->sin_port = htons(port);
	return inet_pton(AF_INET, ip, &sin->sin_addr) == 1;
}
